package raft

import "time"

// Member is a member of the cluster. Its ID identifies the contents of a disk: a daemon
// whose disk was wiped rejoins as another member, with a new ID.
//
// It is stored and sent as an array, so the order of fields must not change.
type Member struct {
	_    struct{} `cbor:",toarray"`
	Node string   // name of the machine
	ID   string
	Addr string // host:port at which the daemon listens for other daemons
}

// EntryKind is the kind of a log entry. The values are stored, so they must not change.
type EntryKind byte

// Kinds of log entries.
const (
	EntryNormal     EntryKind = iota // a command for the replicated state
	EntryConfChange                  // a new configuration
	EntryNoop                        // the first entry of a leader's term, without data
)

// Entry is an entry of the log. It is stored and sent as an array, so the order of fields
// must not change.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the term and vote, which must be on disk before any message that depends
// on them is sent. It is stored as an array, so the order of fields must not change.
type HardState struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Vote string // ID of the member voted for in Term, or empty
}

// Snapshot is the replicated state up to an entry, with the configuration in force at that
// entry. OutgoingVoters is set only during a configuration change: it holds the voters
// from before the change.
type Snapshot struct {
	Index          uint64 // of the last entry that the state includes
	Term           uint64 // of the last entry that the state includes
	Voters         []Member
	Data           []byte
	OutgoingVoters []Member
}

// MessageKind is the kind of a message. The values are sent, so they must not change.
type MessageKind byte

// Kinds of messages.
const (
	MsgAppend MessageKind = iota
	MsgAppendResponse
	MsgPreVote
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgSnapshot
	MsgTimeoutNow // tells a voter to campaign immediately; see TransferLeadership
)

// Message is sent from one member to another. It is encoded as an array, so the order of
// fields must not change.
type Message struct {
	_       struct{} `cbor:",toarray"`
	Kind    MessageKind
	From    string // ID of a member
	To      string // ID of a member
	Term    uint64
	Index   uint64 // of the entry before Entries; in a response, the index up to which the logs match
	LogTerm uint64 // term of the entry at Index
	Commit  uint64 // the sender's commit index; in a response, the Index of the request
	Entries []Entry
	Reject  bool
	Force   bool // the leader requested this election, so its lease may be ignored
	// SendStamp is the time of sending, in ns since the start of the sender. A response echoes it.
	SendStamp int64
	WallClock int64 // the responder's wall clock time, in ms since 1970, or 0
	Snapshot  *Snapshot
}

// Ready holds the writes and messages that the owner of a Node must process. Messages may
// be sent immediately. MessagesAfterSync may be sent once the writes of this and of all
// earlier Readys are synced. If MustSync is true, the owner then also passes WriteToken to
// WriteSynced.
type Ready struct {
	HardState         *HardState
	Entries           []Entry   // replace all stored entries from the index of the first one on
	Snapshot          *Snapshot // received snapshot, replaces the stored snapshot and the whole log
	MessagesAfterSync []Message
	Messages          []Message
	WriteToken        WriteToken
	// CommitIndex is stored with the other writes, for RestoreCommit. It needs no write
	// of its own.
	CommitIndex uint64
}

// WriteToken identifies a write and its contents. The owner passes it to WriteSynced once
// the write is on disk.
type WriteToken struct {
	LastIndex, LastTerm uint64 // of the last entry, or zero without entries
	SnapshotIndex       uint64 // of a received snapshot, or zero without one
	HasHardState        bool
	Sequence            uint64 // increases with each write, starting at 1
}

// IsEmpty reports whether there is nothing to write or send.
func (r *Ready) IsEmpty() bool {
	return !r.MustSync() && len(r.MessagesAfterSync) == 0 && len(r.Messages) == 0
}

// MustSync reports whether there is anything to write.
func (r *Ready) MustSync() bool { return r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil }

// Config holds the timeouts and limits of a Node.
type Config struct {
	HeartbeatInterval  time.Duration
	ElectionTimeout    time.Duration // minimum time without a leader before an election
	ElectionJitter     time.Duration // upper limit of the random time added to each election timeout
	CheckQuorumTimeout time.Duration // a leader without contact to a quorum for this time steps down
	LeaseLossTimeout   time.Duration // a leader without a lease for this time steps down; 0: never
	LeaseFraction      float64       // fraction of ElectionTimeout for which a lease is valid, below 1
	MaxInflightEntries int           // limit on the unacknowledged entries sent to a member
	MaxAppendBytes     int           // size from which on no more entries are added to an append
	// MaxLargeAppendBytes limits the total size of large appends in flight to all members while the
	// link rate is unknown; 0 means no limit. A single large append may exceed it. Once the link rate
	// is known, the limit is the number of bytes that the link carries within MaxLargeAppendDelay, if
	// that is larger. An append counts for at most LargeAppendTimeout.
	MaxLargeAppendBytes                     int
	MaxLargeAppendDelay, LargeAppendTimeout time.Duration
	// MaxCommittedEntries is the maximum number of entries that NextCommittedEntries
	// returns; 0 means all.
	MaxCommittedEntries int
}
