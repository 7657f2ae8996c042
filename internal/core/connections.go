package core

import (
	"context"
	"maps"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// onLink takes a frame from a stream, or the end of the stream.
func (c *Core) onLink(ctx context.Context, e *transport.Event) {
	if e.Closed {
		for a, stream := range c.connections {
			if stream == e.Stream {
				delete(c.connections, a)
			}
		}
		maps.DeleteFunc(c.inbound, func(_ string, stream *transport.Stream) bool { return stream == e.Stream })
		c.dropSessions(e.Stream)
		return
	}
	c.meter.add("bytes_in", len(e.Frame.Body))
	switch e.Frame.Kind {
	case rpc.FrameRaft:
		c.meter.add("raft_in", 1)
		if c.swamped() {
			return
		}
		var message raft.Message
		if transport.Decode(e.Frame.Body, &message) != nil || message.To != c.self.ID {
			// Addresses are reused: this message is meant for another disk.
			return
		}
		if c.node == nil {
			if len(c.held.Founders) == 0 {
				return
			}
			c.startNode(c.held.Snapshot)
		}
		c.inbound[message.From] = e.Stream
		c.node.Step(message, time.Now())
	case framePiece:
		c.onPiece(ctx, e.Frame.Body, e.Stream)
	case framePieceGot:
		c.onPieceGot(ctx, e.Frame.Body)
	case frameDigest:
		c.onDigestReport(e.Frame.Body)
	case rpc.FrameRequest:
		var a rpc.Request
		if transport.Decode(e.Frame.Body, &a) != nil {
			e.Stream.Close()
			return
		}
		stream, id := e.Stream, e.Frame.ID
		c.meter.add("ask_"+a.Kind, 1)
		c.onAsk(a, stream, c.stamped(func(r rpc.Response) {
			stream.Send(transport.Frame{Kind: rpc.FrameResponse, ID: id, Body: transport.Encode(r)})
		}))
	}
}

// sendMessages sends messages of the consensus protocol to other members.
func (c *Core) sendMessages(ctx context.Context, messages []raft.Message) {
	for _, message := range messages {
		if message.Kind == raft.MsgSnapshot && message.Snapshot != nil && len(message.Snapshot.Data) > 0 {
			c.transfer(ctx, message)
			continue
		}
		raw := transport.Encode(message)
		if c.send(ctx, message.To, transport.Frame{Kind: rpc.FrameRaft, Body: raw}) {
			c.meter.add("raft_out", 1)
			c.meter.add("raft_bytes_out", len(raw))
		}
	}
}

// send sends a frame to another member; false if there is no connection yet, and
// the frame is lost.
func (c *Core) send(ctx context.Context, to string, f transport.Frame) bool {
	addr := c.addrOf(to)
	if addr == "" {
		return c.sendInbound(to, f)
	}
	stream := c.connections[addr]
	if stream == nil {
		c.dial(ctx, addr)
		return c.sendInbound(to, f)
	}
	if !stream.Send(f) {
		// Here too, since a stream may have ended before it was noted.
		delete(c.connections, addr)
		c.dial(ctx, addr)
		return c.sendInbound(to, f)
	}
	return true
}

// sendInbound answers a member on the stream by which it was last heard: a
// candidate knows no addresses yet, and the first answer after a snapshot, which
// names them, must not be lost while a new connection is being made.
func (c *Core) sendInbound(to string, f transport.Frame) bool {
	back := c.inbound[to]
	return back != nil && back.Send(f)
}

// addrOf is the address of the member with a disk; empty if unknown.
func (c *Core) addrOf(diskID string) string {
	for _, voter := range c.node.Voters() {
		if voter.ID == diskID {
			return voter.Addr
		}
	}
	return c.addrs[diskID]
}

// dial connects to a peer in the background, unless that is under way or failed
// a moment ago.
func (c *Core) dial(ctx context.Context, addr string) {
	if at, ok := c.dialing[addr]; ok && (at.IsZero() || time.Now().Before(at)) {
		return
	}
	c.dialing[addr] = time.Time{}
	go func() {
		stream, err := transport.Dial(ctx, addr, c.Give)
		if err != nil {
			stream = nil
		}
		c.events <- Event{Peer: &peerUp{addr, stream}}
	}()
}
