package raft

import "time"

// leadTransfer is a leader's transfer of the leadership to another voter. While
// it lasts, the leader takes no commands and trusts no lease.
type leadTransfer struct {
	transferee     string // ID of the voter that is to lead
	startedAt      time.Time
	timeoutNowSent bool
}

// TransferLeadership hands the leadership to the voter whose log is longest
// (thesis, section 3.10), and among equal ones to the one heard last: a voter that
// has just restarted has all entries too, but may not be reached yet. The error is
// ErrNotLeader, ErrTransferInProgress, or ErrNoTransferee if no voter was heard lately. If
// the transfer has no outcome within an election timeout, this member leads on.
func (n *Node) TransferLeadership() error {
	best := ""
	for _, voter := range n.latestConfiguration().voters {
		if n.isTransferee(voter.ID) && (best == "" || n.peers[voter.ID].isBetterTransferee(n.peers[best])) {
			best = voter.ID
		}
	}
	return n.TransferLeadershipTo(best)
}

// TransferLeadershipTo hands the leadership to a voter, as TransferLeadership does.
func (n *Node) TransferLeadershipTo(voter string) error {
	if err := n.checkLeads(); err != nil {
		return err
	}
	if !n.isTransferee(voter) {
		return ErrNoTransferee
	}
	n.replicate()
	n.transferring = true
	n.transfer = leadTransfer{transferee: voter, startedAt: n.now}
	n.sendTimeoutNow()
	return nil
}

// isTransferee reports whether a member is a voter that may be able to lead at once.
func (n *Node) isTransferee(id string) bool {
	peer := n.peers[id]
	return peer != nil && containsMember(n.latestConfiguration().voters, id) && !peer.probing && !peer.faulty && n.now.Sub(peer.lastContact) <= n.config.ElectionTimeout
}

// isBetterTransferee reports whether a voter is to lead rather than another one.
func (p *progress) isBetterTransferee(other *progress) bool {
	if p.match != other.match {
		return p.match > other.match
	}
	return p.lastContact.After(other.lastContact)
}

// sendTimeoutNow makes the transferee campaign, once it has the last entry: before
// that the others would not vote for it.
func (n *Node) sendTimeoutNow() {
	peer := n.peers[n.transfer.transferee]
	if !n.transferring || peer == nil || peer.faulty || peer.match < n.LastIndex() {
		return
	}
	n.transfer.timeoutNowSent = true
	n.send(Message{Kind: MsgTimeoutNow, To: n.transfer.transferee}, false)
	if !n.IsVoter(n.id) {
		// This member is no longer a voter: it hears of no later term, and must not
		// go on leading.
		n.becomeFollower(n.term, "")
	}
}

// abortTransfer takes the leadership back from a transfer without an outcome. A
// MsgTimeoutNow that is still on its way would have the transferee elected
// without regard to the lease, so a leader that sent one must not trust any lease
// in this term: it has itself elected in the next, in which the message is void.
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

// handleTimeoutNow campaigns at once, by order of the present leader.
func (n *Node) handleTimeoutNow(m Message) {
	if m.Term != n.term || m.From != n.leader || n.role != follower || !n.IsVoter(n.id) {
		return
	}
	n.campaign(true)
}
