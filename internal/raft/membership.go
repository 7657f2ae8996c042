package raft

import (
	"slices"
	"sort"
	"time"
)

// configuration is who votes from an entry of the log on. While it is joint,
// old holds the voters before the change: an election, a commit and a lease
// then need a majority of each, so that at no moment two majorities could pass
// each other by.
type configuration struct {
	index            uint64
	voters, outgoing []Member
}

func (c *configuration) isJoint() bool { return len(c.outgoing) > 0 }

// allVoters are those who vote: the voters, then those who are on their way out.
func (c *configuration) allVoters() []Member {
	if !c.isJoint() {
		return c.voters
	}
	all := slices.Clone(c.voters)
	for _, v := range c.outgoing {
		if !containsMember(c.voters, v.ID) {
			all = append(all, v)
		}
	}
	return all
}

// hasQuorum tells whether each set of voters has a majority of such disks.
func (c *configuration) hasQuorum(granted func(disk string) bool) bool {
	majority := func(voters []Member) bool {
		count := 0
		for _, v := range voters {
			if granted(v.ID) {
				count++
			}
		}
		return 2*count > len(voters)
	}
	return majority(c.voters) && (!c.isJoint() || majority(c.outgoing))
}

// quorumValue is the highest value that a majority of each set has reached.
func (c *configuration) quorumValue(value func(disk string) uint64) uint64 {
	majorityValue := func(voters []Member) uint64 {
		values := make([]uint64, len(voters))
		for i, v := range voters {
			values[i] = value(v.ID)
		}
		sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
		return values[len(values)/2]
	}
	if !c.isJoint() {
		return majorityValue(c.voters)
	}
	return min(majorityValue(c.voters), majorityValue(c.outgoing))
}

func containsMember(members []Member, id string) bool {
	return slices.ContainsFunc(members, func(v Member) bool { return v.ID == id })
}

// latestConfiguration is the newest configuration in the log, committed or not.
func (n *Node) latestConfiguration() *configuration {
	return &n.configurations[len(n.configurations)-1]
}

func (n *Node) recordConfiguration(e Entry) {
	if e.Kind != EntryConfChange {
		return
	}
	voters, outgoing, err := DecodeConfChange(e.Data)
	if err != nil {
		panic("raft: conf entry unreadable: " + err.Error())
	}
	n.configurations = append(n.configurations, configuration{e.Index, voters, outgoing})
}

// Voters are all who vote by the newest configuration in the log; in mid-change
// also those who are on their way out.
func (n *Node) Voters() []Member { return n.latestConfiguration().allVoters() }

// VoterSets are the voters of the newest configuration and, in mid-change,
// those before it; a majority of each is needed.
func (n *Node) VoterSets() (voters, outgoing []Member) {
	return n.latestConfiguration().voters, n.latestConfiguration().outgoing
}

// ConfIndex is the entry of the newest configuration.
func (n *Node) ConfIndex() uint64 { return n.latestConfiguration().index }

// ConfChangePending tells whether a change of the voters is under way.
func (n *Node) ConfChangePending() bool {
	return n.latestConfiguration().isJoint() || n.ConfIndex() > n.commitIndex
}

// IsVoter tells whether a disk votes.
func (n *Node) IsVoter(id string) bool {
	return containsMember(n.latestConfiguration().voters, id) || containsMember(n.latestConfiguration().outgoing, id)
}

// promotable tells whether this member runs for leader: a voter, or one that was
// voted out by an entry which is not committed for all it knows. Its log may be
// the longest, and its vote refused to all others by that; it must then lead
// once more (without counting itself) to end the change.
func (n *Node) promotable() bool {
	if n.IsVoter(n.id) {
		return true
	}
	previous := len(n.configurations) - 2
	return previous >= 0 && n.ConfIndex() > n.commitIndex && containsMember(n.configurations[previous].allVoters(), n.id)
}

