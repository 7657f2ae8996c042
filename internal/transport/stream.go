package transport

import (
	"context"
	"sync"

	"storj.io/drpc"
)

// streamQueueLength is the maximum number of frames queued for writing to a peer.
const streamQueueLength = 512

// Stream is one end of a bidirectional stream between two daemons. Its methods are safe for
// concurrent use.
type Stream struct {
	Addr string // the dialed address; empty for a stream that the peer opened
	// UserData belongs to the receiver of the stream's events. Only the receiver sets and
	// reads it.
	UserData  any
	outbox    chan *Frame
	done      chan struct{}
	closeOnce sync.Once
	cancel    context.CancelFunc
}

// Event is a received frame or, if Closed is set, the end of the stream.
type Event struct {
	Stream *Stream
	Frame  Frame
	Closed bool
}

func newStream(addr string, cancel context.CancelFunc) *Stream {
	return &Stream{
		Addr:   addr,
		outbox: make(chan *Frame, streamQueueLength),
		done:   make(chan struct{}),
		cancel: cancel,
	}
}

// Send queues a frame. It returns false if the stream is closed or its queue is
// full. A full queue closes the stream, since later frames depend on the one that was
// dropped; a peer that does not read must use a new stream.
func (s *Stream) Send(frame Frame) bool {
	if s.Closed() {
		return false
	}
	select {
	case s.outbox <- &frame:
		return true
	default:
		s.Close()
		return false
	}
}

// Close closes the stream. Frames in its queue are dropped.
func (s *Stream) Close() {
	s.closeOnce.Do(func() { close(s.done); s.cancel() })
}

// Closed reports whether the stream is closed.
func (s *Stream) Closed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Done returns a channel that is closed when the stream is closed.
func (s *Stream) Done() <-chan struct{} { return s.done }

// pump sends and receives frames until the stream ends. It calls deliver with each received
// frame, and finally with an event that has Closed set.
func (s *Stream) pump(raw drpc.Stream, deliver func(Event)) {
	go s.sendQueued(raw)
	encoding := &frameEncoding{}
	for {
		var frame Frame
		if err := raw.MsgRecv(&frame, encoding); err != nil {
			break
		}
		deliver(Event{Stream: s, Frame: frame})
	}
	s.Close()
	deliver(Event{Stream: s, Closed: true})
}

// sendQueued sends the queued frames until the stream ends.
func (s *Stream) sendQueued(raw drpc.Stream) {
	encoding := &frameEncoding{}
	for {
		select {
		case <-s.done:
			return
		case frame := <-s.outbox:
			if raw.MsgSend(frame, encoding) != nil {
				s.Close()
				return
			}
		}
	}
}
