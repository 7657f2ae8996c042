package discovery

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// pipeNetwork is an in-process network without delay. It holds the listeners' connection queues by
// address.
type pipeNetwork map[string]chan net.Conn

// Listen opens a listener at an address.
func (p pipeNetwork) Listen(_ context.Context, addr string) (net.Listener, error) {
	connections := make(chan net.Conn)
	p[addr] = connections
	return &pipeListener{connections: connections, done: make(chan struct{})}, nil
}

// Dial connects to an address that has a listener.
func (p pipeNetwork) Dial(_ context.Context, addr string) (net.Conn, error) {
	near, far := net.Pipe()
	p[addr] <- far
	return near, nil
}

// pipeListener is a listener of a pipeNetwork.
type pipeListener struct {
	connections chan net.Conn
	done        chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-p.connections:
		return connection, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { close(p.done); return nil }
func (p *pipeListener) Addr() net.Addr { return nil }

// withLeaderStream runs a test of a client whose loop is not running. The test opens streams to a
// leader at the address "l" and receives the events of that leader from sent.
func withLeaderStream(t *testing.T, test func(ctx context.Context, c *Client, open func() *transport.Stream, sent <-chan transport.Event)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(transport.WithNetwork(context.Background(), pipeNetwork{}))
		sent := make(chan transport.Event, 64)
		if err := transport.Serve(ctx, "l", func(event transport.Event) { sent <- event }); err != nil {
			t.Fatal(err)
		}
		var streams []*transport.Stream
		open := func() *transport.Stream {
			stream, err := transport.Dial(ctx, "l", func(transport.Event) {})
			if err != nil {
				t.Fatal(err)
			}
			streams = append(streams, stream)
			return stream
		}
		c := NewClient(Options{Seeds: []string{"l"}, PreferAggregator: true})
		c.now = time.Now()
		test(ctx, c, open, sent)
		for _, stream := range streams {
			stream.Close()
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// TestClosedStreamIsNotUsed checks that a stream which is closed between the search and its use is not
// used. Its end is reported only once, before it becomes the current stream, so the client would be
// left with a leader that never responds, and would not search for another.
func TestClosedStreamIsNotUsed(t *testing.T) {
	withLeaderStream(t, func(ctx context.Context, c *Client, open func() *transport.Stream, _ <-chan transport.Event) {
		stream := open()
		stream.Close()
		c.onFrame(ctx, &transport.Event{Stream: stream, Closed: true})
		c.searchID, c.searching = 1, true
		c.onSearchResult(&searchResult{id: 1, stream: stream, addr: "l", isLeader: true})
		if c.stream != nil || c.searching {
			t.Error("a closed stream is used, or the search is still marked as in progress")
		}
		current := open()
		c.useStream(current, "l")
		c.onSwitchResult(&switchResult{addr: "h", stream: stream})
		if c.stream != current {
			t.Error("switched from an open stream to a closed one")
		}
	})
}

// TestPendingRequestsAreResentInOrder checks that pending requests are resent in their original order
// after a change of leader: of two requests about the same worker the later one must win.
func TestPendingRequestsAreResentInOrder(t *testing.T) {
	withLeaderStream(t, func(ctx context.Context, c *Client, open func() *transport.Stream, sent <-chan transport.Event) {
		const requests = 16
		for range requests {
			c.handle(ctx, clientEvent{request: &pendingRequest{
				request:  rpc.Request{Kind: rpc.KindSetEligibility},
				reply:    make(chan rpc.Response, 1),
				deadline: c.now.Add(time.Second),
			}})
		}
		for range 2 {
			c.useStream(open(), "l")
			for want := uint64(1); want <= requests; {
				if event := <-sent; event.Closed {
					continue
				} else if event.Frame.ID != want {
					t.Fatalf("got request %d, want request %d", event.Frame.ID, want)
				}
				want++
			}
		}
	})
}

// TestResponsesAreMatchedByStream checks that a response from an earlier stream, a duplicate response
// and a response with an unknown request ID are discarded.
func TestResponsesAreMatchedByStream(t *testing.T) {
	withLeaderStream(t, func(ctx context.Context, c *Client, open func() *transport.Stream, _ <-chan transport.Event) {
		old, current := open(), open()
		c.useStream(old, "l")
		replies := []chan rpc.Response{make(chan rpc.Response, 1), make(chan rpc.Response, 1)}
		for _, reply := range replies {
			c.handle(ctx, clientEvent{request: &pendingRequest{
				request:  rpc.Request{Kind: rpc.KindPutConfig},
				reply:    reply,
				deadline: c.now.Add(time.Second),
			}})
		}
		c.useStream(current, "l")
		respond := func(stream *transport.Stream, id uint64, value int64) {
			body := transport.Encode(rpc.Response{Code: rpc.CodeOK, Value: value})
			frame := transport.Frame{Kind: rpc.FrameResponse, ID: id, Body: body}
			c.onFrame(ctx, &transport.Event{Stream: stream, Frame: frame})
		}
		respond(old, 1, 66)
		respond(current, 3, 77)
		if len(replies[0])+len(replies[1]) != 0 {
			t.Fatal("a response from an earlier stream or with an unknown request ID was delivered")
		}
		respond(current, 1, 1)
		respond(current, 1, 88)
		respond(old, 2, 99)
		respond(current, 2, 2)
		for i, reply := range replies {
			if response := <-reply; response.Value != int64(i+1) {
				t.Errorf("request %d got the response of request %d", i+1, response.Value)
			}
		}
	})
}

// TestTransferTimeExtendsAttemptTimeout checks that the transfer time of large bodies extends the
// time-out of an attempt. A configuration of 190 KB takes 0.8 s on a link of 2 Mbit/s; a client that
// disconnected and resent it after the usual time-out would never succeed. Requests that wait behind
// a large one get the same extension.
func TestTransferTimeExtendsAttemptTimeout(t *testing.T) {
	for _, test := range []struct {
		name            string
		requests        []rpc.Request
		largestResponse int // bytes
		after           time.Duration
		disconnects     bool
	}{
		{"small request", []rpc.Request{{Kind: rpc.KindRenewMembership}}, 0, 600 * time.Millisecond, true},
		{"small request, before the time-out", []rpc.Request{{Kind: rpc.KindRenewMembership}}, 0, 400 * time.Millisecond, false},
		{"large request", []rpc.Request{{Kind: rpc.KindPutConfig, Body: make([]byte, 190_000)}}, 0, 900 * time.Millisecond, false},
		{"small request behind a large one", []rpc.Request{{Kind: rpc.KindPutConfig, Body: make([]byte, 190_000)}, {Kind: rpc.KindRenewMembership}}, 0, 900 * time.Millisecond, false},
		{"large request, after the extended time-out", []rpc.Request{{Kind: rpc.KindPutConfig, Body: make([]byte, 190_000)}}, 0, 2500 * time.Millisecond, true},
		{"GetConfig after a large response", []rpc.Request{{Kind: rpc.KindGetConfig}}, 190_000, 900 * time.Millisecond, false},
		{"other request after a large response", []rpc.Request{{Kind: rpc.KindJobStatus}}, 190_000, 900 * time.Millisecond, true},
	} {
		withLeaderStream(t, func(ctx context.Context, c *Client, open func() *transport.Stream, _ <-chan transport.Event) {
			c.searching = true
			c.useStream(open(), "l")
			body := transport.Encode(rpc.Response{Body: make([]byte, test.largestResponse)})
			frame := transport.Frame{Kind: rpc.FrameResponse, ID: 99, Body: body}
			c.onFrame(ctx, &transport.Event{Stream: c.stream, Frame: frame})
			for _, request := range test.requests {
				c.handle(ctx, clientEvent{request: &pendingRequest{
					request:            request,
					reply:              make(chan rpc.Response, 1),
					deadline:           c.now.Add(time.Minute),
					leaderlessDeadline: c.now.Add(time.Minute),
					noLeaderDeadline:   c.now.Add(time.Minute),
				}})
			}
			c.tick(ctx, c.now.Add(test.after))
			if disconnected := c.stream == nil; disconnected != test.disconnects {
				t.Errorf("%s, after %v: disconnected %v", test.name, test.after, disconnected)
			}
		})
	}
}
