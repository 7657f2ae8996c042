package core

import (
	"context"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// A snapshot goes to a member that lags in bounded pieces, one under way at a
// time, so that heartbeats and entries on the same stream don't wait behind it.
// The consensus node sees one message, when it is whole. It sends a snapshot
// again until it is answered; that does not restart a transfer in progress.

// Frames of a transfer.
const (
	framePiece    = byte(65)
	framePieceGot = byte(66)
)

// piece is a part of a snapshot's bytes.
type piece struct {
	Msg    raft.Message // the message, its point without the bytes
	Total  int
	Offset int
	Data   []byte
}

// pieceGot tells the sender how many bytes of a snapshot the receiver holds. Like
// piece it is encoded by the names of its fields.
type pieceGot struct {
	From, To string
	Index    uint64
	Have     int
}

// outgoing is a transfer to one member.
type outgoing struct {
	msg   raft.Message
	data  []byte
	have  int // that many bytes have arrived
	sent  time.Time
	moved time.Time // when it last made progress
}

// newOutgoing begins a transfer of the snapshot in a message.
func newOutgoing(message raft.Message, now time.Time) *outgoing {
	transfer := &outgoing{msg: message, data: message.Snapshot.Data, moved: now}
	point := *message.Snapshot
	point.Data = nil
	transfer.msg.Snapshot = &point
	return transfer
}

// arrived tells whether the receiver holds all of it.
func (transfer *outgoing) arrived() bool { return transfer.have == len(transfer.data) }

// stands tells whether a transfer serves a message: it makes progress, be it
// with an earlier snapshot, or this snapshot has arrived.
func (transfer *outgoing) stands(message raft.Message, now time.Time) bool {
	if transfer == nil || transfer.msg.Term != message.Term {
		return false
	}
	if transfer.arrived() {
		return transfer.msg.Snapshot.Index == message.Snapshot.Index
	}
	return now.Sub(transfer.moved) < tune.PieceStall
}

// next is the piece that the receiver lacks. Once all has arrived it is empty,
// and makes the receiver answer again: its first answer may be lost.
func (transfer *outgoing) next(now time.Time) piece {
	transfer.sent = now
	return piece{transfer.msg, len(transfer.data), transfer.have, transfer.data[transfer.have:min(transfer.have+tune.PieceBytes, len(transfer.data))]}
}

// got takes the receiver's acknowledgement; true if another piece is due.
func (transfer *outgoing) got(ack pieceGot, now time.Time) bool {
	if transfer == nil || ack.Index != transfer.msg.Snapshot.Index || ack.Have < 0 || ack.Have > len(transfer.data) || ack.Have == transfer.have && ack.Have > 0 {
		return false
	}
	// Less than before: the receiver was restarted and begins again.
	if ack.Have > transfer.have {
		transfer.moved = now
	}
	transfer.have = ack.Have
	return !transfer.arrived()
}

// incoming is a transfer from one member.
type incoming struct {
	index, term uint64
	total       int
	data        []byte
}

// take adds a piece, which must be the one after the last; it gives the bytes
// held, and whether that is all.
func (transfer *incoming) take(part piece) (int, bool) {
	if part.Offset == len(transfer.data) && len(transfer.data)+len(part.Data) <= transfer.total {
		transfer.data = append(transfer.data, part.Data...)
	}
	return len(transfer.data), len(transfer.data) == transfer.total
}

// transfer begins to send a snapshot, or sends a piece again that may be lost.
func (c *Core) transfer(ctx context.Context, message raft.Message) {
	now := time.Now()
	transfer := c.outgoing[message.To]
	if !transfer.stands(message, now) {
		transfer = newOutgoing(message, now)
		c.outgoing[message.To] = transfer
	}
	transfer.msg.SendStamp = message.SendStamp
	if now.Sub(transfer.sent) >= tune.PieceAgain {
		c.sendPiece(ctx, transfer, now)
	}
}

// sendPiece sends the piece that the receiver lacks.
func (c *Core) sendPiece(ctx context.Context, transfer *outgoing, now time.Time) {
	if !c.send(ctx, transfer.msg.To, transport.Frame{Kind: framePiece, Body: transport.Encode(transfer.next(now))}) {
		transfer.sent = time.Time{} // nothing is under way
	}
}

// resume goes on with transfers that waited for a stream.
func (c *Core) resume(ctx context.Context) {
	now := time.Now()
	for to, transfer := range c.outgoing {
		if transfer.sent.IsZero() && c.connections[c.addrOf(to)] != nil {
			c.sendPiece(ctx, transfer, now)
		}
	}
}

// onPieceGot sends the next piece.
func (c *Core) onPieceGot(ctx context.Context, raw []byte) {
	var ack pieceGot
	if transport.Decode(raw, &ack) != nil || ack.To != c.self.ID || c.node == nil {
		return
	}
	now := time.Now()
	if transfer := c.outgoing[ack.From]; transfer.got(ack, now) {
		c.sendPiece(ctx, transfer, now)
	}
}

// onPiece takes a piece, and hands the message on once it is whole.
func (c *Core) onPiece(ctx context.Context, raw []byte, stream *transport.Stream) {
	var part piece
	if transport.Decode(raw, &part) != nil || part.Msg.To != c.self.ID || part.Msg.Snapshot == nil || c.node == nil || part.Total <= 0 || part.Total > tune.FrameBytes {
		return
	}
	from, point := part.Msg.From, part.Msg.Snapshot
	c.inbound[from] = stream
	transfer := c.incoming[from]
	if transfer == nil || transfer.index != point.Index || transfer.term != point.Term || transfer.total != part.Total {
		transfer = &incoming{index: point.Index, term: point.Term, total: part.Total}
		c.incoming[from] = transfer
	}
	have, whole := transfer.take(part)
	if point.Index <= c.node.CommitIndex() {
		// No longer wanted: the message alone is answered.
		have, whole = part.Total, true
	}
	c.send(ctx, from, transport.Frame{Kind: framePieceGot, Body: transport.Encode(pieceGot{c.self.ID, from, point.Index, have})})
	if whole {
		delete(c.incoming, from)
		point.Data = transfer.data
		c.node.Step(part.Msg, time.Now())
	}
}
