package core

import (
	"context"
	"time"

	"tealpond/internal/link"
	"tealpond/internal/member"
	"tealpond/internal/raft"
)

// onLink takes what comes in on a stream, or its end.
func (c *Core) onLink(ctx context.Context, e *link.Event) {
	if e.Gone {
		for a, s := range c.streams {
			if s == e.Stream {
				delete(c.streams, a)
			}
		}
		c.dropKids(e.Stream)
		return
	}
	c.meter.add("bytes_in", len(e.Frame.Body))
	switch e.Frame.Kind {
	case member.FrameRaft:
		c.meter.add("raft_in", 1)
		if c.swamped() {
			return
		}
		var m raft.Msg
		if link.Unpack(e.Frame.Body, &m) != nil || m.To != c.me.Disk {
			// Why dropped: addresses are reused, and it is meant for another.
			return
		}
		if c.node == nil {
			if len(c.held.Bound) == 0 {
				return
			}
			c.startNode(c.held.Point)
		}
		if c.addrOf(m.From) == "" {
			c.back[m.From] = e.Stream
		}
		c.node.Step(m, time.Now())
	case framePiece:
		c.onPiece(ctx, e.Frame.Body, e.Stream)
	case framePieceGot:
		c.onPieceGot(ctx, e.Frame.Body)
	case frameSum:
		c.onReport(e.Frame.Body)
	case member.FrameAsk:
		var a member.Ask
		if link.Unpack(e.Frame.Body, &a) != nil {
			e.Stream.Close()
			return
		}
		s, id := e.Stream, e.Frame.ID
		c.meter.add("ask_"+a.Kind, 1)
		c.onAsk(a, s, c.stamped(func(r member.Answer) {
			s.Send(link.Frame{Kind: member.FrameAnswer, ID: id, Body: link.Pack(r)})
		}))
	}
}

// post sends messages to other members.
func (c *Core) post(ctx context.Context, ms []raft.Msg) {
	for _, m := range ms {
		if m.Kind == raft.MsgPoint && m.Point != nil && len(m.Point.Data) > 0 {
			c.transfer(ctx, m)
			continue
		}
		raw := link.Pack(m)
		if c.send(ctx, m.To, link.Frame{Kind: member.FrameRaft, Body: raw}) {
			c.meter.add("raft_out", 1)
			c.meter.add("raft_bytes_out", len(raw))
		}
	}
}

// send gives a frame to the stream of another member; false if there is none
// yet, and the frame is lost.
func (c *Core) send(ctx context.Context, to string, f link.Frame) bool {
	addr := c.addrOf(to)
	if addr == "" {
		// Back on its own stream: a candidate knows no addresses yet.
		b := c.back[to]
		return b != nil && b.Send(f)
	}
	s := c.streams[addr]
	if s == nil {
		c.dial(ctx, addr)
		// Back on its own stream meanwhile: a candidate that has just learnt
		// the addresses from a snapshot must not lose its answer to it.
		b := c.back[to]
		return b != nil && b.Send(f)
	}
	if !s.Send(f) {
		// Here too, since a stream may have ended before it was noted.
		delete(c.streams, addr)
		c.dial(ctx, addr)
		return false
	}
	return true
}

func (c *Core) addrOf(d string) string {
	for _, v := range c.node.Voters() {
		if v.Disk == d {
			return v.Addr
		}
	}
	return c.addrs[d]
}

func (c *Core) dial(ctx context.Context, addr string) {
	if at, ok := c.dialing[addr]; ok && (at.IsZero() || time.Now().Before(at)) {
		return
	}
	c.dialing[addr] = time.Time{}
	go func() {
		s, err := link.Dial(ctx, addr, c.Give)
		if err != nil {
			s = nil
		}
		c.in <- Event{Peer: &peerUp{addr, s}}
	}()
}
