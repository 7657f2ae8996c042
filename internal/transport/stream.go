// Package transport carries frames between daemons over drpc, one two-way stream
// for each pair.
package transport

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

	"tealpond/internal/tuning"
)

// Error is the class of faults of streams.
var Error = errs.Class("link")

const joinRPC = "/tealpond.Link/Join"

// Frame is one message between daemons.
type Frame struct {
	Kind byte
	ID   uint64
	Body []byte
}

// frameEncoding lays a frame out as kind, number and body.
type frameEncoding struct{}

func (frameEncoding) Marshal(message drpc.Message) ([]byte, error) {
	frame := message.(*Frame)
	out := make([]byte, 9+len(frame.Body))
	out[0] = frame.Kind
	binary.BigEndian.PutUint64(out[1:], frame.ID)
	copy(out[9:], frame.Body)
	return out, nil
}

func (frameEncoding) Unmarshal(raw []byte, message drpc.Message) error {
	if len(raw) < 9 {
		return Error.New("short frame")
	}
	frame := message.(*Frame)
	frame.Kind = raw[0]
	frame.ID = binary.BigEndian.Uint64(raw[1:])
	frame.Body = append([]byte(nil), raw[9:]...)
	return nil
}

// Encode encodes a body; only a type that cbor can't hold fails, which is a
// broken invariant.
func Encode(body any) []byte {
	raw, err := cbor.Marshal(body)
	if err != nil {
		panic("link: " + err.Error())
	}
	return raw
}

// Stream is one side of a two-way stream.
type Stream struct {
	Addr string
	// UserData is set by the owner of the queue of events and read by it alone.
	UserData  any
	outbox    chan *Frame
	done      chan struct{}
	closeOnce sync.Once
	cancel    context.CancelFunc
}

// Send queues a frame; false if the stream is gone or its queue is full.
func (s *Stream) Send(frame Frame) bool {
	if s.Closed() {
		return false
	}
	select {
	case s.outbox <- &frame:
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
	s.closeOnce.Do(func() { close(s.done); s.cancel() })
}

// Closed tells whether the stream has ended.
func (s *Stream) Closed() bool {
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
	Closed bool
}

func newStream(addr string, cancel context.CancelFunc) *Stream {
	return &Stream{Addr: addr, outbox: make(chan *Frame, tuning.StreamQueueLength), done: make(chan struct{}), cancel: cancel}
}

// pump moves frames both ways until the stream ends.
func (s *Stream) pump(raw drpc.Stream, deliver func(Event)) {
	go func() {
		for {
			select {
			case <-s.done:
				return
			case frame := <-s.outbox:
				if raw.MsgSend(frame, frameEncoding{}) != nil {
					s.Close()
					return
				}
			}
		}
	}()
	for {
		var frame Frame
		if err := raw.MsgRecv(&frame, frameEncoding{}); err != nil {
			break
		}
		deliver(Event{Stream: s, Frame: frame})
	}
	s.Close()
	deliver(Event{Stream: s, Closed: true})
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: 4096,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: tuning.MaxFrameBytes},
		Stream:           drpcstream.Options{SplitSize: 64 << 10, MaximumBufferSize: tuning.MaxFrameBytes},
	}
}

// UserTimeoutControl sets TCP_USER_TIMEOUT, so that a cut is noticed.
func UserTimeoutControl(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(network, address string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit/time.Millisecond))
		})
	}
}

// Dial opens a stream; frames are given to give from a task of the stream's.
func Dial(ctx context.Context, addr string, deliver func(Event)) (*Stream, error) {
	netConn, err := networkOf(ctx).Dial(ctx, addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	streamCtx, cancel := context.WithCancel(context.Background())
	drpcConn := drpcconn.NewWithOptions(netConn, drpcconn.Options{Manager: managerOptions()})
	raw, err := drpcConn.NewStream(streamCtx, joinRPC, frameEncoding{})
	if err != nil {
		cancel()
		_ = drpcConn.Close()
		return nil, Error.Wrap(err)
	}
	s := newStream(addr, func() { cancel(); _ = netConn.Close() })
	go func() {
		s.pump(raw, deliver)
		_ = drpcConn.Close()
	}()
	return s, nil
}

// StreamServer takes streams from other daemons.
type StreamServer struct {
	deliver func(Event)
}

// HandleRPC serves one stream.
func (s *StreamServer) HandleRPC(raw drpc.Stream, rpc string) error {
	if rpc != joinRPC {
		return Error.New("unknown call %q", rpc)
	}
	_, cancel := context.WithCancel(raw.Context())
	stream := newStream("", cancel)
	go func() {
		<-stream.done
		_ = raw.Close()
	}()
	stream.pump(raw, s.deliver)
	return nil
}

// Serve takes streams at addr until ctx ends.
func Serve(ctx context.Context, addr string, deliver func(Event)) error {
	listener, err := Listen(ctx, addr)
	if err != nil {
		return err
	}
	server := drpcserver.NewWithOptions(&StreamServer{deliver: deliver}, drpcserver.Options{Manager: managerOptions()})
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
				continue
			}
			go func() {
				_ = server.ServeOne(ctx, conn)
				_ = conn.Close()
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

type networkKey struct{}

// WithNetwork gives a context whose streams go over n.
func WithNetwork(ctx context.Context, network Network) context.Context {
	return context.WithValue(ctx, networkKey{}, network)
}

func networkOf(ctx context.Context) Network {
	if n, ok := ctx.Value(networkKey{}).(Network); ok {
		return n
	}
	return tcpNetwork{}
}

// tcpNetwork is the network of real machines.
type tcpNetwork struct{}

// Dial opens a connection that notices a cut.
func (tcpNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: tuning.DialTimeout, Control: UserTimeoutControl(tuning.TCPUserTimeout), KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

// Listen opens a port.
func (tcpNetwork) Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: UserTimeoutControl(tuning.TCPUserTimeout), KeepAlive: -1}
	return config.Listen(ctx, "tcp", addr)
}

// Listen opens a port on the context's network.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	listener, err := networkOf(ctx).Listen(ctx, addr)
	return listener, Error.Wrap(err)
}
