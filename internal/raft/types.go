// Package raft is the agreement of the core: a pure state machine after the
// published Raft rules. Inputs go in; what to write, send and apply comes out.
package raft

import "time"

// Voter is one member of the core: an identity of a disk, not an address.
type Voter struct {
	_    struct{} `cbor:",toarray"`
	Node string
	Disk string
	Addr string
}

// Kinds of entries.
const (
	EntryData = byte(iota)
	EntryConf
	EntryNone
)

// Entry is one line of the log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  byte
	Data  []byte
}

// Hard is what must be on disk before anything that rests on it is sent.
type Hard struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Vote string
}

// Point is a snapshot of the state up to an entry, with the voters in force
// there. Old holds those before a change that is under way, else nothing.
type Point struct {
	Index uint64
	Term  uint64
	Conf  []Voter
	Data  []byte
	Old   []Voter
}

// Kinds of messages.
const (
	MsgAppend = byte(iota)
	MsgAppendAnswer
	MsgPreVote
	MsgPreVoteAnswer
	MsgVote
	MsgVoteAnswer
	MsgPoint
	MsgTransfer
)

// Msg goes from one disk to another. The answer to an append echoes the index
// that this named (in Commit), its LogTerm, and its Sent, the sender's stamp.
type Msg struct {
	_       struct{} `cbor:",toarray"`
	Kind    byte
	From    string
	To      string
	Term    uint64
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	Reject  bool
	Force   bool
	Sent    int64
	Wall    int64
	Point   *Point
}

// Out is what the caller must do. After is sent once the writes of this and
// of all earlier outs are synced; Now is sent at once.
type Out struct {
	Hard    *Hard
	Entries []Entry
	Point   *Point
	After   []Msg
	Now     []Msg
	// Mark is handed back to Synced.
	Mark Mark
}

// Mark names what a write holds; the caller hands it back once that is synced.
type Mark struct {
	Index, Term uint64 // the last entry, zero without entries
	Point       uint64 // the index of a received snapshot, zero without one
	Hard        bool
	Write       uint64 // rises with each write, from 1 on
}

// Empty tells whether there is nothing to do.
func (o *Out) Empty() bool {
	return o.Hard == nil && len(o.Entries) == 0 && o.Point == nil && len(o.After) == 0 && len(o.Now) == 0
}

// Writes tells whether the out needs the disk.
func (o *Out) Writes() bool { return o.Hard != nil || len(o.Entries) > 0 || o.Point != nil }

// Timing holds the waits of the machine.
type Timing struct {
	Beat, Elect, Spread, Quorum time.Duration
	LeaseShare                  float64
	Window, Bytes               int
}
