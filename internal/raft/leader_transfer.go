package raft

import "time"

// leadershipTransfer is a transfer of the leadership to another voter. While it is in
// progress, the leader accepts no proposals and doesn't rely on its lease.
type leadershipTransfer struct {
	transferee     string // ID of the voter that is to become leader
	startedAt      time.Time
	timeoutNowSent bool
}

// TransferLeadership transfers the leadership to the voter with the longest matching
// log (thesis, section 3.10). Among equals it prefers the one with the most recent
// contact: a voter that has just restarted may have all entries too, but may not be
// reachable yet. The error is ErrNotLeader, ErrTransferInProgress, or ErrNoTransferee if
// no voter is eligible, for example because none responded within an election timeout.
// If the transfer doesn't complete within an election timeout, this member resumes
// leadership.
func (n *Node) TransferLeadership() error {
	transferee := ""
	for _, voter := range n.latestConfiguration().voters {
		if n.isTransferee(voter.ID) && (transferee == "" || n.peers[voter.ID].isBetterTransferee(n.peers[transferee])) {
			transferee = voter.ID
		}
	}
	return n.TransferLeadershipTo(transferee)
}

// TransferLeadershipTo transfers the leadership to the given voter, as TransferLeadership
// does to the one that it selects.
func (n *Node) TransferLeadershipTo(voter string) error {
	if err := n.checkActiveLeader(); err != nil {
		return err
	}
	if !n.isTransferee(voter) {
		return ErrNoTransferee
	}
	n.replicate()
	n.transferring = true
	n.transfer = leadershipTransfer{transferee: voter, startedAt: n.now}
	n.sendTimeoutNow()
	return nil
}

// isTransferee reports whether a member is a voter that may be able to take over the
// leadership immediately.
func (n *Node) isTransferee(id string) bool {
	peer := n.peers[id]
	return peer != nil && containsMember(n.latestConfiguration().voters, id) && !peer.probing && !peer.faulty &&
		n.now.Sub(peer.lastContact) <= n.config.ElectionTimeout
}

// isBetterTransferee reports whether a voter is preferred over another as transferee.
func (p *progress) isBetterTransferee(other *progress) bool {
	if p.match != other.match {
		return p.match > other.match
	}
	return p.lastContact.After(other.lastContact)
}

// sendTimeoutNow makes the transferee campaign once it has the last entry. Before that,
// voters with a longer log would reject it.
func (n *Node) sendTimeoutNow() {
	peer := n.peers[n.transfer.transferee]
	if !n.transferring || peer == nil || peer.faulty || peer.match < n.LastIndex() {
		return
	}
	n.transfer.timeoutNowSent = true
	n.send(Message{Kind: MsgTimeoutNow, To: n.transfer.transferee}, false)
	if !n.IsVoter(n.id) {
		// This member is no longer a voter: it won't learn of a later term, so it must
		// step down on its own initiative.
		n.becomeFollower(n.term, "")
	}
}

// abortTransfer ends a transfer that didn't complete in time. If MsgTimeoutNow was
// sent, it may still arrive and get the transferee elected in spite of the lease, so the
// leader must not rely on a lease in this term. It steps down and, if it had contact to a
// quorum recently, campaigns in the next term, in which the message is stale.
func (n *Node) abortTransfer() {
	if !n.transfer.timeoutNowSent {
		n.transferring = false
		return
	}
	recentQuorum := n.now.Sub(n.lastQuorumContact(n.now)) < n.config.ElectionTimeout
	n.becomeFollower(n.term, "")
	if recentQuorum {
		n.campaign(true)
	}
}

// handleTimeoutNow campaigns immediately, as requested by the current leader.
func (n *Node) handleTimeoutNow(m Message) {
	if m.Term != n.term || m.From != n.leader || n.role != follower || !n.IsVoter(n.id) {
		return
	}
	n.campaign(true)
}
