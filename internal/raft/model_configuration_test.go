package raft

import (
	"slices"
	"time"
)

// Configurations of the model test. A configuration is one set of voter IDs, or two sets while
// it is joint. A quorum is a majority of each set.

func memberIDs(members []Member) []string {
	var ids []string
	for _, member := range members {
		ids = append(ids, member.ID)
	}
	return ids
}

// voterIDSets returns one set of voter IDs, or two during a change.
func voterIDSets(voters, outgoing []Member) [][]string {
	sets := [][]string{memberIDs(voters)}
	if len(outgoing) > 0 {
		sets = append(sets, memberIDs(outgoing))
	}
	return sets
}

// currentVoterSets returns the sets of voter IDs in a member's latest configuration.
func currentVoterSets(n *Node) [][]string { return voterIDSets(n.VoterSets()) }

// confChangeVoterSets returns the sets of voter IDs in a configuration entry.
func confChangeVoterSets(data []byte) ([][]string, error) {
	voters, outgoing, err := DecodeConfChange(data)
	return voterIDSets(voters, outgoing), err
}

// allVoters returns the IDs of all voters in a member's latest configuration, each once.
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

// hasQuorum reports whether granted holds for a majority of each set.
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

// quorumsIntersect reports whether every quorum of the first configuration has a member in
// common with every quorum of the second.
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

// changeCompleted reports whether a requested change is committed, as known to a member.
func (c *modelCluster) changeCompleted(member *modelMember, change *voterChange) bool {
	hasJoined := change.incoming == "" || member.node.IsVoter(change.incoming)
	hasLeft := change.outgoing == "" || !member.node.IsVoter(change.outgoing)
	return !member.node.ConfChangePending() && hasJoined && hasLeft
}

// proposeChange proposes the set of voters after a requested change.
func (c *modelCluster) proposeChange(node *Node, change *voterChange) bool {
	voters := slices.DeleteFunc(slices.Clone(node.Voters()), func(member Member) bool { return member.ID == change.outgoing })
	if change.incoming != "" && !node.IsVoter(change.incoming) {
		voters = append(voters, testMember(change.incoming))
	}
	return node.ProposeConfChange(voters) == nil
}

// reconcileMembership carries out the requested change as a leader in package server does: it
// waits until the learner has caught up, then proposes the new voters.
func (c *modelCluster) reconcileMembership(member *modelMember) {
	if !member.node.LeaderReady() || !member.node.HasLease(member.clock(c.now)) {
		return
	}
	if c.now-member.lastReconciledAt < c.profile.config.HeartbeatInterval {
		return
	}
	member.lastReconciledAt = c.now
	c.replaceLostVoterFirst(member)
	change := c.change
	if change == nil {
		return
	}
	if c.changeCompleted(member, change) {
		c.recordEvent("change completed", member.id, member.node.ConfIndex(), 0)
		c.counts["changes"]++
		c.change = nil
		c.retire(c.byID[change.outgoing])
		return
	}
	if change.incoming != "" && !member.node.IsVoter(change.incoming) {
		member.node.AddLearner(testMember(change.incoming))
		if !member.node.CaughtUp(change.incoming) {
			return
		}
	}
	if voters := member.node.Voters(); change.incoming == "" && len(voters) == 1 && voters[0].ID == change.outgoing {
		c.change = nil // the last voter can't be removed
		return
	}
	c.checks.observe(member)
	if c.proposeChange(member.node, change) {
		change.proposed = true
		c.recordEvent("change proposed", member.id, member.node.ConfIndex(), 0)
	}
}

// replaceLostVoterFirst makes the requested change replace a voter whose disk is lost, if
// there is one, before other voters.
func (c *modelCluster) replaceLostVoterFirst(member *modelMember) {
	if change := c.change; change != nil && change.outgoing != "" && c.byID[change.outgoing].lost {
		return
	}
	for _, id := range allVoters(member.node) {
		if !c.byID[id].lost {
			continue
		}
		if c.change == nil {
			c.change = &voterChange{}
		}
		c.change.outgoing = id
		if c.change.incoming == "" {
			c.change.incoming = c.addAndStartMember().id
		}
		return
	}
}

// retire stops a removed voter after a random delay, or keeps it running as an idle member
// that may become a voter again.
func (c *modelCluster) retire(member *modelMember) {
	if member == nil || member.lost {
		return
	}
	if member.idle = c.chance(0.3); member.idle {
		return
	}
	c.schedule(c.randomDelay(2*time.Second), func() {
		if member.idle || c.change != nil && c.change.incoming == member.id {
			return // becomes a voter again
		}
		c.crash(member, false)
		member.retired = true
	})
}

// abandonChange cancels a requested change that no leader has proposed yet.
func (c *modelCluster) abandonChange(*modelMember) {
	change := c.change
	if change == nil || change.proposed || change.incoming == "" || change.outgoing != "" && c.byID[change.outgoing].lost {
		return
	}
	c.change = nil
	c.byID[change.incoming].idle = true
	for _, member := range c.runningMembers() {
		member.node.RemoveLearner(change.incoming)
	}
}

// pickLearner returns a member to be added as a voter: an idle one or a new one.
func (c *modelCluster) pickLearner() *modelMember {
	for _, member := range c.runningMembers() {
		if member.idle && !member.lost && c.chance(0.5) {
			member.idle = false
			return member
		}
	}
	return c.addAndStartMember()
}
