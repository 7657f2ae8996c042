package raft

import (
	"slices"
	"time"
)

// latestConfiguration returns the newest configuration in the log, which is in force
// whether it is committed or not.
func (n *Node) latestConfiguration() *configuration {
	return &n.configurations[len(n.configurations)-1]
}

// recordConfiguration puts a new configuration in force, if the entry holds one.
func (n *Node) recordConfiguration(entry Entry) {
	if entry.Kind != EntryConfChange {
		return
	}
	voters, outgoing, err := DecodeConfChange(entry.Data)
	if err != nil {
		panic("raft: conf entry unreadable: " + err.Error())
	}
	n.configurations = append(n.configurations, configuration{entry.Index, voters, outgoing})
}

// Voters returns all that vote by the newest configuration in the log, during a
// change also the outgoing voters.
func (n *Node) Voters() []Member { return n.latestConfiguration().allVoters() }

// VoterSets returns the two sets of voters of the newest configuration in the log,
// of each of which a majority is needed. The second one is empty outside a change.
func (n *Node) VoterSets() (voters, outgoing []Member) {
	latest := n.latestConfiguration()
	return latest.voters, latest.outgoing
}

// ConfIndex returns the index of the entry of the newest configuration.
func (n *Node) ConfIndex() uint64 { return n.latestConfiguration().index }

// ConfChangePending reports whether a configuration change is under way.
func (n *Node) ConfChangePending() bool {
	return n.latestConfiguration().isJoint() || n.ConfIndex() > n.commitIndex
}

// IsVoter reports whether a member votes by the newest configuration in the log.
func (n *Node) IsVoter(id string) bool {
	latest := n.latestConfiguration()
	return containsMember(latest.voters, id) || containsMember(latest.outgoing, id)
}

// previousVoters returns the voters of the configuration before the newest one, if
// the newest one is not known to be committed.
func (n *Node) previousVoters() []Member {
	previous := len(n.configurations) - 2
	if previous < 0 || n.ConfIndex() <= n.commitIndex {
		return nil
	}
	return n.configurations[previous].allVoters()
}

// promotable reports whether this member may campaign: a voter, or one that was
// voted out by an entry which is not known to be committed. Its log may be the
// longest, so that no other can win its vote; it must then lead once more, without
// counting itself, to end the change.
func (n *Node) promotable() bool {
	return n.IsVoter(n.id) || containsMember(n.previousVoters(), n.id)
}

// updatePeers makes the leader track the members that it sends to: voters,
// learners, and those voted out, until that is committed.
func (n *Node) updatePeers() {
	wanted := map[string]bool{}
	for _, member := range n.Voters() {
		wanted[member.ID] = true
	}
	for id := range n.learners {
		wanted[id] = true
	}
	if n.ConfChangePending() && len(n.configurations) > 1 {
		for _, member := range n.configurations[len(n.configurations)-2].allVoters() {
			wanted[member.ID] = true
		}
	}
	delete(wanted, n.id)
	for id := range wanted {
		if n.peers[id] == nil {
			n.peers[id] = &progress{next: n.LastIndex() + 1, probing: true, nextSetStamp: n.lastStamp, lastContact: n.now}
		}
	}
	for id, peer := range n.peers {
		if !wanted[id] {
			// A member that was voted out stops campaigning once it knows that this
			// is committed.
			n.sendCommit(id, peer)
			delete(n.peers, id)
		}
	}
}

// ProposeConfChange starts a change to a new set of voters, however many differ. The
// log first gets an entry under which majorities of both sets are needed; once that
// is committed, the leader adds one with the new set alone. The error is ErrNotLeader,
// ErrTransferInProgress, ErrConfChangeInProgress or ErrInvalidVoters.
func (n *Node) ProposeConfChange(voters []Member) error {
	if err := n.checkLeads(); err != nil {
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

// advanceConfChange takes the next step of a configuration change, also of one that
// an earlier leader began. Once the joint entry is committed, the final one follows;
// once that is committed, a leader that is no longer a voter transfers the leadership.
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

// AddLearner makes the leader replicate its log to a member that does not vote. It
// does nothing on other members, or for a voter.
func (n *Node) AddLearner(member Member) {
	if n.role != leader || n.IsVoter(member.ID) {
		return
	}
	n.learners[member.ID] = member
	n.updatePeers()
}

// RemoveLearner ends the replication to a learner.
func (n *Node) RemoveLearner(id string) {
	delete(n.learners, id)
	if n.role == leader {
		n.updatePeers()
	}
}

// startHeartbeatRound starts a round of heartbeats, if it is time for one; see
// CaughtUp.
func (n *Node) startHeartbeatRound() bool {
	if n.now.Sub(n.roundStartedAt) < n.config.HeartbeatInterval {
		return false
	}
	n.roundStartedAt = n.now
	n.previousRoundCommitIndex, n.roundCommitIndex = n.roundCommitIndex, n.commitIndex
	return true
}

// CaughtUp reports whether a member holds all that was committed when the last
// complete round of heartbeats began. Under load the newest entries are always
// under way, so that a member can't be required to have them; one that lags by more
// than a round is not caught up, however few entries that are.
func (n *Node) CaughtUp(id string) bool {
	peer := n.peers[id]
	return peer != nil && !peer.probing && !peer.faulty && peer.match >= n.previousRoundCommitIndex
}

// TimeSinceContact returns the time since a member was last heard by this leader, or 0 if
// the leader does not track it.
func (n *Node) TimeSinceContact(id string) time.Duration {
	if peer := n.peers[id]; peer != nil {
		return n.now.Sub(peer.lastContact)
	}
	return 0
}

// configurationAt returns the configuration in force at an entry.
func (n *Node) configurationAt(index uint64) configuration {
	found := n.configurations[0]
	for _, c := range n.configurations {
		if c.index <= index {
			found = c
		}
	}
	return found
}

// VotersAt returns the voters in force at an applied entry, for a snapshot.
func (n *Node) VotersAt(index uint64) []Member { return n.configurationAt(index).voters }

// OutgoingVotersAt returns the outgoing voters of a change that was under way at an
// applied entry, or nil, for a snapshot.
func (n *Node) OutgoingVotersAt(index uint64) []Member { return n.configurationAt(index).outgoing }
