package server

import (
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/tuning"
)

// A snapshot goes to a follower that lags in bounded chunks, one under way at a
// time, so that heartbeats and entries on the same stream don't wait behind it.
// The consensus node sees one message, when all of it is there. It sends a snapshot
// again until it is answered; that does not restart a transfer in progress.
//
// Sender and receiver are pure: chunks and acknowledgements in, chunks out.

// Frames of a transfer.
const (
	frameSnapshotChunk = byte(65)
	frameSnapshotAck   = byte(66)
)

// snapshotChunk is a part of a snapshot's data. It is encoded by the names of its
// fields, which therefore stay.
type snapshotChunk struct {
	Msg    raft.Message // the message, its snapshot without the data
	Total  int          // length of the whole data, in bytes
	Offset int          // of this part, in bytes
	Data   []byte
}

// snapshotAck tells the sender how many bytes of a snapshot the receiver holds. It
// is encoded by the names of its fields, which therefore stay.
type snapshotAck struct {
	From, To string
	Index    uint64
	Have     int // in bytes
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

// complete tells whether the receiver holds all of it.
func (s *snapshotSender) complete() bool { return s.acknowledged == len(s.data) }

// serves tells whether a transfer serves a message: it makes progress, be it
// with an earlier snapshot, or this snapshot has arrived.
func (s *snapshotSender) serves(message raft.Message, now time.Time) bool {
	if s == nil || s.message.Term != message.Term {
		return false
	}
	if s.complete() {
		return s.message.Snapshot.Index == message.Snapshot.Index
	}
	return now.Sub(s.progressedAt) < tuning.SnapshotTransferStallTimeout
}

// nextChunk is the chunk that the receiver lacks. Once all has arrived it is empty,
// and makes the receiver respond again: its first response may be lost.
func (s *snapshotSender) nextChunk(now time.Time) snapshotChunk {
	s.sentAt = now
	return snapshotChunk{s.message, len(s.data), s.acknowledged, s.data[s.acknowledged:min(s.acknowledged+tuning.SnapshotChunkBytes, len(s.data))]}
}

// acknowledge takes the receiver's acknowledgement; true if another chunk is due.
func (s *snapshotSender) acknowledge(ack snapshotAck, now time.Time) bool {
	if s == nil || ack.Index != s.message.Snapshot.Index || ack.Have < 0 || ack.Have > len(s.data) {
		return false
	}
	if ack.Have == s.acknowledged && ack.Have > 0 {
		return false // doubled
	}
	// Less than before: the receiver was restarted and begins again.
	if ack.Have > s.acknowledged {
		s.progressedAt = now
	}
	s.acknowledged = ack.Have
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
	return &snapshotReceiver{index: chunk.Msg.Snapshot.Index, term: chunk.Msg.Snapshot.Term, total: chunk.Total}
}

// expects tells whether a chunk belongs to this transfer.
func (s *snapshotReceiver) expects(chunk snapshotChunk) bool {
	return s != nil && s.index == chunk.Msg.Snapshot.Index && s.term == chunk.Msg.Snapshot.Term && s.total == chunk.Total
}

// add adds a chunk, which counts only if it is the one after the last; it gives how
// many bytes are held, and whether that is all.
func (s *snapshotReceiver) add(chunk snapshotChunk) (int, bool) {
	if chunk.Offset == len(s.data) && len(s.data)+len(chunk.Data) <= s.total {
		s.data = append(s.data, chunk.Data...)
	}
	return len(s.data), len(s.data) == s.total
}
