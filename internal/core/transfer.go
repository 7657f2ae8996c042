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
	data  []byte // nil once all of it has arrived
	total int
	have  int
	sent  time.Time
	moved time.Time // when it last got on
}

func newOutgoing(m raft.Msg, now time.Time) *outgoing {
	o := &outgoing{msg: m, data: m.Point.Data, total: len(m.Point.Data), moved: now}
	p := *m.Point
	p.Data = nil
	o.msg.Point = &p
	return o
}

// stands tells whether a transfer goes on, or has just been completed, so that
// the same message needn't begin another.
func (o *outgoing) stands(term uint64, now time.Time) bool {
	return o != nil && o.msg.Term == term && now.Sub(o.moved) < tune.PieceStall
}

// next is the piece that the receiver lacks; one without bytes, once it has all
// of them: the message is sent again because its answer was lost.
func (o *outgoing) next(now time.Time) piece {
	o.sent = now
	if o.data == nil {
		return piece{Msg: o.msg, Total: o.total, Offset: o.total}
	}
	return piece{o.msg, o.total, o.have, o.data[o.have:min(o.have+tune.PieceBytes, o.total)]}
}

// got takes the receiver's word; true if another piece is due.
func (o *outgoing) got(g pieceGot, now time.Time) bool {
	if o == nil || o.data == nil || g.Index != o.msg.Point.Index || g.Have < 0 || g.Have > o.total || g.Have == o.have && g.Have > 0 {
		return false
	}
	// Less than before: the receiver was started anew and begins anew too.
	if g.Have > o.have {
		o.moved = now
	}
	o.have = g.Have
	if o.have == o.total {
		o.data = nil
		return false
	}
	return true
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
	if !o.stands(m.Term, now) {
		o = newOutgoing(m, now)
		c.outgoing[m.To] = o
	}
	if now.Sub(o.sent) >= tune.PieceAgain {
		c.sendPiece(ctx, o, now)
	}
}

func (c *Core) sendPiece(ctx context.Context, o *outgoing, now time.Time) {
	c.send(ctx, o.msg.To, link.Frame{Kind: framePiece, Body: link.Pack(o.next(now))})
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
