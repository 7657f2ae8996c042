package raft

import "time"

// Member is a member of the cluster. Its ID names the contents of a disk: a
// daemon whose disk was wiped comes back under a new ID, as another member.
//
// It is stored and sent as an array: fields must not be moved.
type Member struct {
	_    struct{} `cbor:",toarray"`
	Node string   // name of the machine
	ID   string
	Addr string // host:port at which the daemon listens for other daemons
}

// EntryKind tells what an entry of the log holds. The numbers are stored.
type EntryKind byte

// Kinds of entries.
const (
	EntryNormal     EntryKind = iota // a command for the replicated state
	EntryConfChange                  // a new configuration
	EntryNoop                        // the first entry of a leader's term, without data
)

// Entry is an entry of the log. It is stored and sent as an array: fields must
// not be moved.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is what must be on disk before any message that rests on it is sent.
// It is stored as an array: fields must not be moved.
type HardState struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Vote string // ID of the member voted for in Term, or empty
}

// Snapshot is the replicated state up to an entry, with the configuration in
// force there. OutgoingVoters is set only while a configuration change is under
// way: it holds the voters from before the change.
type Snapshot struct {
	Index          uint64 // of the last entry that the state includes
	Term           uint64 // of that entry
	Voters         []Member
	Data           []byte
	OutgoingVoters []Member
}

// MessageKind tells what a message asks or answers. The numbers are sent.
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
	MsgTimeoutNow // tells a voter to campaign at once, see TransferLeadership
)

// Message goes from one member to another. It is sent as an array: fields must
// not be moved.
type Message struct {
	_       struct{} `cbor:",toarray"`
	Kind    MessageKind
	From    string // ID of a member
	To      string // ID of a member
	Term    uint64
	Index   uint64 // of the entry before Entries; in a response, how far the logs agree
	LogTerm uint64 // term of the entry at Index
	Commit  uint64 // the sender's commit index; in a response, the Index that is answered
	Entries []Entry
	Reject  bool
	Force   bool // the vote is asked for by order of the leader, whose lease need not be respected
	// SendStamp is the sender's time of sending, in ns since its start; a response echoes it.
	SendStamp int64
	WallClock int64 // the responder's time of day, in ms since 1970, or 0
	Snapshot  *Snapshot
}

// Ready is what the owner of a Node must do. Messages may be sent at once;
// MessagesAfterSync may be sent once the writes of this and of all earlier
// Readys are synced. If MustSync is true, the owner then also passes WriteToken
// to WriteSynced.
type Ready struct {
	HardState         *HardState
	Entries           []Entry   // to be written in place of all stored entries from the first index on
	Snapshot          *Snapshot // a received one, replaces the stored snapshot and the whole log
	MessagesAfterSync []Message
	Messages          []Message
	WriteToken        WriteToken
	// CommitIndex is stored along with what must be written, for RestoreCommit; it
	// needs no write of its own.
	CommitIndex uint64
}

// WriteToken names what a write holds. The owner passes it to WriteSynced once
// the write is on disk.
type WriteToken struct {
	LastIndex, LastTerm uint64 // of the last entry, zero without entries
	SnapshotIndex       uint64 // of a received snapshot, zero without one
	HasHardState        bool
	Sequence            uint64 // rises with each write, from 1 on
}

// IsEmpty reports whether there is nothing to do.
func (r *Ready) IsEmpty() bool {
	return !r.MustSync() && len(r.MessagesAfterSync) == 0 && len(r.Messages) == 0
}

// MustSync reports whether there is anything to write.
func (r *Ready) MustSync() bool { return r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil }

// Config holds the timeouts and limits of a Node.
type Config struct {
	HeartbeatInterval  time.Duration
	ElectionTimeout    time.Duration // the shortest time without a leader before an election
	ElectionJitter     time.Duration // a random share of it is added to each election timeout
	CheckQuorumTimeout time.Duration // a leader that no majority has followed for so long steps down
	LeaseLossTimeout   time.Duration // one that has had no lease for so long does too; 0: never
	LeaseFraction      float64       // share of ElectionTimeout for which a lease holds, below 1
	MaxInflightEntries int           // entries sent to a member and not yet acknowledged
	MaxAppendBytes     int           // an append is closed once it holds so many bytes
	// MaxLargeAppendBytes bounds the large appends that are on their way to all members together,
	// but for one, while it isn't known what the links carry; 0: they are not bounded. Else
	// what they carry within MaxLargeAppendDelay is the bound, if it is larger. An append counts for
	// LargeAppendTimeout at most.
	MaxLargeAppendBytes                     int
	MaxLargeAppendDelay, LargeAppendTimeout time.Duration
	// MaxCommittedEntries is how many entries NextCommittedEntries returns at most;
	// 0 for all.
	MaxCommittedEntries int
}
