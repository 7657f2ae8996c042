package core

import (
	"context"
	"time"

	"tealpond/internal/link"
	"tealpond/internal/raft"
	"tealpond/internal/tune"
)

// A snapshot goes to a member that lags in bounded pieces, one under way at a
// time, so that heartbeats and entries on the same stream don't wait behind it.
// The agreement sees one message, when it is whole. It sends a snapshot again
// until it is answered; a transfer that gets on isn't begun anew by that.

// Frames of a transfer.
const (
	framePiece    = byte(65)
	framePieceGot = byte(66)
)

// piece is a part of a snapshot's bytes.
type piece struct {
	Msg    raft.Msg // the message, its point without the bytes
	Total  int
	Offset int
	Data   []byte
}

// pieceGot tells the sender how many bytes the receiver holds of a snapshot.
type pieceGot struct {
	From, To string
	Index    uint64
	Have     int
}

// outgoing is a transfer to one member.
type outgoing struct {
	msg   raft.Msg
	data  []byte
	have  int // that many bytes have arrived
	sent  time.Time
	moved time.Time // when it last got on
}

func newOutgoing(m raft.Msg, now time.Time) *outgoing {
	o := &outgoing{msg: m, data: m.Point.Data, moved: now}
	p := *m.Point
	p.Data = nil
	o.msg.Point = &p
	return o
}

// arrived tells whether the receiver holds all of it.
func (o *outgoing) arrived() bool { return o.have == len(o.data) }

// stands tells whether a transfer does for a message: it gets on, be it with an
// earlier snapshot, or this one has arrived.
func (o *outgoing) stands(m raft.Msg, now time.Time) bool {
	if o == nil || o.msg.Term != m.Term {
		return false
	}
	if o.arrived() {
		return o.msg.Point.Index == m.Point.Index
	}
	return now.Sub(o.moved) < tune.PieceStall
}

// next is the piece that the receiver lacks. Once all has arrived it is empty,
// and calls forth the answer to the message again, which may be lost.
func (o *outgoing) next(now time.Time) piece {
	o.sent = now
	return piece{o.msg, len(o.data), o.have, o.data[o.have:min(o.have+tune.PieceBytes, len(o.data))]}
}

// got takes the receiver's word; true if another piece is due.
func (o *outgoing) got(g pieceGot, now time.Time) bool {
	if o == nil || g.Index != o.msg.Point.Index || g.Have < 0 || g.Have > len(o.data) || g.Have == o.have && g.Have > 0 {
		return false
	}
	// Less than before: the receiver was started anew and begins anew too.
	if g.Have > o.have {
		o.moved = now
	}
	o.have = g.Have
	return !o.arrived()
}

// incoming is a transfer from one member.
type incoming struct {
	index, term uint64
	total       int
	data        []byte
}

// take adds a piece, which must be the one after the last; it gives the bytes
// held, and whether that is all.
func (n *incoming) take(p piece) (int, bool) {
	if p.Offset == len(n.data) && len(n.data)+len(p.Data) <= n.total {
		n.data = append(n.data, p.Data...)
	}
	return len(n.data), len(n.data) == n.total
}

// transfer begins to send a snapshot, or sends a piece again that may be lost.
func (c *Core) transfer(ctx context.Context, m raft.Msg) {
	now := time.Now()
	o := c.outgoing[m.To]
	if !o.stands(m, now) {
		o = newOutgoing(m, now)
		c.outgoing[m.To] = o
	}
	o.msg.Sent = m.Sent
	if now.Sub(o.sent) >= tune.PieceAgain {
		c.sendPiece(ctx, o, now)
	}
}

func (c *Core) sendPiece(ctx context.Context, o *outgoing, now time.Time) {
	if !c.send(ctx, o.msg.To, link.Frame{Kind: framePiece, Body: link.Pack(o.next(now))}) {
		o.sent = time.Time{} // nothing is under way
	}
}

// resume goes on with transfers that waited for a stream.
func (c *Core) resume(ctx context.Context) {
	now := time.Now()
	for to, o := range c.outgoing {
		if o.sent.IsZero() && c.streams[c.addrOf(to)] != nil {
			c.sendPiece(ctx, o, now)
		}
	}
}

// onPieceGot sends the next piece.
func (c *Core) onPieceGot(ctx context.Context, raw []byte) {
	var g pieceGot
	if link.Unpack(raw, &g) != nil || g.To != c.me.Disk || c.node == nil {
		return
	}
	now := time.Now()
	if o := c.outgoing[g.From]; o.got(g, now) {
		c.sendPiece(ctx, o, now)
	}
}

// onPiece takes a piece, and hands the message on once it is whole.
func (c *Core) onPiece(ctx context.Context, raw []byte, s *link.Stream) {
	var p piece
	if link.Unpack(raw, &p) != nil || p.Msg.To != c.me.Disk || p.Msg.Point == nil || c.node == nil || p.Total <= 0 || p.Total > tune.FrameBytes {
		return
	}
	from, point := p.Msg.From, p.Msg.Point
	c.back[from] = s
	n := c.incoming[from]
	if n == nil || n.index != point.Index || n.term != point.Term || n.total != p.Total {
		n = &incoming{index: point.Index, term: point.Term, total: p.Total}
		c.incoming[from] = n
	}
	have, whole := n.take(p)
	if point.Index <= c.node.Commit() {
		// No longer wanted: the message alone is answered.
		have, whole = p.Total, true
	}
	c.send(ctx, from, link.Frame{Kind: framePieceGot, Body: link.Pack(pieceGot{c.me.Disk, from, point.Index, have})})
	if whole {
		delete(c.incoming, from)
		point.Data = n.data
		c.node.Step(p.Msg, time.Now())
	}
}
