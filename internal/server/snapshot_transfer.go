package server

import (
	"time"

	"tealpond/internal/raft"
)

const (
	// snapshotChunkBytes is the maximum size of a snapshot chunk, in bytes.
	snapshotChunkBytes = 64 << 10
	// snapshotTransferStallTimeout is the time without progress after which a transfer restarts
	// from its first chunk.
	snapshotTransferStallTimeout = 2 * time.Second
)

// A snapshot is sent to a lagging follower in chunks of bounded size, one in flight at a time, so
// that heartbeats and entries on the same stream are not delayed behind it. The Raft node sees a
// single message once all chunks have arrived. It sends a snapshot repeatedly until it is
// acknowledged; this does not restart a transfer in progress.
//
// Sender and receiver do no I/O: they take chunks and acknowledgements and return chunks.

// Frame kinds of a snapshot transfer.
const (
	frameSnapshotChunk = byte(65)
	frameSnapshotAck   = byte(66)
)

// snapshotChunk is a part of a snapshot's data. It is encoded under the names in its tags or,
// without a tag, its field names, which must therefore not change.
type snapshotChunk struct {
	Message raft.Message `cbor:"Msg"` // its snapshot has no data
	Total   int          // length of the whole data, in bytes
	Offset  int          // of this chunk, in bytes
	Data    []byte
}

// snapshotAck reports how many bytes of a snapshot the receiver has. It is encoded under the names
// in its tags or, without a tag, its field names, which must therefore not change.
type snapshotAck struct {
	From, To string
	Index    uint64
	Received int `cbor:"Have"` // in bytes, counted from the start
}

// snapshotSender is a snapshot transfer to one follower.
type snapshotSender struct {
	message      raft.Message // its snapshot has no data
	data         []byte
	acknowledged int       // bytes that the receiver has
	sentAt       time.Time // when the last chunk was sent; zero if none is in flight
	progressedAt time.Time // when additional bytes were last acknowledged
}

// newSnapshotSender starts a transfer of the snapshot in a message.
func newSnapshotSender(message raft.Message, now time.Time) *snapshotSender {
	sender := &snapshotSender{message: message, data: message.Snapshot.Data, progressedAt: now}
	snapshot := *message.Snapshot
	snapshot.Data = nil
	sender.message.Snapshot = &snapshot
	return sender
}

// complete reports whether the receiver has all bytes.
func (s *snapshotSender) complete() bool { return s.acknowledged == len(s.data) }

// canServe reports whether the transfer can serve a snapshot message of the node, so that no new
// one is needed: it is making progress, possibly with an earlier snapshot, or it has delivered the
// snapshot in the message. It returns false for a nil sender.
func (s *snapshotSender) canServe(message raft.Message, now time.Time) bool {
	if s == nil || s.message.Term != message.Term {
		return false
	}
	if s.complete() {
		return s.message.Snapshot.Index == message.Snapshot.Index
	}
	return now.Sub(s.progressedAt) < snapshotTransferStallTimeout
}

// nextChunk returns the next chunk that the receiver lacks. It is empty once all bytes are
// acknowledged, and makes the receiver acknowledge again, as the first acknowledgement may have
// been lost.
func (s *snapshotSender) nextChunk(now time.Time) snapshotChunk {
	s.sentAt = now
	end := min(s.acknowledged+snapshotChunkBytes, len(s.data))
	return snapshotChunk{Message: s.message, Total: len(s.data), Offset: s.acknowledged, Data: s.data[s.acknowledged:end]}
}

// acknowledge handles an acknowledgement from the receiver. It returns true if another chunk is
// due.
func (s *snapshotSender) acknowledge(ack snapshotAck, now time.Time) bool {
	if s == nil || ack.Index != s.message.Snapshot.Index || ack.Received < 0 || ack.Received > len(s.data) {
		return false
	}
	if ack.Received == s.acknowledged && ack.Received > 0 {
		return false // a duplicate
	}
	// Fewer bytes than before: the receiver was restarted and begins again.
	if ack.Received > s.acknowledged {
		s.progressedAt = now
	}
	s.acknowledged = ack.Received
	return !s.complete()
}

// snapshotReceiver is a snapshot transfer from the leader.
type snapshotReceiver struct {
	index, term uint64 // of the snapshot
	total       int    // length of the whole data, in bytes
	data        []byte // received so far
}

// newSnapshotReceiver starts receiving the snapshot that a chunk belongs to.
func newSnapshotReceiver(chunk snapshotChunk) *snapshotReceiver {
	return &snapshotReceiver{index: chunk.Message.Snapshot.Index, term: chunk.Message.Snapshot.Term, total: chunk.Total}
}

// expects reports whether a chunk belongs to this transfer. It returns false for a nil receiver.
func (s *snapshotReceiver) expects(chunk snapshotChunk) bool {
	return s != nil && s.index == chunk.Message.Snapshot.Index && s.term == chunk.Message.Snapshot.Term && s.total == chunk.Total
}

// add appends a chunk, or ignores it if it does not directly follow the data received so far. It
// returns the number of bytes received and whether the snapshot is complete.
func (s *snapshotReceiver) add(chunk snapshotChunk) (int, bool) {
	if chunk.Offset == len(s.data) && len(s.data)+len(chunk.Data) <= s.total {
		s.data = append(s.data, chunk.Data...)
	}
	return len(s.data), len(s.data) == s.total
}
