package raft

import (
	"math/rand"
	"time"
)

// Node is the state machine of one member. It isn't safe for several tasks.
type Node struct {
	id     string
	config Config
	random *rand.Rand

	term   uint64
	vote   string
	role   role
	leader string

	base           Snapshot // index, term of the last entry dropped, and the conf there
	log            []Entry
	configurations []configuration

	commitIndex, appliedIndex uint64
	syncedIndex               uint64
	unsyncedHardStates        int // hard states not yet synced
	// Writes handed out, and how many of them are synced.
	issuedWrites, syncedWrites uint64
	// A write up to supersededWrite may name entries that were replaced since: from
	// supersededFrom on it proves nothing.
	supersededWrite, supersededFrom uint64

	startedAt          time.Time // stamps count from here
	lastStamp          int64     // the newest stamp
	now                time.Time
	electionTimerStart time.Time // the election wait counts from here
	lastLeaderContact  time.Time // the last word of a leader, or the start
	electedAt          time.Time
	electionTimeout    time.Duration
	votes              map[string]bool
	peers              map[string]*progress
	learners           map[string]Member
	eagerCommitPeers   map[string]bool
	noopIndex          uint64
	// What was committed when the present round of heartbeats began, and the
	// one before it.
	roundCommitIndex, previousRoundCommitIndex uint64
	roundStartedAt                             time.Time
	transferring                               bool
	transfer                                   leadTransfer // while leaving

	hardStateDirty bool
	pending        Ready
	wallClock      func() int64
	snapshotSource func() *Snapshot
}

// New builds a node from what its disk holds.
func New(id string, hardState HardState, snapshot Snapshot, entries []Entry, now time.Time, config Config, seed int64) *Node {
	n := &Node{id: id, config: config, random: rand.New(rand.NewSource(seed)), term: hardState.Term, vote: hardState.Vote,
		base: Snapshot{Index: snapshot.Index, Term: snapshot.Term, Voters: snapshot.Voters, OutgoingVoters: snapshot.OutgoingVoters}, log: entries, commitIndex: snapshot.Index, appliedIndex: snapshot.Index,
		startedAt: now, now: now, electionTimerStart: now, lastLeaderContact: now, learners: map[string]Member{}}
	n.configurations = []configuration{{snapshot.Index, snapshot.Voters, snapshot.OutgoingVoters}}
	for _, e := range entries {
		n.recordConfiguration(e)
	}
	n.syncedIndex = n.lastIndex()
	// A whole wait after a start: a lease that this member confirmed
	// before it ended may still be trusted.
	n.electionTimeout = n.config.ElectionTimeout + n.config.HeartbeatInterval/4 + time.Duration(n.random.Int63n(int64(n.config.ElectionJitter)/2+1))
	return n
}

func (n *Node) lastIndex() uint64 { return n.base.Index + uint64(len(n.log)) }

func (n *Node) termAt(index uint64) (uint64, bool) {
	if index == n.base.Index {
		return n.base.Term, true
	}
	if index < n.base.Index || index > n.lastIndex() {
		return 0, false
	}
	return n.log[index-n.base.Index-1].Term, true
}

// ID is this node's disk.
func (n *Node) ID() string { return n.id }

// Term is the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader is the disk of the known leader, or empty.
func (n *Node) Leader() string { return n.leader }

// IsLeader tells whether this node is the leader of its term.
func (n *Node) IsLeader() bool { return n.role == leader }

// CommitIndex and Applied tell how far the log is settled and handed out.
func (n *Node) CommitIndex() uint64  { return n.commitIndex }
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// LastIndex is the index of the newest entry.
func (n *Node) LastIndex() uint64 { return n.lastIndex() }

func (n *Node) send(m Message, afterSync bool) {
	m.From = n.id
	if m.Kind != MsgPreVote && m.Kind != MsgPreVoteResponse {
		m.Term = n.term
	}
	if afterSync || n.hardStateDirty || n.unsyncedHardStates > 0 {
		n.pending.MessagesAfterSync = append(n.pending.MessagesAfterSync, m)
	} else {
		n.pending.Messages = append(n.pending.Messages, m)
	}
}

// Tick moves the clock on and returns when to call again.
func (n *Node) Tick(now time.Time) time.Duration {
	n.now = now
	if n.role == leader {
		if now.Sub(n.lastQuorumContact(now)) > n.config.CheckQuorumTimeout && now.Sub(n.electedAt) > n.config.CheckQuorumTimeout {
			// Whoever can reach a majority must not wait for this member.
			n.becomeFollower(n.term, "")
			n.electionTimerStart = now
			n.resetElectionTimeout()
			return n.electionTimeout
		}
		if n.transferring && now.Sub(n.transfer.startedAt) >= n.config.ElectionTimeout {
			n.abortTransfer()
			return n.config.HeartbeatInterval
		}
		if n.startHeartbeatRound() {
			n.sendTimeoutNow()
		}
		for id, peer := range n.peers {
			if now.Sub(peer.lastSend) >= n.config.HeartbeatInterval {
				n.sendAppend(id, peer, true)
			}
		}
		return n.config.HeartbeatInterval
	}
	if !n.promotable() {
		return time.Second
	}
	if remaining := n.electionTimeout - now.Sub(n.electionTimerStart); remaining > 0 {
		return remaining
	}
	n.campaign(false, false)
	return n.electionTimeout
}

