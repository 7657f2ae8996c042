package server

import (
	"slices"
	"sort"
	"strings"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// handleJoin notes a candidate for a voter's place.
func (r *Replica) handleJoin(raw []byte, _ *transport.Stream, reply replyFunc) {
	var voter raft.Member
	if transport.Decode(raw, &voter) != nil || voter.ID == "" {
		reply(rpc.Response{Code: 400})
		return
	}
	if !r.node.IsVoter(voter.ID) && r.addresses[voter.ID] == "" {
		_ = r.log.Log("level", "info", "event", "core.candidate", "node", voter.Node, "disk", voter.ID, "addr", voter.Addr)
	}
	r.addresses[voter.ID] = voter.Addr
	r.node.AddLearner(voter)
	r.candidatesByDisk()[voter.ID] = voter
	reply(rpc.Response{Code: 200})
}

// membershipTracker is what only a leader knows of the candidates for a voter's place.
type membershipTracker struct {
	candidates   map[string]raft.Member
	loggedFaulty string // the voters last logged as faulty
}

// candidatesByDisk are all candidates that asked this leader for a place.
func (r *Replica) candidatesByDisk() map[string]raft.Member {
	if r.membership.candidates == nil {
		r.membership.candidates = map[string]raft.Member{}
	}
	return r.membership.candidates
}

// liveCandidates are the daemons that ask for a voter's place, in order of their
// disks; who fell silent is forgotten, and announces itself if it is back.
func (r *Replica) liveCandidates() []raft.Member {
	var live []raft.Member
	for disk, voter := range r.candidatesByDisk() {
		switch {
		case r.node.IsVoter(disk):
			delete(r.membership.candidates, disk)
		case r.node.SilentFor(disk) > tuning.CandidateExpiry:
			delete(r.membership.candidates, disk)
			r.node.RemoveLearner(disk)
		default:
			r.node.AddLearner(voter)
			live = append(live, voter)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live
}

// canTakePlace tells whether a candidate can take a place at once.
func (r *Replica) canTakePlace(voter raft.Member) bool {
	return r.node.CaughtUp(voter.ID) && r.node.SilentFor(voter.ID) <= tuning.CandidateContactTimeout
}

// reconcileVoters puts a caught-up candidate in the place of a voter that is gone, in one
// change: the voter goes out as the candidate comes in, and a majority of both
// sets agrees, so that there is never one voter less.
func (r *Replica) reconcileVoters(now time.Time) {
	r.logFaultyVoters()
	if r.node.ConfChangePending() {
		return
	}
	voters := r.node.Voters()
	for _, candidate := range r.liveCandidates() {
		if !r.canTakePlace(candidate) {
			continue
		}
		if len(voters) < r.bootstrap.MinVoters {
			_ = r.log.Log("level", "info", "event", "core.add", "node", candidate.Node, "disk", candidate.ID)
			r.node.ProposeConfChange(append(slices.Clone(voters), candidate))
			return
		}
		i, reason := r.voterToReplace(voters, candidate, now)
		if reason == "" {
			continue
		}
		old := voters[i]
		_ = r.log.Log("level", "info", "event", "core.replace", "node", old.Node, "disk", old.ID, "why", reason, "by", candidate.Node, "newDisk", candidate.ID)
		// The old voter is still to be told of the change, if it lives.
		r.addresses[old.ID] = old.Addr
		next := slices.Clone(voters)
		next[i] = candidate
		r.node.ProposeConfChange(next)
		return
	}
}

// voterToReplace finds the voter whose place a candidate may take, and why: an
// earlier disk of the same node before all others, then one that broke its
// promises, one that said that it leaves, or the one that has been silent for
// longest. A voter that is merely frozen keeps its place for a time.
func (r *Replica) voterToReplace(voters []raft.Member, candidate raft.Member, now time.Time) (int, string) {
	faulty := r.node.FaultyPeers()
	for _, rule := range []struct {
		why  string
		goes func(voter raft.Member) bool
	}{
		{"its node came back with another disk", func(voter raft.Member) bool { return voter.Node == candidate.Node && voter.ID != r.self.ID }},
		{"it lost what it had acknowledged", func(voter raft.Member) bool { return slices.Contains(faulty, voter.ID) }},
		{"it leaves", func(voter raft.Member) bool { return r.isLeaving(voter.ID, now) }},
	} {
		if i := slices.IndexFunc(voters, rule.goes); i >= 0 {
			return i, rule.why
		}
	}
	longest := -1
	for i, voter := range voters {
		if voter.ID != r.self.ID && r.node.SilentFor(voter.ID) > tuning.VoterReplacementTimeout && (longest < 0 || r.node.SilentFor(voter.ID) > r.node.SilentFor(voters[longest].ID)) {
			longest = i
		}
	}
	if longest < 0 {
		return 0, ""
	}
	return longest, "it is silent"
}

// isLeaving tells whether a voter said that it ends.
func (r *Replica) isLeaving(disk string, now time.Time) bool {
	if disk == r.self.ID {
		return len(r.leaveWaiters) > 0
	}
	return now.Before(r.appointments.leavingUntil[disk])
}

// reasonToStay tells why the others can't do without a voter's disk yet; empty if
// they can. For as long as that is so, a daemon that leaves waits, if it may.
func (r *Replica) reasonToStay(disk string) string {
	switch {
	case r.node.ConfChangePending():
		return "a change of the voters is under way"
	case !r.node.IsVoter(disk):
		return ""
	}
	for _, voter := range r.liveCandidates() {
		if r.node.SilentFor(voter.ID) <= tuning.CandidateContactTimeout {
			return "a candidate is about to take a place"
		}
	}
	for _, voter := range r.node.Voters() {
		if voter.ID == disk || voter.ID == r.self.ID {
			continue
		}
		if r.node.SilentFor(voter.ID) > tuning.AggregatorSilenceTimeout || !r.node.CaughtUp(voter.ID) {
			return "another voter is silent or lags"
		}
	}
	return ""
}

// logFaultyVoters logs voters that lost what they had acknowledged, once each.
func (r *Replica) logFaultyVoters() {
	faulty := strings.Join(r.node.FaultyPeers(), " ")
	if faulty != r.membership.loggedFaulty && faulty != "" {
		_ = r.log.Log("level", "error", "event", "core.faulty", "disks", faulty,
			"why", "entries that these disks had acknowledged are not on them; they count no more until they are replaced")
	}
	r.membership.loggedFaulty = faulty
}
