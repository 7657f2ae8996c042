package member

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/transport"
)

// pipes is a network of one process without delay.
type pipes map[string]chan net.Conn

// Listen opens a port.
func (p pipes) Listen(ctx context.Context, addr string) (net.Listener, error) {
	in := make(chan net.Conn)
	p[addr] = in
	return &port{in: in, done: make(chan struct{})}, nil
}

// Dial connects to a port that was opened before.
func (p pipes) Dial(_ context.Context, addr string) (net.Conn, error) {
	x, y := net.Pipe()
	p[addr] <- y
	return x, nil
}

type port struct {
	in   chan net.Conn
	done chan struct{}
}

func (p *port) Accept() (net.Conn, error) {
	select {
	case c := <-p.in:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}
func (p *port) Close() error   { close(p.done); return nil }
func (p *port) Addr() net.Addr { return nil }

// atLeader runs a test of a seeker whose loop doesn't run, with streams to a
// leader at "l" that tells what it is sent.
func atLeader(t *testing.T, test func(ctx context.Context, s *Seeker, open func() *transport.Stream, sent <-chan transport.Event)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(transport.WithNetwork(context.Background(), pipes{}))
		sent := make(chan transport.Event, 64)
		if err := transport.Serve(ctx, "l", func(e transport.Event) { sent <- e }); err != nil {
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
		s := NewSeeker(log.NewNopLogger(), "", []string{"l"}, nil, nil, nil)
		s.now = time.Now()
		s.Homing()
		test(ctx, s, open, sent)
		for _, stream := range streams {
			stream.Close()
		}
		stop()
		time.Sleep(time.Second)
	})
}

// TestAnEndedStreamIsNotUsed: a stream that ended between the look and its use
// tells its end only once, before it is the present one; to use it would leave
// the seeker with a leader that never answers, and without a search.
func TestAnEndedStreamIsNotUsed(t *testing.T) {
	atLeader(t, func(ctx context.Context, s *Seeker, open func() *transport.Stream, _ <-chan transport.Event) {
		stream := open()
		stream.Close()
		s.onLink(ctx, &transport.Event{Stream: stream, Closed: true})
		s.searchID, s.searching = 1, true
		s.onSearchResult(&searchResult{id: 1, stream: stream, addr: "l", leads: true})
		if s.stream != nil || s.searching {
			t.Error("a search that found an ended stream: it is used, and no other search follows")
		}
		now := open()
		s.useStream(now, "l")
		s.onSwitch(&switchResult{addr: "h", stream: stream})
		if s.stream != now {
			t.Error("turned from a leader that answers to an ended stream")
		}
	})
}

// TestAsksAreSentAgainInTheirOrder: of two asks about one worker the later one
// must win, also when a new leader is asked all that waits.
func TestAsksAreSentAgainInTheirOrder(t *testing.T) {
	atLeader(t, func(ctx context.Context, s *Seeker, open func() *transport.Stream, sent <-chan transport.Event) {
		const asks = 16
		for range asks {
			s.handle(ctx, seekerEvent{ask: &pendingAsk{ask: Ask{Kind: AskElig}, reply: make(chan Answer, 1), deadline: s.now.Add(time.Second)}})
		}
		for range 2 {
			s.useStream(open(), "l")
			for want := uint64(1); want <= asks; {
				if e := <-sent; e.Closed {
					continue
				} else if e.Frame.ID != want {
					t.Fatalf("ask %d was sent where %d was due", e.Frame.ID, want)
				}
				want++
			}
		}
	})
}

// TestAnswersAreMatchedByTheirStream: an answer of an earlier stream that is
// already queued, one that is doubled, and one to no ask reach nobody.
func TestAnswersAreMatchedByTheirStream(t *testing.T) {
	atLeader(t, func(ctx context.Context, s *Seeker, open func() *transport.Stream, _ <-chan transport.Event) {
		old, now := open(), open()
		s.useStream(old, "l")
		replies := []chan Answer{make(chan Answer, 1), make(chan Answer, 1)}
		for _, r := range replies {
			s.handle(ctx, seekerEvent{ask: &pendingAsk{ask: Ask{Kind: AskPut}, reply: r, deadline: s.now.Add(time.Second)}})
		}
		s.useStream(now, "l")
		answer := func(stream *transport.Stream, id uint64, n int64) {
			s.onLink(ctx, &transport.Event{Stream: stream, Frame: transport.Frame{Kind: FrameAnswer, ID: id, Body: transport.Encode(Answer{Code: 200, N: n})}})
		}
		answer(old, 1, 66)
		answer(now, 3, 77)
		if len(replies[0])+len(replies[1]) != 0 {
			t.Fatal("an answer of an earlier stream, or to no ask, reached a caller")
		}
		answer(now, 1, 1)
		answer(now, 1, 88)
		answer(old, 2, 99)
		answer(now, 2, 2)
		for i, r := range replies {
			if answer := <-r; answer.N != int64(i+1) {
				t.Errorf("ask %d got the answer %d", i+1, answer.N)
			}
		}
	})
}

// TestLargeAskOnASlowLinkIsNotSilence: a configuration of 190 KB takes 0.8 s on
// a link of 2 Mbit/s; to turn away from the leader meanwhile and to send it
// again would go on for ever. What waits behind it isn't silence either.
func TestLargeAskOnASlowLinkIsNotSilence(t *testing.T) {
	for _, c := range []struct {
		name    string
		asks    []Ask
		largest int
		after   time.Duration
		leaves  bool
	}{
		{"small ask", []Ask{{Kind: AskClaim}}, 0, 600 * time.Millisecond, true},
		{"small ask, answered in time", []Ask{{Kind: AskClaim}}, 0, 400 * time.Millisecond, false},
		{"large order", []Ask{{Kind: AskPut, Body: make([]byte, 190_000)}}, 0, 900 * time.Millisecond, false},
		{"small ask behind a large order", []Ask{{Kind: AskPut, Body: make([]byte, 190_000)}, {Kind: AskClaim}}, 0, 900 * time.Millisecond, false},
		{"large order, too long", []Ask{{Kind: AskPut, Body: make([]byte, 190_000)}}, 0, 2500 * time.Millisecond, true},
		{"read of what was large", []Ask{{Kind: AskRead}}, 190_000, 900 * time.Millisecond, false},
		{"other ask where that was large", []Ask{{Kind: AskStatus}}, 190_000, 900 * time.Millisecond, true},
	} {
		atLeader(t, func(ctx context.Context, s *Seeker, open func() *transport.Stream, _ <-chan transport.Event) {
			s.searching = true
			s.useStream(open(), "l")
			s.onLink(ctx, &transport.Event{Stream: s.stream, Frame: transport.Frame{Kind: FrameAnswer, ID: 99, Body: transport.Encode(Answer{Body: make([]byte, c.largest)})}})
			for _, ask := range c.asks {
				s.handle(ctx, seekerEvent{ask: &pendingAsk{ask: ask, reply: make(chan Answer, 1), deadline: s.now.Add(time.Minute), leaderlessBy: s.now.Add(time.Minute), noLeaderBy: s.now.Add(time.Minute)}})
			}
			s.endTurn(ctx, s.now.Add(c.after))
			if left := s.stream == nil; left != c.leaves {
				t.Errorf("%s, after %v: turned away %v", c.name, c.after, left)
			}
		})
	}
}
