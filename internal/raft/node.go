package raft

import (
	"math/rand"
	"time"
)

// idleTickInterval is the time after which a member that may not campaign wants
// to be called again; nothing depends on it.
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
	configurations []configuration // the one in force at base, then those in the log

	commitIndex, appliedIndex uint64
	syncedIndex               uint64 // the log is on this member's disk up to here
	unsyncedHardStates        int
	// Sequences of the newest write that Ready returned and of the newest one synced.
	issuedWrites, syncedWrites uint64
	// A write up to supersededWrite may hold entries that were replaced since:
	// from supersededFrom on, its sync proves nothing.
	supersededWrite, supersededFrom uint64

	startedAt          time.Time
	now                time.Time
	lastStamp          int64 // newest send stamp, in ns since startedAt
	electionTimerStart time.Time
	electionTimeout    time.Duration // of the present wait, with its random share
	lastLeaderContact  time.Time     // or the start of this node
	votes              map[string]bool

	// State of a leader.
	electedAt        time.Time
	leasedAt         time.Time // when this leader last saw at a tick that it has the lease
	peers            map[string]*progress
	learners         map[string]Member
	eagerCommitPeers map[string]bool
	noopIndex        uint64 // of the first entry of this leader's term
	// Commit index at the beginning of the present round of heartbeats and of
	// the one before it.
	roundCommitIndex, previousRoundCommitIndex uint64
	roundStartedAt                             time.Time
	transferring                               bool
	transfer                                   leadTransfer // valid while transferring

	hardStateDirty bool
	pending        Ready // what Ready returns next
	wallClock      func() int64
	snapshotSource func() *Snapshot
}

// New returns a Node that starts from what its disk holds, as a follower. The
// seed feeds the random share of election timeouts.
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
	// A full election timeout passes after a start, since a leader may still trust a
	// lease that this member confirmed before it stopped.
	n.electionTimeout = n.config.ElectionTimeout + n.config.HeartbeatInterval/4 + n.randomUpTo(n.config.ElectionJitter/2)
	return n
}

// ID returns the ID of this member.
func (n *Node) ID() string { return n.id }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the ID of the known leader of the term, or the empty string.
func (n *Node) Leader() string { return n.leader }

// IsLeader reports whether this member is the leader of its term.
func (n *Node) IsLeader() bool { return n.role == leader }

// CommitIndex returns the index up to which the log is known to be committed.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// AppliedIndex returns the index up to which NextCommittedEntries has handed
// out the log.
func (n *Node) AppliedIndex() uint64 { return n.appliedIndex }

// Tick moves the clock on. It returns the time after which Tick is to be called
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

// isLeaseLost reports whether this leader has been without the lease for LeaseLossTimeout. A
// majority may answer it all the while, each time too late: the messages of a leader whose link
// carries less than it has to send queue up, and it serves nothing for as long as that lasts.
func (n *Node) isLeaseLost() bool {
	if n.HasLease(n.now) {
		n.leasedAt = n.now
	}
	since := n.electedAt
	if n.leasedAt.After(since) {
		since = n.leasedAt
	}
	return n.config.LeaseLossTimeout > 0 && n.now.Sub(since) > n.config.LeaseLossTimeout
}

// tickLeader steps down without a quorum or a lease, ends a transfer that takes too long,
// or sends the heartbeats that are due.
func (n *Node) tickLeader() time.Duration {
	if n.isLeaseLost() {
		// The others go first: they are heard well, and what this member has queued for them
		// keeps them from electing for as long as it takes to arrive.
		n.becomeFollower(n.term, "")
		n.electionTimeout += n.config.LeaseLossTimeout
		return n.electionTimeout
	}
	withoutQuorum := n.now.Sub(n.lastQuorumContact(n.now)) > n.config.CheckQuorumTimeout
	if withoutQuorum && n.now.Sub(n.electedAt) > n.config.CheckQuorumTimeout {
		// A member that can reach a majority must be free to campaign.
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
			n.sendDueAppend(id, peer)
		}
	}
	return n.config.HeartbeatInterval
}

// Step takes a message from another member. Messages that are for another
// member, or of an unknown kind, are dropped.
func (n *Node) Step(m Message, now time.Time) {
	n.now = now
	if m.To != n.id {
		return
	}
	if m.Term > n.term {
		switch m.Kind {
		case MsgPreVote, MsgPreVoteResponse:
			// They name a term that nobody is in yet.
		case MsgVote:
			// A leader that is up may rely on this member for its lease.
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

// send queues a message, with the present term unless it is of a pre-vote. It
// waits for the sync of all earlier writes if afterSync is set, or if a hard
// state is not on disk yet.
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

// Ready returns what the owner must write and send since the last call. It is
// called until the result is empty.
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
		n.issuedWrites++
		ready.WriteToken.Sequence = n.issuedWrites
	}
	return ready
}

// WriteSynced records that a write is on disk. Writes are reported in the
// order in which Ready handed them out.
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
	if term, ok := n.TermAt(last); !ok || term != token.LastTerm {
		last = 0
	}
	if token.Sequence <= n.supersededWrite {
		last = min(last, n.supersededFrom-1)
	}
	n.syncedIndex = max(n.syncedIndex, last)
	n.maybeCommit()
}
