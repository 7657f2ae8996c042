package raft

import "time"

type role byte

const (
	follower = role(iota)
	preCandidate
	candidate
	leader
)

func (n *Node) resetElectionTimeout() {
	// A beat more than Elect: the others heard the leader up to a beat later, and
	// would refuse until their own wait is over.
	n.electionTimeout = n.config.ElectionTimeout + n.config.HeartbeatInterval + time.Duration(n.random.Int63n(int64(n.config.ElectionJitter)+1))
}

// shortenElectionTimeout is the shorter wait after a round without an outcome.
func (n *Node) shortenElectionTimeout() {
	n.electionTimeout = n.config.HeartbeatInterval + time.Duration(n.random.Int63n(int64(n.config.ElectionJitter)+1))
}

func (n *Node) becomeFollower(term uint64, leaderID string) {
	if n.role == leader {
		n.electionTimerStart = n.now
		n.resetElectionTimeout()
	}
	if term > n.term {
		n.term, n.vote = term, ""
		n.hardStateDirty = true
	}
	if n.role == leader {
		n.peers = nil
	}
	n.role, n.leader, n.noopIndex, n.transferring = follower, leaderID, 0, false
}

func (n *Node) campaign(election, force bool) {
	n.electionTimerStart = n.now
	n.shortenElectionTimeout()
	n.leader = ""
	// Its own vote counts once it is on disk, as any other.
	n.votes = map[string]bool{n.id: !election}
	kind, term := MsgPreVote, n.term+1
	n.role = preCandidate
	if election {
		n.term++
		n.vote = n.id
		n.hardStateDirty = true
		n.role = candidate
		kind = MsgVote
	}
	logTerm, _ := n.termAt(n.lastIndex())
	for _, v := range n.Voters() {
		if v.ID != n.id {
			n.send(Message{Kind: kind, To: v.ID, Term: term, Index: n.lastIndex(), LogTerm: logTerm, Force: force}, election)
		}
	}
	n.tallyVotes()
}

func (n *Node) tallyVotes() {
	if !n.latestConfiguration().hasQuorum(func(id string) bool { return n.votes[id] }) {
		return
	}
	if n.role == preCandidate {
		n.campaign(true, false)
		return
	}
	if n.role == candidate {
		n.leader = n.id
		n.role = leader
		n.transferring = false
		n.electedAt = n.now
		n.peers, n.learners = map[string]*progress{}, map[string]Member{}
		n.updatePeers()
		n.noopIndex = n.lastIndex() + 1
		n.roundStartedAt, n.previousRoundCommitIndex, n.roundCommitIndex = n.now, n.noopIndex, n.noopIndex
		n.appendEntry(EntryNoop, nil)
	}
}

func (n *Node) isUpToDate(m Message) bool {
	logTerm, _ := n.termAt(n.lastIndex())
	return m.LogTerm > logTerm || m.LogTerm == logTerm && m.Index >= n.lastIndex()
}

func (n *Node) handlePreVote(m Message) {
	leaderAlive := n.role == leader || n.now.Sub(n.lastLeaderContact) < n.config.ElectionTimeout
	granted := m.Term > n.term && n.isUpToDate(m) && !leaderAlive
	term := m.Term
	if !granted {
		term = n.term
	}
	n.send(Message{Kind: MsgPreVoteResponse, To: m.From, Term: term, Reject: !granted}, false)
}

func (n *Node) handlePreVoteResponse(m Message) {
	if m.Reject {
		if m.Term > n.term {
			n.becomeFollower(m.Term, "")
		}
		return
	}
	if n.role == preCandidate && m.Term == n.term+1 {
		n.votes[m.From] = true
		n.tallyVotes()
	}
}

func (n *Node) handleVote(m Message) {
	if m.Term < n.term {
		n.send(Message{Kind: MsgVoteResponse, To: m.From, Reject: true}, false)
		return
	}
	// Also while it asks around for itself: it has promised its vote to nobody.
	granted := (n.vote == "" || n.vote == m.From) && n.leader == "" && n.isUpToDate(m)
	// Not soon after a start: a lease from before it may be running.
	if !m.Force && n.now.Sub(n.lastLeaderContact) < n.config.ElectionTimeout {
		granted = false
	}
	if granted {
		n.role = follower
		n.hardStateDirty = n.hardStateDirty || n.vote != m.From
		n.vote = m.From
		n.electionTimerStart = n.now
		n.resetElectionTimeout()
	}
	n.send(Message{Kind: MsgVoteResponse, To: m.From, Reject: !granted}, granted)
}

func (n *Node) handleVoteResponse(m Message) {
	if n.role != candidate || m.Term != n.term || m.Reject {
		return
	}
	n.votes[m.From] = true
	n.tallyVotes()
}
