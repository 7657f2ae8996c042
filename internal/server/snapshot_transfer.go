package server

import (
	"time"

	"tealpond/internal/raft"
)

const (
	// snapshotChunkBytes is the size of a chunk of a snapshot, in bytes.
	snapshotChunkBytes = 64 << 10
	// snapshotTransferStallTimeout is the time without progress after which a transfer starts again
	// from its first chunk.
	snapshotTransferStallTimeout = 2 * time.Second
)

// A snapshot goes to a follower that lags in bounded chunks, one under way at a
// time, so that heartbeats and entries on the same stream don't wait behind it.
// The consensus node sees one message, when all of it is there. It sends a snapshot
// again until it is acknowledged; that does not restart a transfer in progress.
//
// Sender and receiver are pure: chunks and acknowledgements in, chunks out.

// Frames of a transfer.
const (
	frameSnapshotChunk = byte(65)
	frameSnapshotAck   = byte(66)
)

// snapshotChunk is a part of a snapshot's data. It is encoded by the names in its
// tags, or by those of its fields, which therefore stay.
type snapshotChunk struct {
	Message raft.Message `cbor:"Msg"` // its snapshot is without the data
	Total   int          // length of the whole data, in bytes
	Offset  int          // of this part, in bytes
	Data    []byte
}

// snapshotAck tells the sender how many bytes of a snapshot the receiver has. It is
// encoded by the names in its tags, or by those of its fields, which therefore stay.
type snapshotAck struct {
	From, To string
	Index    uint64
	Received int `cbor:"Have"` // in bytes, counted from the start
}

// snapshotSender is a transfer to one follower.
type snapshotSender struct {
	message      raft.Message // its snapshot without the data
	data         []byte
	acknowledged int       // bytes that the receiver holds
	sentAt       time.Time // when the last chunk was sent; zero if none is under way
	progressedAt time.Time // when more bytes were last acknowledged
}

// newSnapshotSender begins a transfer of the snapshot in a message.
func newSnapshotSender(message raft.Message, now time.Time) *snapshotSender {
	sender := &snapshotSender{message: message, data: message.Snapshot.Data, progressedAt: now}
	snapshot := *message.Snapshot
	snapshot.Data = nil
	sender.message.Snapshot = &snapshot
	return sender
}

// complete reports whether the receiver holds all of it.
func (s *snapshotSender) complete() bool { return s.acknowledged == len(s.data) }

// serves reports whether no new transfer is needed for a message of the node: this
// one makes progress, if perhaps with an earlier snapshot, or has delivered the
// message's snapshot. A nil sender serves nothing.
func (s *snapshotSender) serves(message raft.Message, now time.Time) bool {
	if s == nil || s.message.Term != message.Term {
		return false
	}
	if s.complete() {
		return s.message.Snapshot.Index == message.Snapshot.Index
	}
	return now.Sub(s.progressedAt) < snapshotTransferStallTimeout
}

// nextChunk is the chunk that the receiver lacks. Once all has arrived it is empty:
// it makes the receiver acknowledge again, as the first acknowledgement may be lost.
func (s *snapshotSender) nextChunk(now time.Time) snapshotChunk {
	s.sentAt = now
	end := min(s.acknowledged+snapshotChunkBytes, len(s.data))
	return snapshotChunk{Message: s.message, Total: len(s.data), Offset: s.acknowledged, Data: s.data[s.acknowledged:end]}
}

// acknowledge takes the receiver's acknowledgement; true if another chunk is due.
func (s *snapshotSender) acknowledge(ack snapshotAck, now time.Time) bool {
	if s == nil || ack.Index != s.message.Snapshot.Index || ack.Received < 0 || ack.Received > len(s.data) {
		return false
	}
	if ack.Received == s.acknowledged && ack.Received > 0 {
		return false // a duplicate
	}
	// Less than before: the receiver was restarted and begins again.
	if ack.Received > s.acknowledged {
		s.progressedAt = now
	}
	s.acknowledged = ack.Received
	return !s.complete()
}

// snapshotReceiver is a transfer from the leader.
type snapshotReceiver struct {
	index, term uint64 // of the snapshot
	total       int    // length of the whole data, in bytes
	data        []byte // what has arrived of it
}

// newSnapshotReceiver begins to receive the snapshot that a chunk belongs to.
func newSnapshotReceiver(chunk snapshotChunk) *snapshotReceiver {
	return &snapshotReceiver{index: chunk.Message.Snapshot.Index, term: chunk.Message.Snapshot.Term, total: chunk.Total}
}

// expects reports whether a chunk belongs to this transfer.
func (s *snapshotReceiver) expects(chunk snapshotChunk) bool {
	return s != nil && s.index == chunk.Message.Snapshot.Index && s.term == chunk.Message.Snapshot.Term && s.total == chunk.Total
}

// add takes a chunk, and ignores it unless it follows the last one. It returns how
// many bytes have arrived, and whether these are all.
func (s *snapshotReceiver) add(chunk snapshotChunk) (int, bool) {
	if chunk.Offset == len(s.data) && len(s.data)+len(chunk.Data) <= s.total {
		s.data = append(s.data, chunk.Data...)
	}
	return len(s.data), len(s.data) == s.total
}
