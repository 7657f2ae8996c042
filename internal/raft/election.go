package raft

import "time"

// role is the role of a member in its current term.
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

// resetElectionTimeout draws the time for which a follower waits for a leader before
// it campaigns. It exceeds ElectionTimeout by a heartbeat interval: other voters may
// have heard the leader up to one interval later, and reject requests until
// ElectionTimeout has passed for them too.
func (n *Node) resetElectionTimeout() {
	n.electionTimeout = n.config.ElectionTimeout + n.config.HeartbeatInterval + n.randomUpTo(n.config.ElectionJitter)
}

// resetCampaignTimeout draws the shorter time after which an undecided campaign is
// repeated.
func (n *Node) resetCampaignTimeout() {
	n.electionTimeout = n.config.HeartbeatInterval + n.randomUpTo(n.config.ElectionJitter)
}

// becomeFollower makes this member a follower in term, which is the current term or a
// later one. leaderID is empty if the leader of that term is unknown.
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

// preCampaign asks the voters whether they would vote for this member in the next
// term. It doesn't increment the term, so a member that can't win doesn't disrupt
// the leader.
func (n *Node) preCampaign() {
	n.startCampaign(preCandidate)
	n.votes = map[string]bool{n.id: true}
	n.requestVotes(Message{Kind: MsgPreVote, Term: n.term + 1}, false)
	n.tallyVotes()
}

// campaign starts an election in the next term. With force, voters ignore the lease of
// the current leader, because it requested the election itself.
func (n *Node) campaign(force bool) {
	n.startCampaign(candidate)
	// The member's own vote counts once it is on disk; see WriteSynced.
	n.votes = map[string]bool{n.id: false}
	n.term++
	n.vote = n.id
	n.hardStateDirty = true
	n.requestVotes(Message{Kind: MsgVote, Force: force}, true)
	n.tallyVotes()
}

func (n *Node) startCampaign(as role) {
	n.electionTimerStart = n.now
	n.resetCampaignTimeout()
	n.leader = ""
	n.role = as
}

// requestVotes sends a request to all other voters, with the index and term of this
// member's last entry.
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

// tallyVotes advances a pre-candidate to candidate, or a candidate to leader, once a
// quorum has granted its votes.
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

// isUpToDate reports whether the log of a member that requests a vote is at least as
// up to date as this member's log.
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
	// A pre-candidate may vote too, since it hasn't voted for itself yet.
	granted := (n.vote == "" || n.vote == m.From) && n.leader == "" && n.isUpToDate(m)
	// A member also rejects votes within an election timeout of its start (New sets
	// lastLeaderContact), since a leader may still rely on a lease that this member
	// confirmed before it stopped.
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
