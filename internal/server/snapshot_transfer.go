package server

import (
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/tuning"
)

// A snapshot goes to a member that lags in bounded pieces, one under way at a
// time, so that heartbeats and entries on the same stream don't wait behind it.
// The consensus node sees one message, when it is whole. It sends a snapshot
// again until it is answered; that does not restart a transfer in progress.

// Frames of a transfer.
const (
	frameSnapshotChunk = byte(65)
	frameSnapshotAck   = byte(66)
)

// snapshotChunk is a part of a snapshot's bytes.
type snapshotChunk struct {
	Msg    raft.Message // the message, its point without the bytes
	Total  int
	Offset int
	Data   []byte
}

// snapshotAck tells the sender how many bytes of a snapshot the receiver holds. Like
// piece it is encoded by the names of its fields.
type snapshotAck struct {
	From, To string
	Index    uint64
	Have     int
}

// snapshotSender is a transfer to one member.
type snapshotSender struct {
	message      raft.Message
	data         []byte
	acknowledged int // that many bytes have arrived
	sentAt       time.Time
	progressedAt time.Time // when it last made progress
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

// nextChunk is the piece that the receiver lacks. Once all has arrived it is empty,
// and makes the receiver answer again: its first answer may be lost.
func (s *snapshotSender) nextChunk(now time.Time) snapshotChunk {
	s.sentAt = now
	return snapshotChunk{s.message, len(s.data), s.acknowledged, s.data[s.acknowledged:min(s.acknowledged+tuning.SnapshotChunkBytes, len(s.data))]}
}

// acknowledge takes the receiver's acknowledgement; true if another piece is due.
func (s *snapshotSender) acknowledge(ack snapshotAck, now time.Time) bool {
	if s == nil || ack.Index != s.message.Snapshot.Index || ack.Have < 0 || ack.Have > len(s.data) || ack.Have == s.acknowledged && ack.Have > 0 {
		return false
	}
	// Less than before: the receiver was restarted and begins again.
	if ack.Have > s.acknowledged {
		s.progressedAt = now
	}
	s.acknowledged = ack.Have
	return !s.complete()
}

// snapshotReceiver is a transfer from one member.
type snapshotReceiver struct {
	index, term uint64
	total       int
	data        []byte
}

// add adds a piece, which must be the one after the last; it gives the bytes
// held, and whether that is all.
func (s *snapshotReceiver) add(chunk snapshotChunk) (int, bool) {
	if chunk.Offset == len(s.data) && len(s.data)+len(chunk.Data) <= s.total {
		s.data = append(s.data, chunk.Data...)
	}
	return len(s.data), len(s.data) == s.total
}
