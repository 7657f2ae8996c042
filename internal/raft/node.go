package raft

import (
	"math/rand"
	"time"
)

// idleTickInterval is the interval at which Tick asks to be called by a member that may
// not campaign. Nothing depends on its value.
const idleTickInterval = time.Second

// Node is the Raft state machine of one member. It isn't safe for concurrent use.
type Node struct {
	id     string
	config Config
	random *rand.Rand

	term   uint64
	vote   string
	role   role
	leader string // ID of the known leader of the term, or empty

	// base is the snapshot that the log follows, without its data.
	base           Snapshot
	log            []Entry
	logBytes       int             // see LogBytes
	configurations []configuration // the one in force at base, then those in the log

	commitIndex, appliedIndex uint64
	syncedIndex               uint64 // index up to which the log is on this member's disk
	unsyncedHardStates        int
	// Sequence numbers of the last write that Ready returned and of the last one synced.
	lastIssuedWrite, lastSyncedWrite uint64
	// Writes with a sequence number up to supersededWrite may hold entries that were
	// replaced since. Their sync doesn't prove that entries from supersededFrom on are on
	// disk.
	supersededWrite, supersededFrom uint64

	startedAt          time.Time
	now                time.Time
	lastStamp          int64 // last send stamp, in ns since startedAt
	electionTimerStart time.Time
	electionTimeout    time.Duration // current timeout, including its random part
	lastLeaderContact  time.Time     // initially the start of this node
	votes              map[string]bool

	// The remaining fields up to transfer hold the state of a leader.
	electedAt        time.Time
	lastLeaseAt      time.Time // time of the last tick at which this leader had the lease
	peers            map[string]*progress
	learners         map[string]Member
	eagerCommitPeers map[string]bool
	noopIndex        uint64 // of the first entry of this leader's term
	// Commit indexes at the start of the current round of heartbeats and of the
	// previous one.
	roundCommitIndex, previousRoundCommitIndex uint64
	roundStartedAt                             time.Time
	transferring                               bool
	transfer                                   leadershipTransfer // valid only while transferring is set

	hardStateDirty bool
	pending        Ready // result of the next call of Ready
	wallClock      func() int64
	snapshotSource func() *Snapshot
}

// New returns a Node that starts as a follower from the state on its disk. The seed
// initializes the random number generator for election timeouts.
func New(
	id string, hardState HardState, snapshot Snapshot, entries []Entry, now time.Time, config Config, seed int64,
) *Node {
	n := &Node{
		id:     id,
		config: config,
		random: rand.New(rand.NewSource(seed)),

		term: hardState.Term,
		vote: hardState.Vote,

		base:           withoutData(snapshot),
		log:            entries,
		logBytes:       entriesBytes(entries),
		configurations: []configuration{configurationOf(snapshot)},
		commitIndex:    snapshot.Index,
		appliedIndex:   snapshot.Index,

		startedAt:          now,
		now:                now,
		electionTimerStart: now,
		lastLeaderContact:  now,
		learners:           map[string]Member{},
	}
	for _, entry := range entries {
		n.recordConfiguration(entry)
	}
	n.syncedIndex = n.LastIndex()
	// The first timeout is at least ElectionTimeout, since a leader may still rely on a
	// lease that this member confirmed before it stopped.
	n.electionTimeout = n.config.ElectionTimeout + n.config.HeartbeatInterval/4 + n.randomUpTo(n.config.ElectionJitter/2)
	return n
}

// ID returns the ID of this member.
func (n *Node) ID() string { return n.id }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the ID of the leader of the current term, or the empty string if it is
// unknown.
func (n *Node) Leader() string { return n.leader }

// IsLeader reports whether this member is the leader of its current term.
func (n *Node) IsLeader() bool { return n.role == leader }

// CommitIndex returns the index up to which the log is known to be committed.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// AppliedIndex returns the index of the last entry that NextCommittedEntries returned.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// Tick advances the clock to now. It returns the time after which Tick is to be called
// again if there is no other input.
func (n *Node) Tick(now time.Time) time.Duration {
	n.now = now
	if n.role == leader {
		return n.tickLeader()
	}
	if !n.promotable() {
		return idleTickInterval
	}
	if remaining := n.electionTimeout - now.Sub(n.electionTimerStart); remaining > 0 {
		return remaining
	}
	n.preCampaign()
	return n.electionTimeout
}

