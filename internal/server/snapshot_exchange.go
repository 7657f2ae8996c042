package server

import (
	"context"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// sendSnapshot begins to send a snapshot, or sends a chunk again that may be lost.
func (r *Replica) sendSnapshot(ctx context.Context, message raft.Message) {
	now := time.Now()
	sender := r.outgoingSnapshots[message.To]
	if !sender.serves(message, now) {
		sender = newSnapshotSender(message, now)
		r.outgoingSnapshots[message.To] = sender
	}
	sender.message.SendStamp = message.SendStamp
	if now.Sub(sender.sentAt) >= tuning.SnapshotChunkRetryInterval {
		r.sendChunk(ctx, sender, now)
	}
}

// sendChunk sends the chunk that the receiver lacks.
func (r *Replica) sendChunk(ctx context.Context, sender *snapshotSender, now time.Time) {
	if !r.sendFrame(ctx, sender.message.To, transport.Frame{Kind: frameSnapshotChunk, Body: transport.Encode(sender.nextChunk(now))}) {
		sender.sentAt = time.Time{}
	}
}

// resumeTransfers goes on with transfers that waited for a stream.
func (r *Replica) resumeTransfers(ctx context.Context) {
	now := time.Now()
	for to, sender := range r.outgoingSnapshots {
		if sender.sentAt.IsZero() && r.connections[r.addressOf(to)] != nil {
			r.sendChunk(ctx, sender, now)
		}
	}
}

// handleSnapshotAck sends the next chunk.
func (r *Replica) handleSnapshotAck(ctx context.Context, body []byte) {
	var ack snapshotAck
	if transport.Decode(body, &ack) != nil || ack.To != r.self.ID || r.node == nil {
		return
	}
	now := time.Now()
	if sender := r.outgoingSnapshots[ack.From]; sender.acknowledge(ack, now) {
		r.sendChunk(ctx, sender, now)
	}
}

// handleSnapshotChunk takes a chunk, and hands the message to the node once all of
// the snapshot is there.
func (r *Replica) handleSnapshotChunk(ctx context.Context, body []byte, stream *transport.Stream) {
	var chunk snapshotChunk
	if transport.Decode(body, &chunk) != nil || chunk.Msg.To != r.self.ID || chunk.Msg.Snapshot == nil || r.node == nil ||
		chunk.Total <= 0 || chunk.Total > tuning.MaxFrameBytes {
		return
	}
	from, snapshot := chunk.Msg.From, chunk.Msg.Snapshot
	r.inbound[from] = stream
	receiver := r.incomingSnapshots[from]
	if !receiver.expects(chunk) {
		receiver = newSnapshotReceiver(chunk)
		r.incomingSnapshots[from] = receiver
	}
	received, complete := receiver.add(chunk)
	if snapshot.Index <= r.node.CommitIndex() {
		// No longer wanted: the message alone is answered.
		received, complete = chunk.Total, true
	}
	r.sendFrame(ctx, from, transport.Frame{Kind: frameSnapshotAck, Body: transport.Encode(snapshotAck{r.self.ID, from, snapshot.Index, received})})
	if complete {
		delete(r.incomingSnapshots, from)
		snapshot.Data = receiver.data
		r.node.Step(chunk.Msg, time.Now())
	}
}
