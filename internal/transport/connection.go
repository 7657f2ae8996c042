package transport

import (
	"context"
	"net"
	"time"

	"github.com/zeebo/errs"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// MaxFrameBytes is the maximum size of a frame, and of a snapshot that is accepted, in
// bytes.
const MaxFrameBytes = 64 << 20

// Error is the class of stream errors.
var Error = errs.Class("link")

// joinRPC is the name of the only RPC, which opens a stream. It is part of the wire protocol, so it
// does not follow the names in the code.
const joinRPC = "/tealpond.Link/Join"

const (
	writeBufferBytes    = 4096     // DRPC buffers small packets up to this size
	packetBytes         = 64 << 10 // DRPC splits larger messages into packets of this size
	acceptRetryInterval = 10 * time.Millisecond
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writeBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: MaxFrameBytes},
		Stream:           drpcstream.Options{SplitSize: packetBytes, MaximumBufferSize: MaxFrameBytes},
	}
}

// Dial opens a stream to a daemon. The stream outlives ctx, and the caller must close it. Dial calls
// deliver with the stream's events from one goroutine; the last event has Closed set.
// Errors are of class Error.
func Dial(ctx context.Context, addr string, deliver func(Event)) (*Stream, error) {
	netConn, err := networkOf(ctx).Dial(ctx, addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	streamCtx, cancel := context.WithCancel(context.Background())
	drpcConn := drpcconn.NewWithOptions(netConn, drpcconn.Options{Manager: managerOptions()})
	raw, err := drpcConn.NewStream(streamCtx, joinRPC, &frameEncoding{})
	if err != nil {
		cancel()
		_ = drpcConn.Close()
		return nil, Error.Wrap(err)
	}
	stream := newStream(addr, func() { cancel(); _ = netConn.Close() })
	go func() {
		stream.pump(raw, deliver)
		_ = drpcConn.Close()
	}()
	return stream, nil
}

// streamServer accepts the streams that other daemons open.
type streamServer struct {
	deliver func(Event)
}

// HandleRPC serves one stream until it ends.
func (s *streamServer) HandleRPC(raw drpc.Stream, rpc string) error {
	if rpc != joinRPC {
		return Error.New("unknown call %q", rpc)
	}
	stream := newStream("", func() {})
	go func() {
		<-stream.done
		_ = raw.Close()
	}()
	stream.pump(raw, s.deliver)
	return nil
}

// Serve listens on an address and accepts streams there, in goroutines that end with ctx. It
// calls deliver with the events of all streams, from one goroutine for each stream. The
// last event of a stream has Closed set. Errors are of class Error.
func Serve(ctx context.Context, addr string, deliver func(Event)) error {
	listener, err := networkOf(ctx).Listen(ctx, addr)
	if err != nil {
		return Error.Wrap(err)
	}
	server := drpcserver.NewWithOptions(&streamServer{deliver: deliver}, drpcserver.Options{Manager: managerOptions()})
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	go acceptConnections(ctx, listener, server)
	return nil
}

// acceptConnections serves each connection of a listener until ctx ends.
func acceptConnections(ctx context.Context, listener net.Listener, server *drpcserver.Server) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryInterval)
			continue
		}
		go func() {
			_ = server.ServeOne(ctx, conn)
			_ = conn.Close()
		}()
	}
}
