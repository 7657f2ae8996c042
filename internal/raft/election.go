package raft

import "time"

// role is the part that a member plays in its term.
type role byte

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

func (n *Node) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(n.random.Int63n(int64(limit) + 1))
}

// resetElectionTimeout draws the time for which a follower waits for a leader.
// It exceeds ElectionTimeout by a heartbeat interval: the others heard the leader
// up to one interval later, and would refuse until their own timeout is over.
func (n *Node) resetElectionTimeout() {
	n.electionTimeout = n.config.ElectionTimeout + n.config.HeartbeatInterval + n.randomUpTo(n.config.ElectionJitter)
}

// shortenElectionTimeout draws the shorter time after which a campaign without
// an outcome is repeated.
func (n *Node) shortenElectionTimeout() {
	n.electionTimeout = n.config.HeartbeatInterval + n.randomUpTo(n.config.ElectionJitter)
}

// becomeFollower follows a leader, or nobody yet if leaderID is empty, in a term
// that is the present one or a later one.
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

// preCampaign asks the voters whether they would vote for this member in the
// next term. The term stays as it is, so that a member which can't win does not
// disturb a leader.
func (n *Node) preCampaign() {
	n.startCampaign(preCandidate)
	n.votes = map[string]bool{n.id: true}
	n.requestVotes(Message{Kind: MsgPreVote, Term: n.term + 1}, false)
	n.tallyVotes()
}

// campaign stands for election in the next term; with force, others vote without
// regard to the lease of the present leader, who ordered the election.
func (n *Node) campaign(force bool) {
	n.startCampaign(candidate)
	// Its own vote counts once it is on disk, as any other.
	n.votes = map[string]bool{n.id: false}
	n.term++
	n.vote = n.id
	n.hardStateDirty = true
	n.requestVotes(Message{Kind: MsgVote, Force: force}, true)
	n.tallyVotes()
}

func (n *Node) startCampaign(as role) {
	n.electionTimerStart = n.now
	n.shortenElectionTimeout()
	n.leader = ""
	n.role = as
}

// requestVotes sends a request to all other voters, with the end of this
// member's log.
func (n *Node) requestVotes(request Message, afterSync bool) {
	request.Index = n.LastIndex()
	request.LogTerm, _ = n.TermAt(n.LastIndex())
	for _, voter := range n.Voters() {
		if voter.ID != n.id {
			request.To = voter.ID
			n.send(request, afterSync)
		}
	}
}

// tallyVotes goes on to the next stage of an election once a majority has
// granted its vote.
func (n *Node) tallyVotes() {
	if !n.latestConfiguration().hasQuorum(func(id string) bool { return n.votes[id] }) {
		return
	}
	switch n.role {
	case preCandidate:
		n.campaign(false)
	case candidate:
		n.becomeLeader()
	}
}

func (n *Node) becomeLeader() {
	n.leader = n.id
	n.role = leader
	n.transferring = false
	n.electedAt = n.now
	n.peers, n.learners = map[string]*progress{}, map[string]Member{}
	n.updatePeers()
	n.noopIndex = n.LastIndex() + 1
	n.roundStartedAt, n.previousRoundCommitIndex, n.roundCommitIndex = n.now, n.noopIndex, n.noopIndex
	n.appendEntry(EntryNoop, nil)
}

// isUpToDate reports whether the log of a member that asks for a vote ends no
// earlier than this one.
func (n *Node) isUpToDate(m Message) bool {
	logTerm, _ := n.TermAt(n.LastIndex())
	return m.LogTerm > logTerm || m.LogTerm == logTerm && m.Index >= n.LastIndex()
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
	// A pre-candidate may vote too, since it has not yet voted for itself.
	granted := (n.vote == "" || n.vote == m.From) && n.leader == "" && n.isUpToDate(m)
	// Within an election timeout of its start a member grants no vote either (New sets
	// lastLeaderContact), since a leader may still trust a lease that it confirmed
	// before it stopped.
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
