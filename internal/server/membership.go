package server

import (
	"slices"
	"sort"
	"strings"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/transport"
)

const (
	// aggregatorSilenceTimeout is the time without contact after which an aggregator is replaced in
	// its zone.
	aggregatorSilenceTimeout = 600 * time.Millisecond
	// voterReplacementTimeout is the time without contact after which a caught-up candidate may
	// replace a voter. It is longer than a restart and below catchUpS.
	voterReplacementTimeout = 2500 * time.Millisecond
	// candidateContactTimeout is the longest time without contact at which a candidate may still
	// replace a voter: a dozen heartbeats.
	candidateContactTimeout = time.Second
	// candidateExpiry is the time without contact after which a candidate is removed. It is longer
	// than any pause between its announcements.
	candidateExpiry = 10 * time.Second
)

// handleJoin registers a candidate: a server that wants to become a voter. Until it is one, it
// receives the log as a learner (see reconcileVoters).
func (r *Replica) handleJoin(candidate *raft.Member, _ *transport.Stream, reply replyFunc) {
	if candidate.ID == "" {
		reply(responseBadRequest)
		return
	}
	if !r.node.IsVoter(candidate.ID) && r.peers.addresses[candidate.ID] == "" {
		_ = r.log.Log("level", "info", "event", "candidate.announced", "node", candidate.Node, "disk", candidate.ID, "address", candidate.Addr)
	}
	r.peers.addresses[candidate.ID] = candidate.Addr
	r.node.AddLearner(*candidate)
	r.candidatesByID()[candidate.ID] = *candidate
	reply(responseOK)
}

// membershipTracker holds what only the leader knows about candidates and faulty voters.
type membershipTracker struct {
	candidates   map[string]raft.Member // by member ID
	loggedFaulty string                 // the faulty voters that were logged last
}

// candidatesByID returns all candidates that have announced themselves to this leader.
func (r *Replica) candidatesByID() map[string]raft.Member {
	if r.membership.candidates == nil {
		r.membership.candidates = map[string]raft.Member{}
	}
	return r.membership.candidates
}

