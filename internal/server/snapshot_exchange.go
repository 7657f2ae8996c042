package server

import (
	"context"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/transport"
)

// snapshotChunkRetryInterval is the time after which an unacknowledged chunk is sent again.
const snapshotChunkRetryInterval = 700 * time.Millisecond

// sendSnapshot starts sending a snapshot, or repeats a chunk that may have been lost.
func (r *Replica) sendSnapshot(ctx context.Context, message raft.Message) {
	now := time.Now()
	sender := r.outgoingSnapshots[message.To]
	if !sender.canServe(message, now) {
		sender = newSnapshotSender(message, now)
		r.outgoingSnapshots[message.To] = sender
	}
	sender.message.SendStamp = message.SendStamp
	if now.Sub(sender.sentAt) >= snapshotChunkRetryInterval {
		r.sendChunk(ctx, sender, now)
	}
}

// sendChunk sends the next chunk that the receiver lacks.
func (r *Replica) sendChunk(ctx context.Context, sender *snapshotSender, now time.Time) {
	if !r.sendFrame(ctx, sender.message.To, transport.Frame{Kind: frameSnapshotChunk, Body: transport.Encode(sender.nextChunk(now))}) {
		sender.sentAt = time.Time{}
	}
}

// resumeTransfers continues transfers that waited for a stream.
func (r *Replica) resumeTransfers(ctx context.Context) {
	now := time.Now()
	for to, sender := range r.outgoingSnapshots {
		if sender.sentAt.IsZero() && r.peers.dialed[r.addressOf(to)] != nil {
			r.sendChunk(ctx, sender, now)
		}
	}
}

// handleSnapshotAck handles an acknowledgement, and sends the next chunk if there is one.
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

// handleSnapshotChunk handles a received chunk, and passes the message to the node once the
// snapshot is complete.
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
		// This replica has caught up by other means. The node responds to the message with its
		// commit index, without reading the data.
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
