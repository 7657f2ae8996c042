package raft

import "time"

// handOver is a leader's handing of the lead to another voter. While it lasts,
// the leader takes no commands and trusts no lease.
type handOver struct {
	to      string
	since   time.Time
	ordered bool // the heir was told to take the lead
}

// Transfer hands the lead to the voter that is furthest; false if none is. If
// it fails within an election wait, the leader leads on.
func (n *Node) Transfer() bool {
	if n.role != leader || n.leaving {
		return false
	}
	best := ""
	for _, v := range n.current().voters {
		p := n.peers[v.Disk]
		if p == nil || p.probing || p.faulty || n.now.Sub(p.heard) > n.timing.Elect {
			continue
		}
		if best == "" || p.match > n.peers[best].match {
			best = v.Disk
		}
	}
	if best == "" {
		return false
	}
	n.flush()
	n.leaving = true
	n.handing = handOver{to: best, since: n.now}
	n.orderTransfer()
	return true
}

// orderTransfer tells the heir to take the lead, once it holds the last entry:
// before that the others would refuse it.
func (n *Node) orderTransfer() {
	p := n.peers[n.handing.to]
	if !n.leaving || p == nil || p.faulty || p.match < n.last() {
		return
	}
	n.handing.ordered = true
	n.send(Msg{Kind: MsgTransfer, To: n.handing.to}, false)
	if !n.Voter(n.me) {
		// Voted out: nobody tells it of the next term, and it can't lead on.
		n.newTerm(n.term, "")
	}
}

// endTransfer takes the lead back from a hand-over that had no outcome. An
// order that is still on its way would have its heir elected without regard to
// the lease, so a leader that gave one must not trust any in this term: it has
// itself elected in the next, for which the order is void.
func (n *Node) endTransfer() {
	if !n.handing.ordered {
		n.leaving = false
		return
	}
	near := n.now.Sub(n.quorumAt(n.now)) < n.timing.Elect
	n.newTerm(n.term, "")
	if near {
		n.campaign(true, true)
	}
}

// onTransfer runs for leader at once, by the order of the present one.
func (n *Node) onTransfer(m Msg) {
	if m.Term != n.term || m.From != n.leader || n.role != follower || !n.Voter(n.me) {
		return
	}
	n.campaign(true, true)
}