// updatePeers keeps the progress of those whom the leader sends to: voters,
// candidates, and who was just voted out, until that is committed.
func (n *Node) updatePeers() {
	wanted := map[string]bool{}
	for _, v := range n.Voters() {
		wanted[v.ID] = true
	}
	for id := range n.learners {
		wanted[id] = true
	}
	if n.ConfChangePending() && len(n.configurations) > 1 {
		for _, v := range n.configurations[len(n.configurations)-2].allVoters() {
			wanted[v.ID] = true
		}
	}
	delete(wanted, n.id)
	for id := range wanted {
		if n.peers[id] == nil {
			n.peers[id] = &progress{next: n.lastIndex() + 1, probing: true, nextSetStamp: n.lastStamp, lastContact: n.now}
		}
	}
	for id, peer := range n.peers {
		if !wanted[id] {
			// Who was voted out may rest once it knows that this is committed.
			n.sendCommit(id, peer)
			delete(n.peers, id)
		}
	}
}

// ProposeConfChange starts a change to a new set of voters, in one step however many
// change: first an entry under which both sets count, then, by itself once that
// is committed, one with the new set alone. Refused while a change is under way.
func (n *Node) ProposeConfChange(voters []Member) bool {
	if n.role != leader || n.transferring || n.ConfChangePending() || n.commitIndex < n.noopIndex || len(voters) == 0 || slices.Equal(voters, n.Voters()) {
		return false
	}
	n.appendEntry(EntryConfChange, encodeConfChange(voters, n.latestConfiguration().voters))
	for _, v := range voters {
		delete(n.learners, v.ID)
	}
	n.updatePeers()
	return true
}

// advanceConfChange takes the next step of a change, also one that an earlier leader
// began: the final entry once the joint one is committed, and, once that is, a
// leader that is no longer a voter hands over.
func (n *Node) advanceConfChange() {
	latest := n.latestConfiguration()
	if latest.index > n.commitIndex || n.commitIndex < n.noopIndex {
		return
	}
	switch {
	case n.transferring:
	case latest.isJoint():
		n.appendEntry(EntryConfChange, encodeConfChange(latest.voters, nil))
		n.updatePeers()
	case !n.IsVoter(n.id):
		if !n.TransferLeadership() {
			n.becomeFollower(n.term, "")
		}
	case len(n.peers) > len(latest.voters)-1+len(n.learners):
		n.updatePeers()
	}
}

// AddLearner starts to bring a candidate up to date.
func (n *Node) AddLearner(member Member) {
	if n.role != leader || n.IsVoter(member.ID) {
		return
	}
	n.learners[member.ID] = member
	n.updatePeers()
}

// RemoveLearner ends that.
func (n *Node) RemoveLearner(id string) {
	delete(n.learners, id)
	if n.role == leader {
		n.updatePeers()
	}
}

// startHeartbeatRound starts a round of heartbeats, if it is time for one.
func (n *Node) startHeartbeatRound() bool {
	if n.now.Sub(n.roundStartedAt) < n.config.HeartbeatInterval {
		return false
	}
	n.roundStartedAt = n.now
	n.previousRoundCommitIndex, n.roundCommitIndex = n.roundCommitIndex, n.commitIndex
	return true
}

// CaughtUp tells whether a member holds all that was committed when the last
// whole round of heartbeats began. Under load the newest entries are always
// under way, so that more can't be asked for; a member that lags by more than a
// round never counts, however few entries that are.
func (n *Node) CaughtUp(id string) bool {
	peer := n.peers[id]
	return peer != nil && !peer.probing && !peer.faulty && peer.match >= n.previousRoundCommitIndex
}

// SilentFor is how long a member has not been heard.
func (n *Node) SilentFor(id string) time.Duration {
	if peer := n.peers[id]; peer != nil {
		return n.now.Sub(peer.lastContact)
	}
	return 0
}

// configurationAt is the configuration in force at an entry.
func (n *Node) configurationAt(index uint64) configuration {
	found := n.configurations[0]
	for _, c := range n.configurations {
		if c.index <= index {
			found = c
		}
	}
	return found
}

// VotersAt are the voters at an applied entry; a snapshot holds them.
func (n *Node) VotersAt(index uint64) []Member { return n.configurationAt(index).voters }

// OutgoingVotersAt are the voters before a change that was under way at an applied
// entry, else nothing; a snapshot holds them too.
func (n *Node) OutgoingVotersAt(index uint64) []Member { return n.configurationAt(index).outgoing }
