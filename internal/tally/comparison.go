package tally

import (
	"slices"
	"time"
)

// Comparison is the part of a message by which two replicas with equal vectors and different
// contents find the adds that differ. The one that has noticed asks for the digests of all
// origins, and then for the adds of those that differ, in order.
type Comparison struct {
	_ struct{} `cbor:",toarray"`
	// AskOrigins asks for Origins: the digest of the contents of each origin.
	AskOrigins bool
	Origins    map[string]uint64
	// AskFrom asks for the adds of an origin from a number on; no number asks for nothing.
	AskFrom Position
	// Answered is the position that was asked for, Run the adds from there on.
	Answered Position
	Run      Run
}

// comparing is the comparison with a peer that is under way.
type comparing struct {
	peer       string
	origins    []string // whose adds are still to be compared; the first is under way
	question   Comparison
	askedAt    time.Time
	answeredAt time.Time // or begun
}

// Differences counts what was found to differ from other replicas since the start.
type Differences struct {
	// Noticed is how often the contents of a peer differed under an equal vector.
	Noticed uint64
	// Moved is how many adds got a new position since another one prevailed at theirs.
	Moved uint64
}

// Differences tells what was found to differ from other replicas since the start.
func (r *Replica) Differences() Differences { return r.differences }

// compareWith begins to compare the contents of a peer, unless a comparison is under way.
func (r *Replica) compareWith(peer string, now time.Time) {
	if r.comparing != nil {
		return
	}
	r.differences.Noticed++
	r.comparing = &comparing{peer: peer, answeredAt: now}
	r.askPeer(Comparison{AskOrigins: true}, now)
}

// askPeer asks the peer of the comparison that is under way.
func (r *Replica) askPeer(question Comparison, now time.Time) {
	r.comparing.question, r.comparing.askedAt = question, now
	r.send(r.comparing.peer, Message{Comparison: &question})
}

// tickComparison asks again, and gives a comparison up whose peer doesn't answer.
func (r *Replica) tickComparison(now time.Time) {
	switch {
	case r.comparing == nil:
	case r.peers[r.comparing.peer] == nil || now.Sub(r.comparing.answeredAt) >= r.config.PeerTimeout:
		r.comparing = nil
	case now.Sub(r.comparing.askedAt) >= r.config.RepeatInterval:
		r.askPeer(r.comparing.question, now)
	}
}

// receiveComparison answers what a peer asks, and goes on with what it answers.
func (r *Replica) receiveComparison(from string, comparison *Comparison, now time.Time) {
	underWay := r.comparing != nil && r.comparing.peer == from
	switch {
	case comparison.AskOrigins:
		r.send(from, Message{Comparison: &Comparison{Origins: r.set.ContentsByOrigin()}})
	case comparison.AskFrom.Number > 0:
		asked := comparison.AskFrom
		run := r.set.MissingOf(asked.Origin, asked.Number-1, r.config.MaxMessageAdds)
		r.send(from, Message{Comparison: &Comparison{Answered: asked, Run: run}})
	case underWay && comparison.Origins != nil && r.comparing.question.AskOrigins:
		r.comparing.origins = r.differingOrigins(comparison.Origins)
		r.askForAdds(1, now)
	case underWay && comparison.Answered.Number > 0:
		r.compareAdds(comparison, now)
	}
}

// differingOrigins returns the origins whose contents differ from a peer's, in order.
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

// askForAdds asks for the adds of the first origin from a number on, or ends the comparison if no
// origin is left.
func (r *Replica) askForAdds(next uint64, now time.Time) {
	if len(r.comparing.origins) == 0 {
		r.comparing = nil
		return
	}
	r.comparing.answeredAt = now
	r.askPeer(Comparison{AskFrom: Position{Origin: r.comparing.origins[0], Number: next}}, now)
}

// compareAdds takes over the adds of a peer that prevail over those here.
func (r *Replica) compareAdds(comparison *Comparison, now time.Time) {
	switch {
	case comparison.Answered != r.comparing.question.AskFrom:
		return // a repeated answer
	case r.isRolledBack():
		r.comparing = nil // no number can be given now; the contents are compared again later
		return
	}
	for _, run := range r.set.Differing(comparison.Run) {
		r.replace(run)
	}
	if len(comparison.Run.Adds) == 0 {
		r.comparing.origins = r.comparing.origins[1:]
		r.askForAdds(1, now)
		return
	}
	r.askForAdds(comparison.Run.Last()+1, now)
}

// replace has another add written at a position, and the one that stands there, which may have
// been acknowledged, at a new position. Both are in one write, so that neither can be missing.
func (r *Replica) replace(run Run) {
	position, add := Position{Origin: run.Origin, Number: run.First}, run.Adds[0]
	if r.replacing[position] {
		return
	}
	r.replacing[position] = true
	if before := r.set.addAt(position); before.ID != add.ID {
		r.differences.Moved++
		moved := r.append(before)
		for i := range r.changes {
			if r.changes[i].position == position {
				r.changes[i].position = moved
			}
		}
	}
	r.toWrite = append(r.toWrite, run)
}

// markWritten records that a run is on the disk: adds that are new, or one that replaces
// another.
func (r *Replica) markWritten(run Run) {
	position := Position{Origin: run.Origin, Number: run.First}
	if !r.replacing[position] {
		r.set.MarkWritten(run)
		return
	}
	delete(r.replacing, position)
	r.set.Replace(position, run.Adds[0])
}
