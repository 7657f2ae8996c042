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
	// aggregatorSilenceTimeout is the silence of an aggregator's daemon after which its zone gets
	// another one.
	aggregatorSilenceTimeout = 600 * time.Millisecond
	// voterReplacementTimeout is the silence of a voter after which a candidate that has caught up may
	// take its place; it is above a restart and below catchUpS.
	voterReplacementTimeout = 2500 * time.Millisecond
	// candidateContactTimeout is the longest silence of a candidate that may still take a voter's
	// place: a dozen heartbeats.
	candidateContactTimeout = time.Second
	// candidateExpiry is the silence after which a candidate is forgotten; it is above any pause
	// between its announcements.
	candidateExpiry = 10 * time.Second
)

// handleJoin registers a candidate: a server that wants to become a voter. Until it
// is one it gets the log as a learner (see reconcileVoters).
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

// membershipTracker is what only a leader knows of the candidates for a voter's place.
type membershipTracker struct {
	candidates   map[string]raft.Member // by member ID
	loggedFaulty string                 // the voters last logged as faulty
}

// candidatesByID are all candidates that asked this leader for a place.
func (r *Replica) candidatesByID() map[string]raft.Member {
	if r.membership.candidates == nil {
		r.membership.candidates = map[string]raft.Member{}
	}
	return r.membership.candidates
}

// liveCandidates are the servers that want to become voters, in the order of their
// IDs; one that fell silent is forgotten, and announces itself when it is back.
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

// canTakePlace reports whether a candidate may become a voter now: it has caught up, so
// that commits need not wait for it, and was heard lately.
func (r *Replica) canTakePlace(candidate raft.Member) bool {
	return r.node.CaughtUp(candidate.ID) && r.node.TimeSinceContact(candidate.ID) <= candidateContactTimeout
}

// reconcileVoters puts a caught-up candidate in the place of a voter that is gone,
// in one change: the voter goes out as the candidate comes in, and a majority of
// both sets agrees, so that there is never one voter less.
func (r *Replica) reconcileVoters(now time.Time) {
	r.logFaultyVoters()
	if r.node.ConfChangePending() {
		return
	}
	voters := r.node.Voters()
	if r.dropSurplusVoter(voters, now) {
		return
	}
	for _, candidate := range r.liveCandidates() {
		if !r.canTakePlace(candidate) {
			continue
		}
		if len(voters) < r.bootstrap.MinVoters {
			_ = r.log.Log("level", "info", "event", "voter.addition_proposed", "node", candidate.Node, "disk", candidate.ID)
			_ = r.node.ProposeConfChange(append(slices.Clone(voters), candidate)) // else it is proposed again
			return
		}
		i, reason := r.voterToReplace(voters, candidate, now)
		if reason == "" {
			continue
		}
		old := voters[i]
		_ = r.log.Log("level", "info", "event", "voter.replacement_proposed", "node", old.Node, "disk", old.ID, "reason", reason,
			"new_node", candidate.Node, "new_disk", candidate.ID)
		// The configuration no longer names the old voter, which must learn of the
		// change if it is still up, so its address is kept.
		r.peers.addresses[old.ID] = old.Addr
		next := slices.Clone(voters)
		next[i] = candidate
		_ = r.node.ProposeConfChange(next) // else it is proposed again
		return
	}
}

// dropSurplusVoter proposes to remove one of an even number of voters, unless it is
// needed: cut into two halves, an even set has no majority on either side, and it
// bears no more losses than the odd one below it. It returns false if there is none
// to remove. The removed server joins again as a learner.
func (r *Replica) dropSurplusVoter(voters []raft.Member, now time.Time) bool {
	if len(voters)%2 != 0 || len(voters) <= r.bootstrap.MinVoters {
		return false
	}
	surplus := r.surplusVoter(voters, now)
	if surplus < 0 {
		return false
	}
	dropped := voters[surplus]
	if r.node.ProposeConfChange(slices.Delete(slices.Clone(voters), surplus, surplus+1)) != nil {
		return false
	}
	// It must learn of the change, and its address is known by the voters alone.
	r.peers.addresses[dropped.ID] = dropped.Addr
	_ = r.log.Log("level", "info", "event", "voter.removal_proposed", "node", dropped.Node, "disk", dropped.ID, "voters", len(voters))
	return true
}

