package server

import (
	"context"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/transport"
)

// snapshotChunkRetryInterval is the time after which a chunk without an answer is sent again.
const snapshotChunkRetryInterval = 700 * time.Millisecond

// sendSnapshot begins to send a snapshot, or repeats a chunk that may be lost.
func (r *Replica) sendSnapshot(ctx context.Context, message raft.Message) {
	now := time.Now()
	sender := r.outgoingSnapshots[message.To]
	if !sender.serves(message, now) {
		sender = newSnapshotSender(message, now)
		r.outgoingSnapshots[message.To] = sender
	}
	sender.message.SendStamp = message.SendStamp
	if now.Sub(sender.sentAt) >= snapshotChunkRetryInterval {
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
		if sender.sentAt.IsZero() && r.peers.dialed[r.addressOf(to)] != nil {
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
	if transport.Decode(body, &chunk) != nil || chunk.Message.To != r.self.ID || chunk.Message.Snapshot == nil || r.node == nil ||
		chunk.Total <= 0 || chunk.Total > transport.MaxFrameBytes {
		return
	}
	from, snapshot := chunk.Message.From, chunk.Message.Snapshot
	r.peers.inbound[from] = stream
	receiver := r.incomingSnapshots[from]
	if !receiver.expects(chunk) {
		receiver = newSnapshotReceiver(chunk)
		r.incomingSnapshots[from] = receiver
	}
	received, complete := receiver.add(chunk)
	if snapshot.Index <= r.node.CommitIndex() {
		// This replica has caught up by other means. The node answers the message
		// by its commit index, without a look at the data.
		received, complete = chunk.Total, true
	}
	ack := snapshotAck{From: r.self.ID, To: from, Index: snapshot.Index, Received: received}
	r.sendFrame(ctx, from, transport.Frame{Kind: frameSnapshotAck, Body: transport.Encode(ack)})
	if complete {
		delete(r.incomingSnapshots, from)
		snapshot.Data = receiver.data
		r.node.Step(chunk.Message, time.Now())
	}
}
