package raft

import "time"

// leadTransfer is a leader's handing of the lead to another voter. While it lasts,
// the leader takes no commands and trusts no lease.
type leadTransfer struct {
	transferee     string
	startedAt      time.Time
	timeoutNowSent bool // the heir was told to take the lead
}

// TransferLeadership hands the lead to the voter that is furthest; false if none is. If
// it fails within an election wait, the leader leads on.
func (n *Node) TransferLeadership() bool {
	if n.role != leader || n.transferring {
		return false
	}
	best := ""
	for _, v := range n.latestConfiguration().voters {
		peer := n.peers[v.ID]
		if peer == nil || peer.probing || peer.faulty || n.now.Sub(peer.lastContact) > n.config.ElectionTimeout {
			continue
		}
		if best == "" || peer.match > n.peers[best].match {
			best = v.ID
		}
	}
	if best == "" {
		return false
	}
	n.replicate()
	n.transferring = true
	n.transfer = leadTransfer{transferee: best, startedAt: n.now}
	n.sendTimeoutNow()
	return true
}

// sendTimeoutNow tells the heir to take the lead, once it holds the last entry:
// before that the others would refuse it.
func (n *Node) sendTimeoutNow() {
	peer := n.peers[n.transfer.transferee]
	if !n.transferring || peer == nil || peer.faulty || peer.match < n.lastIndex() {
		return
	}
	n.transfer.timeoutNowSent = true
	n.send(Message{Kind: MsgTimeoutNow, To: n.transfer.transferee}, false)
	if !n.IsVoter(n.id) {
		// Voted out: nobody tells it of the next term, and it can't lead on.
		n.becomeFollower(n.term, "")
	}
}

// abortTransfer takes the lead back from a hand-over that had no outcome. An
// order that is still on its way would have its heir elected without regard to
// the lease, so a leader that gave one must not trust any in this term: it has
// itself elected in the next, for which the order is void.
func (n *Node) abortTransfer() {
	if !n.transfer.timeoutNowSent {
		n.transferring = false
		return
	}
	recentQuorum := n.now.Sub(n.lastQuorumContact(n.now)) < n.config.ElectionTimeout
	n.becomeFollower(n.term, "")
	if recentQuorum {
		n.campaign(true, true)
	}
}

// handleTimeoutNow runs for leader at once, by the order of the present one.
func (n *Node) handleTimeoutNow(m Message) {
	if m.Term != n.term || m.From != n.leader || n.role != follower || !n.IsVoter(n.id) {
		return
	}
	n.campaign(true, true)
}