// surplusVoter is the index of the voter to remove from an even set: the one that is
// silent, faulty or leaving; else the last one besides the leader, if all others have
// caught up. It is negative if none can go now.
func (r *Replica) surplusVoter(voters []raft.Member, now time.Time) int {
	last, unwell := -1, -1
	for i, voter := range voters {
		if voter.ID == r.self.ID {
			continue
		}
		last = i
		if !r.node.CaughtUp(voter.ID) || r.node.TimeSinceContact(voter.ID) > aggregatorSilenceTimeout || r.isLeaving(voter.ID, now) {
			if unwell >= 0 {
				// With two that are unwell a smaller set may lack a majority.
				return -1
			}
			unwell = i
		}
	}
	if unwell >= 0 {
		if r.node.TimeSinceContact(voters[unwell].ID) <= voterReplacementTimeout {
			return -1
		}
		return unwell
	}
	return last
}

// voterToReplace finds the voter whose place a candidate may take, and the reason,
// which is empty if there is none: an earlier identity of the same node before all
// others, then one that lost what it had acknowledged, one that said that it leaves,
// or the one that has been silent for longest. A voter that is merely frozen keeps
// its place for a time.
func (r *Replica) voterToReplace(voters []raft.Member, candidate raft.Member, now time.Time) (int, string) {
	faulty := r.node.FaultyPeers()
	for _, rule := range []struct {
		reason  string
		applies func(voter raft.Member) bool
	}{
		{"its node came back with another disk", func(voter raft.Member) bool { return voter.Node == candidate.Node && voter.ID != r.self.ID }},
		{"it lost what it had acknowledged", func(voter raft.Member) bool { return slices.Contains(faulty, voter.ID) }},
		{"it leaves", func(voter raft.Member) bool { return r.isLeaving(voter.ID, now) }},
	} {
		if i := slices.IndexFunc(voters, rule.applies); i >= 0 {
			return i, rule.reason
		}
	}
	longest := -1
	for i, voter := range voters {
		if voter.ID == r.self.ID || r.node.TimeSinceContact(voter.ID) <= voterReplacementTimeout {
			continue
		}
		if longest < 0 || r.node.TimeSinceContact(voter.ID) > r.node.TimeSinceContact(voters[longest].ID) {
			longest = i
		}
	}
	if longest < 0 {
		return 0, ""
	}
	return longest, "it is silent"
}

// isLeaving reports whether a voter said that it leaves.
func (r *Replica) isLeaving(id string, now time.Time) bool {
	if id == r.self.ID {
		return len(r.departure.waiters) > 0
	}
	return now.Before(r.appointments.leavingUntil[id])
}

// reasonToStay tells why the others can't do without a voter yet; empty if they can.
// For as long as they can't, a server that leaves waits, if it may.
func (r *Replica) reasonToStay(id string) string {
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
	ending, voters := 0, r.node.Voters()
	for _, voter := range voters {
		switch {
		case voter.ID == id:
			continue
		case voter.ID != r.self.ID && (r.node.TimeSinceContact(voter.ID) > aggregatorSilenceTimeout || !r.node.CaughtUp(voter.ID)):
			return "another voter is silent or lags"
		case r.isReleased(voter.ID, time.Now()):
			ending++
		}
	}
	if staying := len(voters) - 1 - ending; ending > 0 && staying <= len(voters)/2 {
		return "another voter is ending"
	}
	return ""
}

// isReleased reports whether a voter was allowed to end a moment ago, and may be
// about to: it is heard until it does. The leader itself ends once it transfers the leadership.
func (r *Replica) isReleased(id string, now time.Time) bool {
	if id == r.self.ID {
		return r.departure.transferring
	}
	at, released := r.appointments.releasedAt[id]
	return released && now.Sub(at) < shutdownReleasePeriod
}

// logFaultyVoters logs voters that lost what they had acknowledged, once each.
func (r *Replica) logFaultyVoters() {
	faulty := strings.Join(r.node.FaultyPeers(), " ")
	if faulty != r.membership.loggedFaulty && faulty != "" {
		_ = r.log.Log("level", "error", "event", "voters.lost_entries", "disks", faulty,
			"reason", "entries that these disks had acknowledged are not on them; they count no more until they are replaced")
	}
	r.membership.loggedFaulty = faulty
}