// liveCandidates returns the candidates with recent contact, ordered by ID. One without contact for
// candidateExpiry is removed, and announces itself again when it is back.
func (r *Replica) liveCandidates() []raft.Member {
	var live []raft.Member
	for id, candidate := range r.candidatesByID() {
		switch {
		case r.node.IsVoter(id):
			delete(r.membership.candidates, id)
		case r.node.TimeSinceContact(id) > candidateExpiry:
			delete(r.membership.candidates, id)
			r.node.RemoveLearner(id)
		default:
			r.node.AddLearner(candidate)
			live = append(live, candidate)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// canBecomeVoter reports whether a candidate may become a voter now: it has caught up, so that
// commits need not wait for it, and there was recent contact with it.
func (r *Replica) canBecomeVoter(candidate raft.Member) bool {
	return r.node.CaughtUp(candidate.ID) && r.node.TimeSinceContact(candidate.ID) <= candidateContactTimeout
}

// reconcileVoters adds a caught-up candidate as a voter, or replaces a failed or leaving voter by
// it. A replacement is a single configuration change that removes the old voter and adds the
// candidate. It needs a majority of both the old and the new set, so the number of voters never
// drops in between. A surplus voter is removed first, see removeSurplusVoter.
func (r *Replica) reconcileVoters(now time.Time) {
	r.logFaultyVoters()
	if r.node.ConfChangePending() {
		return
	}
	voters := r.node.Voters()
	if r.removeSurplusVoter(voters, now) {
		return
	}
	for _, candidate := range r.liveCandidates() {
		if !r.canBecomeVoter(candidate) {
			continue
		}
		if len(voters) < r.bootstrap.MinVoters {
			_ = r.log.Log("level", "info", "event", "voter.addition_proposed", "node", candidate.Node, "disk", candidate.ID)
			_ = r.node.ProposeConfChange(append(slices.Clone(voters), candidate)) // on an error it is proposed again
			return
		}
		i, reason := r.voterToReplace(voters, candidate, now)
		if reason == "" {
			continue
		}
		replaced := voters[i]
		_ = r.log.Log("level", "info", "event", "voter.replacement_proposed", "node", replaced.Node, "disk", replaced.ID, "reason", reason,
			"new_node", candidate.Node, "new_disk", candidate.ID)
		// The new configuration does not contain the old voter. Its address is kept because it must
		// learn of the change if it is still running.
		r.peers.addresses[replaced.ID] = replaced.Addr
		next := slices.Clone(voters)
		next[i] = candidate
		_ = r.node.ProposeConfChange(next) // on an error it is proposed again
		return
	}
}

// removeSurplusVoter proposes to remove one of an even number of voters, unless it is needed. An even
// set that is partitioned into two halves has no majority on either side, and it tolerates no more
// failures than the odd set with one voter less. It returns false if it proposed no removal. The
// removed server rejoins as a learner.
func (r *Replica) removeSurplusVoter(voters []raft.Member, now time.Time) bool {
	if len(voters)%2 != 0 || len(voters) <= r.bootstrap.MinVoters {
		return false
	}
	surplus := r.surplusVoter(voters, now)
	if surplus < 0 {
		return false
	}
	removed := voters[surplus]
	if r.node.ProposeConfChange(slices.Delete(slices.Clone(voters), surplus, surplus+1)) != nil {
		return false
	}
	// The removed voter must learn of the change, and only the voters know its address.
	r.peers.addresses[removed.ID] = removed.Addr
	_ = r.log.Log("level", "info", "event", "voter.removal_proposed", "node", removed.Node, "disk", removed.ID, "voters", len(voters))
	return true
}

// surplusVoter returns the index of the voter to remove from an even set: the only one that is
// silent, lagging or leaving, or else the last one other than the leader if all others have caught
// up. It returns a negative index if none can be removed now.
func (r *Replica) surplusVoter(voters []raft.Member, now time.Time) int {
	last, unhealthy := -1, -1
	for i, voter := range voters {
		if voter.ID == r.self.ID {
			continue
		}
		last = i
		if !r.node.CaughtUp(voter.ID) || r.node.TimeSinceContact(voter.ID) > aggregatorSilenceTimeout || r.isLeaving(voter.ID, now) {
			if unhealthy >= 0 {
				// With two unhealthy voters, a smaller set may lack a majority.
				return -1
			}
			unhealthy = i
		}
	}
	if unhealthy >= 0 {
		if r.node.TimeSinceContact(voters[unhealthy].ID) <= voterReplacementTimeout {
			return -1
		}
		return unhealthy
	}
	return last
}

// voterToReplace returns the index of the voter that a candidate may replace, and the reason, which
// is empty if there is none. The order of preference is: an earlier identity of the candidate's
// node, a voter that lost acknowledged entries, a voter that announced that it leaves, and the
// voter with the longest time without contact. A voter without contact keeps its place for
// voterReplacementTimeout, since it may only be frozen for a moment.
func (r *Replica) voterToReplace(voters []raft.Member, candidate raft.Member, now time.Time) (int, string) {
	faulty := r.node.FaultyPeers()
	for _, rule := range []struct {
		reason  string
		applies func(voter raft.Member) bool
	}{
		{"its node rejoined with another disk", func(voter raft.Member) bool { return voter.Node == candidate.Node && voter.ID != r.self.ID }},
		{"it lost entries that it had acknowledged", func(voter raft.Member) bool { return slices.Contains(faulty, voter.ID) }},
		{"it is leaving", func(voter raft.Member) bool { return r.isLeaving(voter.ID, now) }},
	} {
		if i := slices.IndexFunc(voters, rule.applies); i >= 0 {
			return i, rule.reason
		}
	}
	longestSilent := -1
	for i, voter := range voters {
		if voter.ID == r.self.ID || r.node.TimeSinceContact(voter.ID) <= voterReplacementTimeout {
			continue
		}
		if longestSilent < 0 || r.node.TimeSinceContact(voter.ID) > r.node.TimeSinceContact(voters[longestSilent].ID) {
			longestSilent = i
		}
	}
	if longestSilent < 0 {
		return 0, ""
	}
	return longestSilent, "it is silent"
}

// isLeaving reports whether a voter has announced that it leaves.
func (r *Replica) isLeaving(id string, now time.Time) bool {
	if id == r.self.ID {
		return len(r.leaving.waiters) > 0
	}
	return now.Before(r.appointments.leavingUntil[id])
}

// shutdownBlocker returns the reason why the cluster cannot do without a voter yet, or "" if it
// can. Until then a server that leaves delays its shutdown, up to its deadline.
func (r *Replica) shutdownBlocker(id string) string {
	switch {
	case r.node.ConfChangePending():
		return "a change of the voters is under way"
	case !r.node.IsVoter(id):
		return ""
	case time.Since(r.leadingSince) < 2*shutdownRenewInterval:
		return "the leader is new and may not know yet who ends"
	}
	for _, candidate := range r.liveCandidates() {
		if r.node.TimeSinceContact(candidate.ID) <= candidateContactTimeout {
			return "a candidate is about to take a place"
		}
	}
	stopping, voters := 0, r.node.Voters()
	for _, voter := range voters {
		switch {
		case voter.ID == id:
			continue
		case voter.ID != r.self.ID && (r.node.TimeSinceContact(voter.ID) > aggregatorSilenceTimeout || !r.node.CaughtUp(voter.ID)):
			return "another voter is silent or lags"
		case r.recentlyReleased(voter.ID, time.Now()):
			stopping++
		}
	}
	if remaining := len(voters) - 1 - stopping; stopping > 0 && remaining <= len(voters)/2 {
		return "another voter is ending"
	}
	return ""
}

// recentlyReleased reports whether a voter was recently released, that is, permitted to shut down.
// It may be about to exit, although it still has contact with the leader. The leader itself exits
// once it has transferred leadership.
func (r *Replica) recentlyReleased(id string, now time.Time) bool {
	if id == r.self.ID {
		return r.leaving.transferring
	}
	at, released := r.appointments.releasedAt[id]
	return released && now.Sub(at) < shutdownReleasePeriod
}

// logFaultyVoters logs the voters that lost acknowledged entries, whenever their set changes.
func (r *Replica) logFaultyVoters() {
	faulty := strings.Join(r.node.FaultyPeers(), " ")
	if faulty != r.membership.loggedFaulty && faulty != "" {
		_ = r.log.Log("level", "error", "event", "voters.lost_entries", "disks", faulty,
			"reason", "entries that these disks had acknowledged are missing; the disks do not count as voters until they are replaced")
	}
	r.membership.loggedFaulty = faulty
}
