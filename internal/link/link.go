// Package link carries frames between daemons over drpc, one two-way stream
// for each pair.
package link

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"tealpond/internal/tune"
)

// Error is the class of faults of streams.
var Error = errs.Class("link")

const rpcName = "/tealpond.Link/Join"

// Frame is one message between daemons.
type Frame struct {
	Kind byte
	ID   uint64
	Body []byte
}

// coder lays a frame out as kind, number and body.
type coder struct{}

func (coder) Marshal(m drpc.Message) ([]byte, error) {
	f := m.(*Frame)
	out := make([]byte, 9+len(f.Body))
	out[0] = f.Kind
	binary.BigEndian.PutUint64(out[1:], f.ID)
	copy(out[9:], f.Body)
	return out, nil
}

func (coder) Unmarshal(raw []byte, m drpc.Message) error {
	if len(raw) < 9 {
		return Error.New("short frame")
	}
	f := m.(*Frame)
	f.Kind = raw[0]
	f.ID = binary.BigEndian.Uint64(raw[1:])
	f.Body = append([]byte(nil), raw[9:]...)
	return nil
}

// Pack encodes a body; only a type that cbor can't hold fails, which is a
// broken invariant.
func Pack(v any) []byte {
	out, err := cbor.Marshal(v)
	if err != nil {
		panic("link: " + err.Error())
	}
	return out
}

// Stream is one side of a two-way stream.
type Stream struct {
	Addr string
	// Tag is set by the owner of the queue of events and read by it alone.
	Tag  any
	out  chan *Frame
	done chan struct{}
	once sync.Once
	stop context.CancelFunc
}

// Send queues a frame; false if the stream is gone or its queue is full.
func (s *Stream) Send(f Frame) bool {
	if s.Ended() {
		return false
	}
	select {
	case s.out <- &f:
		return true
	default:
		// Why closed: a peer that does not read must find a new stream, as
		// later frames rest on those that were dropped.
		s.Close()
		return false
	}
}

// Close ends the stream.
func (s *Stream) Close() {
	s.once.Do(func() { close(s.done); s.stop() })
}

// Ended tells whether the stream has ended.
func (s *Stream) Ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Done is closed once the stream has ended.
func (s *Stream) Done() <-chan struct{} { return s.done }

// Event is a frame, or the end of the stream where Gone is set.
type Event struct {
	Stream *Stream
	Frame  Frame
	Gone   bool
}

func newStream(addr string, stop context.CancelFunc) *Stream {
	return &Stream{Addr: addr, out: make(chan *Frame, tune.StreamInbox), done: make(chan struct{}), stop: stop}
}

// pump moves frames both ways until the stream ends.
func (s *Stream) pump(raw drpc.Stream, give func(Event)) {
	go func() {
		for {
			select {
			case <-s.done:
				return
			case f := <-s.out:
				if raw.MsgSend(f, coder{}) != nil {
					s.Close()
					return
				}
			}
		}
	}()
	for {
		var f Frame
		if err := raw.MsgRecv(&f, coder{}); err != nil {
			break
		}
		give(Event{Stream: s, Frame: f})
	}
	s.Close()
	give(Event{Stream: s, Gone: true})
}

func options() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: 4096,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: tune.FrameBytes},
		Stream:           drpcstream.Options{SplitSize: 64 << 10, MaximumBufferSize: tune.FrameBytes},
	}
}

// Control sets TCP_USER_TIMEOUT, so that a cut is noticed.
func Control(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(network, address string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit/time.Millisecond))
		})
	}
}

// Dial opens a stream; frames are given to give from a task of the stream's.
func Dial(ctx context.Context, addr string, give func(Event)) (*Stream, error) {
	c, err := over(ctx).Dial(ctx, addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	inner, stop := context.WithCancel(context.Background())
	conn := drpcconn.NewWithOptions(c, drpcconn.Options{Manager: options()})
	raw, err := conn.NewStream(inner, rpcName, coder{})
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	s := newStream(addr, func() { stop(); _ = c.Close() })
	go func() {
		s.pump(raw, give)
		_ = conn.Close()
	}()
	return s, nil
}

// Server takes streams from other daemons.
type Server struct {
	give func(Event)
}

// HandleRPC serves one stream.
func (h *Server) HandleRPC(raw drpc.Stream, rpc string) error {
	if rpc != rpcName {
		return Error.New("unknown call %q", rpc)
	}
	_, stop := context.WithCancel(raw.Context())
	s := newStream("", stop)
	go func() {
		<-s.done
		_ = raw.Close()
	}()
	s.pump(raw, h.give)
	return nil
}

// Serve takes streams at addr until ctx ends.
func Serve(ctx context.Context, addr string, give func(Event)) error {
	ln, err := Listen(ctx, addr)
	if err != nil {
		return err
	}
	srv := drpcserver.NewWithOptions(&Server{give: give}, drpcserver.Options{Manager: options()})
	go func() {
		<-ctx.Done()
		_ = ln.Close()
	}()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
				continue
			}
			go func() {
				_ = srv.ServeOne(ctx, c)
				_ = c.Close()
			}()
		}
	}()
	return nil
}

// Network opens connections and ports. Daemons use TCP; tests bring a network
// of their own, with cuts and delays, in the context.
type Network interface {
	Dial(ctx context.Context, addr string) (net.Conn, error)
	Listen(ctx context.Context, addr string) (net.Listener, error)
}

type netKey struct{}

// On gives a context whose streams go over n.
func On(ctx context.Context, n Network) context.Context { return context.WithValue(ctx, netKey{}, n) }

func over(ctx context.Context) Network {
	if n, ok := ctx.Value(netKey{}).(Network); ok {
		return n
	}
	return tcp{}
}

// tcp is the network of real machines.
type tcp struct{}

// Dial opens a connection that notices a cut.
func (tcp) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: tune.Dial, Control: Control(tune.UserTimeout), KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

// Listen opens a port.
func (tcp) Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: Control(tune.UserTimeout), KeepAlive: -1}
	return lc.Listen(ctx, "tcp", addr)
}

// Listen opens a port on the context's network.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	ln, err := over(ctx).Listen(ctx, addr)
	return ln, Error.Wrap(err)
}
