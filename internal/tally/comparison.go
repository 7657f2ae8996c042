package tally

import (
	"slices"
	"time"
)

// Comparison is the part of a message by which two replicas with equal vectors but different
// contents find the adds that differ. The replica that detects the difference requests the content
// digests of all origins, and then the adds of each origin whose digests differ, in order.
type Comparison struct {
	_ struct{} `cbor:",toarray"`
	// AskOrigins requests Origins: the content digest of each origin.
	AskOrigins bool
	Origins    map[string]uint64
	// AskFrom requests the adds of an origin starting at a number; number 0 requests nothing.
	AskFrom Position
	// Answered is the requested position, Run the adds starting there.
	Answered Position
	Run      Run
}

// activeComparison is the comparison with a peer that is in progress.
type activeComparison struct {
	peer             string
	remainingOrigins []string // whose adds are still to be compared; the first is in progress
	request          Comparison
	requestedAt      time.Time
	lastResponseAt   time.Time // or when the comparison started
}

// Differences counts the differences from other replicas that were found since the start.
type Differences struct {
	// Noticed is how often the contents of a peer differed under an equal vector.
	Noticed uint64
	// Moved is how many adds got a new position because another add took precedence at theirs.
	Moved uint64
}

// Differences returns the differences from other replicas that were found since the start.
func (r *Replica) Differences() Differences { return r.differences }

// startComparison starts to compare contents with a peer, unless a comparison is in progress.
func (r *Replica) startComparison(peer string, now time.Time) {
	if r.activeComparison != nil {
		return
	}
	r.differences.Noticed++
	r.activeComparison = &activeComparison{peer: peer, lastResponseAt: now}
	r.sendComparisonRequest(Comparison{AskOrigins: true}, now)
}

// sendComparisonRequest sends a request to the peer of the active comparison.
func (r *Replica) sendComparisonRequest(request Comparison, now time.Time) {
	r.activeComparison.request, r.activeComparison.requestedAt = request, now
	r.send(r.activeComparison.peer, Message{Comparison: &request})
}

// tickComparison repeats an unanswered request, and cancels a comparison whose peer doesn't answer
// within PeerTimeout.
func (r *Replica) tickComparison(now time.Time) {
	switch {
	case r.activeComparison == nil:
	case r.peers[r.activeComparison.peer] == nil || now.Sub(r.activeComparison.lastResponseAt) >= r.config.PeerTimeout:
		r.activeComparison = nil
	case now.Sub(r.activeComparison.requestedAt) >= r.config.RepeatInterval:
		r.sendComparisonRequest(r.activeComparison.request, now)
	}
}

// handleComparison answers a peer's request, or continues the active comparison with a peer's
// response.
func (r *Replica) handleComparison(from string, comparison *Comparison, now time.Time) {
	inProgress := r.activeComparison != nil && r.activeComparison.peer == from
	switch {
	case comparison.AskOrigins:
		r.send(from, Message{Comparison: &Comparison{Origins: r.set.ContentsByOrigin()}})
	case comparison.AskFrom.Number > 0:
		asked := comparison.AskFrom
		run := r.set.OriginAddsAfter(asked.Origin, asked.Number-1, r.config.MaxMessageAdds)
		r.send(from, Message{Comparison: &Comparison{Answered: asked, Run: run}})
	case inProgress && comparison.Origins != nil && r.activeComparison.request.AskOrigins:
		r.activeComparison.remainingOrigins = r.differingOrigins(comparison.Origins)
		r.requestAdds(1, now)
	case inProgress && comparison.Answered.Number > 0:
		r.reconcileAdds(comparison, now)
	}
}

// differingOrigins returns the names of the origins whose contents differ from the peer's, sorted.
func (r *Replica) differingOrigins(theirs map[string]uint64) []string {
	var differing []string
	for name, contents := range r.set.ContentsByOrigin() {
		if theirs[name] != contents {
			differing = append(differing, name)
		}
	}
	slices.Sort(differing)
	return differing
}

// requestAdds requests the adds of the first remaining origin starting at a number, or ends the
// comparison if no origin remains.
func (r *Replica) requestAdds(next uint64, now time.Time) {
	if len(r.activeComparison.remainingOrigins) == 0 {
		r.activeComparison = nil
		return
	}
	r.activeComparison.lastResponseAt = now
	r.sendComparisonRequest(
		Comparison{AskFrom: Position{Origin: r.activeComparison.remainingOrigins[0], Number: next}}, now)
}

// reconcileAdds replaces adds here by the peer's adds that take precedence.
func (r *Replica) reconcileAdds(comparison *Comparison, now time.Time) {
	switch {
	case comparison.Answered != r.activeComparison.request.AskFrom:
		return // a duplicate response
	case r.isRolledBack():
		r.activeComparison = nil // no number can be assigned now; the contents are compared again later
		return
	}
	for _, run := range r.set.Replacements(comparison.Run) {
		r.replaceAdd(run)
	}
	if len(comparison.Run.Adds) == 0 {
		r.activeComparison.remainingOrigins = r.activeComparison.remainingOrigins[1:]
		r.requestAdds(1, now)
		return
	}
	r.requestAdds(comparison.Run.Last()+1, now)
}

// replaceAdd schedules the write of another add at a position, and of the add stored there, which
// may have been acknowledged, at a new position. Both are in one write, so that neither can be
// lost.
func (r *Replica) replaceAdd(run Run) {
	position, add := Position{Origin: run.Origin, Number: run.First}, run.Adds[0]
	if r.replacing[position] {
		return
	}
	r.replacing[position] = true
	if before := r.set.addAt(position); before.ID != add.ID {
		r.differences.Moved++
		moved := r.append(before)
		for i := range r.pendingChanges {
			if r.pendingChanges[i].position == position {
				r.pendingChanges[i].position = moved
			}
		}
	}
	r.toWrite = append(r.toWrite, run)
}

// markWritten records that a run is on the disk: new adds, or one that replaces another.
func (r *Replica) markWritten(run Run) {
	position := Position{Origin: run.Origin, Number: run.First}
	if !r.replacing[position] {
		r.set.MarkWritten(run)
		return
	}
	delete(r.replacing, position)
	r.set.Replace(position, run.Adds[0])
}
