package raft

import (
	"slices"
	"time"
)

// Configurations in the model test: one set of voter IDs, or two while they are joint. A
// quorum is a majority of each set.

func memberIDs(members []Member) []string {
	var ids []string
	for _, member := range members {
		ids = append(ids, member.ID)
	}
	return ids
}

// voterIDSets returns one set, or two during a change.
func voterIDSets(voters, outgoing []Member) [][]string {
	sets := [][]string{memberIDs(voters)}
	if len(outgoing) > 0 {
		sets = append(sets, memberIDs(outgoing))
	}
	return sets
}

// currentVoterSets returns the sets of a member's newest configuration.
func currentVoterSets(n *Node) [][]string { return voterIDSets(n.VoterSets()) }

// confChangeVoterSets returns the sets of a configuration entry.
func confChangeVoterSets(data []byte) ([][]string, error) {
	voters, outgoing, err := DecodeConfChange(data)
	return voterIDSets(voters, outgoing), err
}

// allVoters returns the IDs in one or both of the sets.
func allVoters(node *Node) []string {
	var ids []string
	for _, set := range currentVoterSets(node) {
		for _, id := range set {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// hasQuorum reports whether granted is true for a majority of each set.
func hasQuorum(sets [][]string, granted func(id string) bool) bool {
	for _, set := range sets {
		count := 0
		for _, id := range set {
			if granted(id) {
				count++
			}
		}
		if count*2 <= len(set) && len(set) > 0 {
			return false
		}
	}
	return true
}

// quorumsIntersect reports whether any two quorums of two configurations have a member in
// common.
func quorumsIntersect(first, second [][]string) bool {
	var ids []string
	for _, set := range append(append([][]string{}, first...), second...) {
		for _, id := range set {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	for mask := 0; mask < 1<<len(ids); mask++ {
		inMask := func(id string) bool { return mask>>slices.Index(ids, id)&1 == 1 }
		if hasQuorum(first, inMask) && hasQuorum(second, func(id string) bool { return !inMask(id) }) {
			return false
		}
	}
	return true
}

// changeCompleted reports whether a change is committed and completed.
func (w *modelWorld) changeCompleted(member *modelMember, change *voterChange) bool {
	hasJoined := change.incoming == "" || member.node.IsVoter(change.incoming)
	hasLeft := change.outgoing == "" || !member.node.IsVoter(change.outgoing)
	return !member.node.ConfChangePending() && hasJoined && hasLeft
}

// proposeChange proposes the voters after a change.
func (w *modelWorld) proposeChange(node *Node, change *voterChange) bool {
	voters := slices.DeleteFunc(slices.Clone(node.Voters()), func(member Member) bool { return member.ID == change.outgoing })
	if change.incoming != "" && !node.IsVoter(change.incoming) {
		voters = append(voters, testMember(change.incoming))
	}
	return node.ProposeConfChange(voters) == nil
}

// operateMembership does what a leader of the package server does: it brings a learner up
// to date, then changes the voters.
func (w *modelWorld) operateMembership(member *modelMember) {
	if !member.node.LeaderReady() || !member.node.HasLease(member.clock(w.now)) {
		return
	}
	if w.now-member.lastOperatedAt < w.profile.config.HeartbeatInterval {
		return
	}
	member.lastOperatedAt = w.now
	w.replaceLostVoterFirst(member)
	change := w.change
	if change == nil {
		return
	}
	if w.changeCompleted(member, change) {
		w.note("changed", member.id, member.node.ConfIndex(), 0)
		w.counts["changes"]++
		w.change = nil
		w.retire(w.byID[change.outgoing])
		return
	}
	if change.incoming != "" && !member.node.IsVoter(change.incoming) {
		member.node.AddLearner(testMember(change.incoming))
		if !member.node.CaughtUp(change.incoming) {
			return
		}
	}
	if voters := member.node.Voters(); change.incoming == "" && len(voters) == 1 && voters[0].ID == change.outgoing {
		w.change = nil // no voter would be left
		return
	}
	w.checks.observe(member)
	if w.proposeChange(member.node, change) {
		change.proposed = true
		w.note("change", member.id, member.node.ConfIndex(), 0)
	}
}

// replaceLostVoterFirst lets a voter whose disk is lost be replaced before any other.
func (w *modelWorld) replaceLostVoterFirst(member *modelMember) {
	if change := w.change; change != nil && change.outgoing != "" && w.byID[change.outgoing].lost {
		return
	}
	for _, id := range allVoters(member.node) {
		if !w.byID[id].lost {
			continue
		}
		if w.change == nil {
			w.change = &voterChange{}
		}
		w.change.outgoing = id
		if w.change.incoming == "" {
			w.change.incoming = w.addAndStartMember().id
		}
		return
	}
}

// retire ends a member that was voted out after a while, or lets it run on as one that
// may become a voter again.
func (w *modelWorld) retire(member *modelMember) {
	if member == nil || member.lost {
		return
	}
	if member.idle = w.chance(0.3); member.idle {
		return
	}
	w.schedule(w.randomDelay(2*time.Second), func() {
		if member.idle || w.change != nil && w.change.incoming == member.id {
			return // it is to be a voter again
		}
		w.crash(member, false)
		member.retired = true
	})
}

// abandonChange gives up a change that no leader has proposed yet.
func (w *modelWorld) abandonChange(*modelMember) {
	change := w.change
	if change == nil || change.proposed || change.incoming == "" || change.outgoing != "" && w.byID[change.outgoing].lost {
		return
	}
	w.change = nil
	w.byID[change.incoming].idle = true
	for _, member := range w.runningMembers() {
		member.node.RemoveLearner(change.incoming)
	}
}

// pickLearner returns the next member that is to become a voter: an idle or a new one.
func (w *modelWorld) pickLearner() *modelMember {
	for _, member := range w.runningMembers() {
		if member.idle && !member.lost && w.chance(0.5) {
			member.idle = false
			return member
		}
	}
	return w.addAndStartMember()
}
