// Package raft is the agreement of the core: a pure state machine after the
// published Raft rules. Inputs go in; what to write, send and apply comes out.
package raft

import "time"

// Member is one member of the core: an identity of a disk, not an address.
type Member struct {
	_    struct{} `cbor:",toarray"`
	Node string
	ID   string
	Addr string
}

// Kinds of entries.
const (
	EntryNormal = byte(iota)
	EntryConfChange
	EntryNoop
)

// Entry is one line of the log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  byte
	Data  []byte
}

// HardState is what must be on disk before anything that rests on it is sent.
type HardState struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Vote string
}

// Snapshot is a snapshot of the state up to an entry, with the voters in force
// there. Old holds those before a change that is under way, else nothing.
type Snapshot struct {
	Index          uint64
	Term           uint64
	Voters         []Member
	Data           []byte
	OutgoingVoters []Member
}

// Kinds of messages.
const (
	MsgAppend = byte(iota)
	MsgAppendResponse
	MsgPreVote
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgSnapshot
	MsgTimeoutNow
)

// Message goes from one disk to another. The answer to an append echoes the index
// that this named (in Commit), its LogTerm, and its Sent, the sender's stamp.
type Message struct {
	_         struct{} `cbor:",toarray"`
	Kind      byte
	From      string
	To        string
	Term      uint64
	Index     uint64
	LogTerm   uint64
	Commit    uint64
	Entries   []Entry
	Reject    bool
	Force     bool
	SendStamp int64
	WallClock int64
	Snapshot  *Snapshot
}

// Ready is what the caller must do. After is sent once the writes of this and
// of all earlier outs are synced; Now is sent at once.
type Ready struct {
	HardState         *HardState
	Entries           []Entry
	Snapshot          *Snapshot
	MessagesAfterSync []Message
	Messages          []Message
	// WriteToken is handed back to Synced.
	WriteToken WriteToken
}

// WriteToken names what a write holds; the caller hands it back once that is synced.
type WriteToken struct {
	LastIndex, LastTerm uint64 // the last entry, zero without entries
	SnapshotIndex       uint64 // the index of a received snapshot, zero without one
	HasHardState        bool
	Sequence            uint64 // rises with each write, from 1 on
}

// IsEmpty tells whether there is nothing to do.
func (o *Ready) IsEmpty() bool {
	return o.HardState == nil && len(o.Entries) == 0 && o.Snapshot == nil && len(o.MessagesAfterSync) == 0 && len(o.Messages) == 0
}

// MustSync tells whether the out needs the disk.
func (o *Ready) MustSync() bool { return o.HardState != nil || len(o.Entries) > 0 || o.Snapshot != nil }

// Config holds the waits of the machine.
type Config struct {
	HeartbeatInterval, ElectionTimeout, ElectionJitter, CheckQuorumTimeout time.Duration
	LeaseFraction                                                          float64
	MaxInflightEntries, MaxAppendBytes                                     int
}
