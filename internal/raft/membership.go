package raft

import (
	"slices"
	"time"
)

// latestConfiguration returns the latest configuration in the log, which is in force
// whether or not it is committed.
func (n *Node) latestConfiguration() *configuration {
	return &n.configurations[len(n.configurations)-1]
}

// recordConfiguration puts the configuration of a configuration entry in force. It
// ignores other entries.
func (n *Node) recordConfiguration(entry Entry) {
	if entry.Kind != EntryConfChange {
		return
	}
	voters, outgoing, err := DecodeConfChange(entry.Data)
	if err != nil {
		panic("raft: decode configuration entry: " + err.Error())
	}
	n.configurations = append(n.configurations, configuration{entry.Index, voters, outgoing})
}

// Voters returns the voters of the latest configuration in the log, including the
// outgoing voters during a change.
func (n *Node) Voters() []Member { return n.latestConfiguration().allVoters() }

// VoterSets returns the two sets of voters of the latest configuration in the log. A
// quorum needs a majority of each. The outgoing set is empty outside a change.
func (n *Node) VoterSets() (voters, outgoing []Member) {
	latest := n.latestConfiguration()
	return latest.voters, latest.outgoing
}

// ConfIndex returns the index of the entry that holds the latest configuration.
func (n *Node) ConfIndex() uint64 { return n.latestConfiguration().index }

// ConfChangePending reports whether a configuration change is in progress.
func (n *Node) ConfChangePending() bool {
	return n.latestConfiguration().isJoint() || n.ConfIndex() > n.commitIndex
}

// IsVoter reports whether a member is a voter, or an outgoing one, in the latest
// configuration in the log.
func (n *Node) IsVoter(id string) bool {
	latest := n.latestConfiguration()
	return containsMember(latest.voters, id) || containsMember(latest.outgoing, id)
}

// previousVoters returns the voters of the configuration before the latest one, if the
// latest one isn't known to be committed.
func (n *Node) previousVoters() []Member {
	previous := len(n.configurations) - 2
	if previous < 0 || n.ConfIndex() <= n.commitIndex {
		return nil
	}
	return n.configurations[previous].allVoters()
}

// promotable reports whether this member may campaign: it is a voter, or it was removed
// by an entry that isn't known to be committed. The log of a removed member may be the
// longest, so that no other member can win its vote. It must then lead once more,
// without counting itself in quorums, to complete the change.
func (n *Node) promotable() bool {
	return n.IsVoter(n.id) || containsMember(n.previousVoters(), n.id)
}

// updatePeers updates the set of members that the leader replicates to: voters,
// learners, and removed voters until their removal is committed.
func (n *Node) updatePeers() {
	tracked := map[string]bool{}
	for _, member := range n.Voters() {
		tracked[member.ID] = true
	}
	for id := range n.learners {
		tracked[id] = true
	}
	if n.ConfChangePending() && len(n.configurations) > 1 {
		for _, member := range n.configurations[len(n.configurations)-2].allVoters() {
			tracked[member.ID] = true
		}
	}
	delete(tracked, n.id)
	for id := range tracked {
		if n.peers[id] == nil {
			n.peers[id] = &progress{next: n.LastIndex() + 1, probing: true, nextSetStamp: n.lastStamp, lastContact: n.now}
		}
	}
	for id, peer := range n.peers {
		if !tracked[id] {
			// A removed voter stops campaigning once it knows that its removal is
			// committed.
			n.sendCommit(id, peer)
			delete(n.peers, id)
		}
	}
}

// ProposeConfChange starts a change to a new set of voters, which may differ in any
// number of members. The leader first appends a joint configuration, which requires
// majorities of both sets. Once that is committed, it appends the configuration with
// only the new set. The error is ErrNotLeader, ErrTransferInProgress,
// ErrConfChangeInProgress or ErrInvalidVoters.
func (n *Node) ProposeConfChange(voters []Member) error {
	if err := n.checkActiveLeader(); err != nil {
		return err
	}
	if n.ConfChangePending() || n.commitIndex < n.noopIndex {
		return ErrConfChangeInProgress
	}
	if len(voters) == 0 || slices.Equal(voters, n.Voters()) {
		return ErrInvalidVoters
	}
	n.appendEntry(EntryConfChange, encodeConfChange(voters, n.latestConfiguration().voters))
	for _, member := range voters {
		delete(n.learners, member.ID)
	}
	n.updatePeers()
	return nil
}

// advanceConfChange takes the next step of a configuration change, which an earlier
// leader may have started. Once the joint entry is committed, it appends the final one.
// Once that is committed, a leader that is no longer a voter transfers the leadership.
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
		if n.TransferLeadership() != nil {
			n.becomeFollower(n.term, "")
		}
	case len(n.peers) > len(latest.voters)-1+len(n.learners):
		n.updatePeers()
	}
}

// AddLearner makes the leader replicate its log to a non-voting member. It does nothing
// if this member isn't the leader or the given member is a voter.
func (n *Node) AddLearner(member Member) {
	if n.role != leader || n.IsVoter(member.ID) {
		return
	}
	n.learners[member.ID] = member
	n.updatePeers()
}

// RemoveLearner stops the replication to a learner.
func (n *Node) RemoveLearner(id string) {
	delete(n.learners, id)
	if n.role == leader {
		n.updatePeers()
	}
}

// startHeartbeatRound starts a new round of heartbeats if one is due, and reports whether
// it did; see CaughtUp.
func (n *Node) startHeartbeatRound() bool {
	if n.now.Sub(n.roundStartedAt) < n.config.HeartbeatInterval {
		return false
	}
	n.roundStartedAt = n.now
	n.previousRoundCommitIndex, n.roundCommitIndex = n.roundCommitIndex, n.commitIndex
	return true
}

// CaughtUp reports whether a member holds all entries that were committed when the last
// complete round of heartbeats began. Under load the newest entries are always in
// flight, so a member isn't required to hold them. A member that lags by more than a
// round isn't caught up, however few entries it lacks.
func (n *Node) CaughtUp(id string) bool {
	peer := n.peers[id]
	return peer != nil && !peer.probing && !peer.faulty && peer.match >= n.previousRoundCommitIndex
}

// TimeSinceContact returns the time since this leader's last contact with a member, or 0
// if it doesn't replicate to that member.
func (n *Node) TimeSinceContact(id string) time.Duration {
	if peer := n.peers[id]; peer != nil {
		return n.now.Sub(peer.lastContact)
	}
	return 0
}

// configurationAt returns the configuration in force at the entry with the given index.
func (n *Node) configurationAt(index uint64) configuration {
	found := n.configurations[0]
	for _, c := range n.configurations {
		if c.index <= index {
			found = c
		}
	}
	return found
}

// VotersAt returns the voters in force at an applied entry, to be stored in a snapshot.
func (n *Node) VotersAt(index uint64) []Member { return n.configurationAt(index).voters }

// OutgoingVotersAt returns the outgoing voters of a change in progress at an applied
// entry, or nil, to be stored in a snapshot.
func (n *Node) OutgoingVotersAt(index uint64) []Member { return n.configurationAt(index).outgoing }
