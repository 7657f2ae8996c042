package raft

import "time"

type role byte

const (
	follower = role(iota)
	preCandidate
	candidate
	leader
)

func (n *Node) resetWait() {
	// A beat more than Elect: the others heard the leader up to a beat later, and
	// would refuse until their own wait is over.
	n.wait = n.timing.Elect + n.timing.Beat + time.Duration(n.random.Int63n(int64(n.timing.Spread)+1))
}

// retryWait is the shorter wait after a round without an outcome.
func (n *Node) retryWait() {
	n.wait = n.timing.Beat + time.Duration(n.random.Int63n(int64(n.timing.Spread)+1))
}

func (n *Node) newTerm(term uint64, lead string) {
	if n.role == leader {
		n.heard = n.now
		n.resetWait()
	}
	if term > n.term {
		n.term, n.vote = term, ""
		n.hardDirty = true
	}
	if n.role == leader {
		n.peers = nil
	}
	n.role, n.leader, n.noop, n.leaving = follower, lead, 0, false
}

func (n *Node) campaign(real, force bool) {
	n.heard = n.now
	n.retryWait()
	n.leader = ""
	// Its own vote counts once it is on disk, as any other.
	n.votes = map[string]bool{n.me: !real}
	kind, term := MsgPreVote, n.term+1
	n.role = preCandidate
	if real {
		n.term++
		n.vote = n.me
		n.hardDirty = true
		n.role = candidate
		kind = MsgVote
	}
	logTerm, _ := n.termAt(n.last())
	for _, v := range n.Voters() {
		if v.Disk != n.me {
			n.send(Msg{Kind: kind, To: v.Disk, Term: term, Index: n.last(), LogTerm: logTerm, Force: force}, real)
		}
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	if !n.current().majorities(func(disk string) bool { return n.votes[disk] }) {
		return
	}
	if n.role == preCandidate {
		n.campaign(true, false)
		return
	}
	if n.role == candidate {
		n.leader = n.me
		n.role = leader
		n.leaving = false
		n.elected = n.now
		n.peers, n.learners = map[string]*progress{}, map[string]Voter{}
		n.trackPeers()
		n.noop = n.last() + 1
		n.roundAt, n.roundBefore, n.roundCommit = n.now, n.noop, n.noop
		n.appendEntry(EntryNone, nil)
	}
}

func (n *Node) upToDate(m Msg) bool {
	logTerm, _ := n.termAt(n.last())
	return m.LogTerm > logTerm || m.LogTerm == logTerm && m.Index >= n.last()
}

func (n *Node) onPreVote(m Msg) {
	fresh := n.role == leader || n.now.Sub(n.kept) < n.timing.Elect
	ok := m.Term > n.term && n.upToDate(m) && !fresh
	t := m.Term
	if !ok {
		t = n.term
	}
	n.send(Msg{Kind: MsgPreVoteAnswer, To: m.From, Term: t, Reject: !ok}, false)
}

func (n *Node) onPreVoteAnswer(m Msg) {
	if m.Reject {
		if m.Term > n.term {
			n.newTerm(m.Term, "")
		}
		return
	}
	if n.role == preCandidate && m.Term == n.term+1 {
		n.votes[m.From] = true
		n.countVotes()
	}
}

func (n *Node) onVote(m Msg) {
	if m.Term < n.term {
		n.send(Msg{Kind: MsgVoteAnswer, To: m.From, Reject: true}, false)
		return
	}
	// Also while it asks around for itself: it has promised its vote to nobody.
	ok := (n.vote == "" || n.vote == m.From) && n.leader == "" && n.upToDate(m)
	// Not soon after a start: a lease from before it may be running.
	if !m.Force && n.now.Sub(n.kept) < n.timing.Elect {
		ok = false
	}
	if ok {
		n.role = follower
		n.hardDirty = n.hardDirty || n.vote != m.From
		n.vote = m.From
		n.heard = n.now
		n.resetWait()
	}
	n.send(Msg{Kind: MsgVoteAnswer, To: m.From, Reject: !ok}, ok)
}

func (n *Node) onVoteAnswer(m Msg) {
	if n.role != candidate || m.Term != n.term || m.Reject {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}
