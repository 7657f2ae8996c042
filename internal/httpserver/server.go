// Package httpserver serves HTTP on a listener of a daemon and shuts it down gracefully: every
// request that the daemon has accepted is answered before its connection is closed.
//
// http.Server.Shutdown is not used because it only knows whether a request is being handled on
// a connection. It closes connections whose next request has just arrived or was already
// forwarded, and drops requests that arrive in the meantime.
//
// The package does not depend on what is served. Package shutdown decides when a daemon ends
// and in which order.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultHeaderTimeout is the time allowed for receiving the headers of a request.
	DefaultHeaderTimeout = 3 * time.Second
	// MaxResponseTime is the longest time from the head of a request to the end of its response,
	// except at gateways. It is greater than timing.MaxWatchWait.
	MaxResponseTime = time.Minute
	// DefaultBodyTimeout is how long a client may pause within a body. It equals the time that an idle
	// connection is kept.
	DefaultBodyTimeout = 15 * time.Second
)

// ErrShuttingDown is the cancellation cause of the contexts of requests that are still open at the
// shutdown deadline. Their clients are still connected and expect a response.
var ErrShuttingDown = errors.New("daemon is shutting down")

// Options configures a Server.
type Options struct {
	Handler       http.Handler
	HeaderTimeout time.Duration // for the head of a request
	IdleTimeout   time.Duration // for the next request on a connection
	// ResponseTimeout limits the time from a request's head to the end of its response, since a
	// client that disappeared without closing its connection never reads it. 0: the handler
	// limits it.
	ResponseTimeout time.Duration
	MaxHeaderBytes  int // 0: the default of net/http
	// ReceiveBuffer limits how many bytes of a connection may be in transit or unread. Data
	// that many clients send at once must not fill the daemon's link for long, since messages
	// of other daemons queue behind it. 0: the system's default.
	ReceiveBuffer int
	// BodyTimeout limits the wait for the next bytes of a body; 0: DefaultBodyTimeout.
	BodyTimeout time.Duration
	// Budget bounds the memory that clients hold; nil: not bounded. The servers of a process share it.
	Budget *Budget
	// MaxHeldBodyBytes is the size of the largest body that the handler keeps in memory; of a larger
	// one it keeps nothing. 0: it keeps each body.
	MaxHeldBodyBytes int64
	// RequestBytes is the memory that the handler needs for a request besides its body, in bytes.
	RequestBytes int64
	// MaxConnections limits the open connections; 0: not limited. At the limit, a connection that
	// waits for its client is closed before another is accepted.
	MaxConnections int
	// Wrap wraps a listener so that its connections are of the type that the handler expects;
	// nil: not wrapped. The connections must have a method NetConn that returns the wrapped
	// connection.
	Wrap func(context.Context, net.Listener) net.Listener
	// ConnContext returns the context for the requests of a connection; nil: that of the
	// server.
	ConnContext func(context.Context, net.Conn) context.Context
	// HandlerClosesConnections: while the daemon is shutting down, the handler decides with which
	// response a connection closes, since it may already have forwarded pipelined requests.
	HandlerClosesConnections bool
}

// Server is an HTTP server of a daemon. It is safe for concurrent use.
type Server struct {
	options      Options
	http         *http.Server
	base         context.Context         // of all requests
	cancelBase   context.CancelCauseFunc // cancels base
	openRequests atomic.Int64            // requests being handled
	shuttingDown atomic.Bool
	closed       atomic.Bool
	listener     *listener

	// slots has an element for each connection that counts toward Options.MaxConnections; nil: not
	// limited.
	slots chan struct{}

	mu    sync.Mutex // guards conns
	conns map[*conn]bool
}

// New returns a server on a listener; Serve starts it. The contexts of its requests are
// canceled with ctx.
func New(ctx context.Context, socket net.Listener, options Options) *Server {
	if options.BodyTimeout <= 0 {
		options.BodyTimeout = DefaultBodyTimeout
	}
	s := &Server{options: options, conns: map[*conn]bool{}}
	if options.MaxConnections > 0 {
		s.slots = make(chan struct{}, options.MaxConnections)
	}
	s.listener = &listener{Listener: socket, server: s}
	s.base, s.cancelBase = context.WithCancelCause(ctx)
	s.http = &http.Server{
		Handler:           s.handler(options.Handler),
		ReadHeaderTimeout: options.HeaderTimeout,
		WriteTimeout:      options.ResponseTimeout,
		IdleTimeout:       options.IdleTimeout,
		MaxHeaderBytes:    options.MaxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return s.base },
		ConnContext:       s.connContext,
		ConnState:         trackState,
	}
	return s
}

// connContext returns the context for the requests of a connection.
func (s *Server) connContext(ctx context.Context, raw net.Conn) context.Context {
	ctx = context.WithValue(ctx, connKey{}, findConn(raw))
	if s.options.ConnContext != nil {
		return s.options.ConnContext(ctx, raw)
	}
	return ctx
}

// handler counts the requests being handled. While the daemon is shutting down, each response
// closes its connection, unless Options.HandlerClosesConnections is set.
func (s *Server) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.openRequests.Add(1)
		defer s.openRequests.Add(-1)
		if s.shuttingDown.Load() && !s.options.HandlerClosesConnections {
			writer.Header().Set("Connection", "close")
		}
		c, ok := request.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(writer, request)
			return
		}
		defer c.endHandling()
		next.ServeHTTP(writer, c.track(request))
	})
}

// Serve serves until the listener is closed. Open connections are kept after that.
func (s *Server) Serve() {
	socket := net.Listener(s.listener)
	if s.options.Wrap != nil {
		socket = s.options.Wrap(s.base, socket)
	}
	_ = s.http.Serve(socket) // returns when the listener is closed
}

// Open returns the number of requests being handled.
func (s *Server) Open() int { return int(s.openRequests.Load()) }

// Close closes the listener and all connections immediately.
func (s *Server) Close() {
	s.closed.Store(true)
	s.cancelBase(ErrShuttingDown)
	_ = s.listener.Close()
	_ = s.http.Close()
}

// busy returns the number of connections with a request being read or answered, or with a
// response that the client has not completely received.
func (s *Server) busy() int {
	busy := 0
	for _, c := range s.connections() {
		if !c.isIdle() {
			busy++
		}
	}
	return busy
}

// closeIdle closes the connections that have been idle for at least minIdle.
func (s *Server) closeIdle(now time.Time, minIdle time.Duration) {
	for _, c := range s.connections() {
		c.interrupt(now, minIdle)
	}
}

// connections returns the open connections.
func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// add registers an accepted connection.
func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
}

// remove unregisters a closed connection.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.conns[c] {
		return
	}
	delete(s.conns, c)
	c.account.close()
	if c.hasSlot {
		<-s.slots
	}
}