// isLeaseLost reports whether this leader has been without the lease for LeaseLossTimeout. This can
// happen even though a majority responds all the time, if each response arrives too late: on an
// overloaded link the leader's messages queue up, and it can't serve requests while that lasts.
func (n *Node) isLeaseLost() bool {
	if n.HasLease(n.now) {
		n.lastLeaseAt = n.now
	}
	since := n.electedAt
	if n.lastLeaseAt.After(since) {
		since = n.lastLeaseAt
	}
	return n.config.LeaseLossTimeout > 0 && n.now.Sub(since) > n.config.LeaseLossTimeout
}

// tickLeader steps down if the leader lost its lease or quorum, aborts a leadership transfer that
// takes too long, or sends the heartbeats that are due.
func (n *Node) tickLeader() time.Duration {
	if n.isLeaseLost() {
		// The other members are to campaign first, since their messages arrive in time. Messages
		// that this member has queued for them delay their election until they have arrived, so
		// this member waits for longer than an election timeout.
		n.becomeFollower(n.term, "")
		n.electionTimeout += n.config.LeaseLossTimeout
		return n.electionTimeout
	}
	withoutQuorum := n.now.Sub(n.lastQuorumContact(n.now)) > n.config.CheckQuorumTimeout
	if withoutQuorum && n.now.Sub(n.electedAt) > n.config.CheckQuorumTimeout {
		// Step down, so that a member that can reach a majority may campaign.
		n.becomeFollower(n.term, "")
		n.electionTimerStart = n.now
		n.resetElectionTimeout()
		return n.electionTimeout
	}
	if n.transferring && n.now.Sub(n.transfer.startedAt) >= n.config.ElectionTimeout {
		n.abortTransfer()
		return n.config.HeartbeatInterval
	}
	if n.startHeartbeatRound() {
		n.sendTimeoutNow()
	}
	for id, peer := range n.peers {
		if n.now.Sub(peer.lastSend) >= n.config.HeartbeatInterval {
			n.sendAppendOrHeartbeat(id, peer)
		}
	}
	return n.config.HeartbeatInterval
}

// Step handles a message from another member. Messages addressed to a different member
// or of an unknown kind are dropped.
func (n *Node) Step(m Message, now time.Time) {
	n.now = now
	if m.To != n.id {
		return
	}
	if m.Term > n.term {
		switch m.Kind {
		case MsgPreVote, MsgPreVoteResponse:
			// Their term is a proposed one that no member has entered yet.
		case MsgVote:
			// The current leader may rely on this member for its lease.
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

var handlers = map[MessageKind]func(*Node, Message){
	MsgAppend:          (*Node).handleAppend,
	MsgAppendResponse:  (*Node).handleAppendResponse,
	MsgPreVote:         (*Node).handlePreVote,
	MsgPreVoteResponse: (*Node).handlePreVoteResponse,
	MsgVote:            (*Node).handleVote,
	MsgVoteResponse:    (*Node).handleVoteResponse,
	MsgSnapshot:        (*Node).handleSnapshot,
	MsgTimeoutNow:      (*Node).handleTimeoutNow,
}

// send queues a message. It sets the term of the message to the current one, except for
// pre-vote messages. The message is sent after all earlier writes are synced if afterSync
// is set or if the hard state isn't on disk yet.
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

// Ready returns the writes and messages that have accumulated since the last call. The
// owner calls it until the result is empty.
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
		ready.CommitIndex = n.commitIndex
		n.lastIssuedWrite++
		ready.WriteToken.Sequence = n.lastIssuedWrite
	}
	return ready
}

// WriteSynced records that a write is on disk. Writes must be reported in the order in
// which Ready returned them.
func (n *Node) WriteSynced(token WriteToken) {
	if token.HasHardState {
		n.unsyncedHardStates--
		if n.role == candidate && n.unsyncedHardStates == 0 && !n.hardStateDirty {
			n.votes[n.id] = true
			n.tallyVotes()
		}
	}
	n.lastSyncedWrite = max(n.lastSyncedWrite, token.Sequence)
	if token.SnapshotIndex == n.base.Index {
		n.syncedIndex = max(n.syncedIndex, token.SnapshotIndex)
	}
	last := token.LastIndex
	if term, ok := n.TermAt(last); !ok || term != token.LastTerm {
		last = 0
	}
	if token.Sequence <= n.supersededWrite {
		last = min(last, n.supersededFrom-1)
	}
	n.syncedIndex = max(n.syncedIndex, last)
	n.maybeCommit()
}