// Step takes a message.
func (n *Node) Step(m Message, now time.Time) {
	n.now = now
	if m.To != n.id {
		return
	}
	if m.Term > n.term {
		switch m.Kind {
		case MsgPreVote, MsgPreVoteResponse:
		case MsgVote:
			// A leader lives, and its lease may rest on this member.
			if !m.Force && now.Sub(n.lastLeaderContact) < n.config.ElectionTimeout {
				return
			}
			if !m.Force && n.role == leader && n.HasLease(now) {
				return
			}
			n.becomeFollower(m.Term, "")
		case MsgAppend, MsgSnapshot:
			n.becomeFollower(m.Term, m.From)
		default:
			n.becomeFollower(m.Term, "")
		}
	}
	if handle := handlers[m.Kind]; handle != nil {
		handle(n, m)
	}
}

var handlers = map[byte]func(*Node, Message){
	MsgAppend:          (*Node).handleAppend,
	MsgAppendResponse:  (*Node).handleAppendResponse,
	MsgPreVote:         (*Node).handlePreVote,
	MsgPreVoteResponse: (*Node).handlePreVoteResponse,
	MsgVote:            (*Node).handleVote,
	MsgVoteResponse:    (*Node).handleVoteResponse,
	MsgSnapshot:        (*Node).handleSnapshot,
	MsgTimeoutNow:      (*Node).handleTimeoutNow,
}

// Ready hands out what is to be done.
func (n *Node) Ready() Ready {
	n.replicate()
	ready := n.pending
	n.pending = Ready{}
	if n.hardStateDirty {
		ready.HardState = &HardState{Term: n.term, Vote: n.vote}
		n.hardStateDirty = false
		n.unsyncedHardStates++
		ready.WriteToken.HasHardState = true
	}
	if count := len(ready.Entries); count > 0 {
		ready.WriteToken.LastIndex, ready.WriteToken.LastTerm = ready.Entries[count-1].Index, ready.Entries[count-1].Term
	}
	if ready.Snapshot != nil {
		ready.WriteToken.SnapshotIndex = ready.Snapshot.Index
	}
	if ready.MustSync() {
		n.issuedWrites++
		ready.WriteToken.Sequence = n.issuedWrites
	}
	return ready
}

// WriteSynced takes note that a write is on disk.
func (n *Node) WriteSynced(token WriteToken) {
	if token.HasHardState {
		n.unsyncedHardStates--
		if n.role == candidate && n.unsyncedHardStates == 0 && !n.hardStateDirty {
			n.votes[n.id] = true
			n.tallyVotes()
		}
	}
	n.syncedWrites = max(n.syncedWrites, token.Sequence)
	if token.SnapshotIndex == n.base.Index {
		n.syncedIndex = max(n.syncedIndex, token.SnapshotIndex)
	}
	last := token.LastIndex
	if term, ok := n.termAt(last); !ok || term != token.LastTerm {
		last = 0
	}
	if token.Sequence <= n.supersededWrite {
		last = min(last, n.supersededFrom-1)
	}
	n.syncedIndex = max(n.syncedIndex, last)
	n.maybeCommit()
}

// supersedeWrites notes that the entries from an index on are replaced. Writes handed out
// before and not yet synced prove nothing of what will stand there: the same
// entry may even come back while an older write is still to remove it.
func (n *Node) supersedeWrites(index uint64) {
	n.syncedIndex = min(n.syncedIndex, index-1)
	if n.syncedWrites >= n.supersededWrite || index < n.supersededFrom {
		n.supersededFrom = index
	}
	n.supersededWrite = n.issuedWrites
}

// NextCommittedEntries hands out the entries to apply, once each. While a received snapshot
// waits to be taken there are none: they follow the state that it holds, and
// the caller has the old one still.
func (n *Node) NextCommittedEntries() []Entry {
	if n.pending.Snapshot != nil || n.appliedIndex >= n.commitIndex {
		return nil
	}
	entries := n.log[n.appliedIndex-n.base.Index : n.commitIndex-n.base.Index]
	n.appliedIndex = n.commitIndex
	return entries
}

// TermAt is the term of an entry still held.
func (n *Node) TermAt(index uint64) (uint64, bool) { return n.termAt(index) }
