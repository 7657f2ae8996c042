// Package httpserver serves HTTP on a listener of a daemon, and ends it in order: what the
// daemon has taken is answered before its connections are closed.
//
// The library's own way to end a server knows of a connection only whether a request is
// being handled there. It closes connections whose next request has just come in, or was
// passed on already, and drops what comes in meanwhile. It is not used here.
//
// The package knows nothing of what is served. When a daemon ends, and in which order, is
// decided by package shutdown.
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
	// DefaultHeaderTimeout is how long the headers of a request may take.
	DefaultHeaderTimeout = 3 * time.Second
	// MaxAnswerTime is the longest time from the head of a request to the end of its response, except
	// at gateways; it is above timing.MaxWatchWait.
	MaxAnswerTime = time.Minute
)

// ErrEnding is the cause with which the contexts of requests end that are still open at the
// latest moment of a daemon's end. Their clients are there and want an answer.
var ErrEnding = errors.New("the daemon ends")

// Options are what a Server is built from.
type Options struct {
	Handler       http.Handler
	HeaderTimeout time.Duration // for the head of a request
	IdleTimeout   time.Duration // for the next request on a connection
	// AnswerTime bounds the time from a request's head to the end of its answer: a client
	// that has gone without a word reads none. 0: the handler bounds it.
	AnswerTime     time.Duration
	MaxHeaderBytes int // 0: the library's default
	// ReceiveBuffer bounds how many bytes of a connection may be on their way or unread:
	// what many clients send at once must not fill the daemon's link for long, since other
	// daemons' messages wait behind it. 0: the system's default.
	ReceiveBuffer int
	// Wrap makes the connections of a listener those that the handler knows; nil: they
	// stay. Its connections have a method NetConn that gives the one beneath.
	Wrap func(context.Context, net.Listener) net.Listener
	// ConnContext makes the context of a connection's requests; nil: that of the server.
	ConnContext func(context.Context, net.Conn) context.Context
	// ClosesItself: while the daemon leaves, the handler says with which answer a
	// connection ends, since it may have passed on requests that wait there for their turn.
	ClosesItself bool
}

// Server is an HTTP server of a daemon. It is safe for concurrent use.
type Server struct {
	options  Options
	http     *http.Server
	base     context.Context         // of all requests
	end      context.CancelCauseFunc // of base
	open     atomic.Int64            // requests that are handled now
	leaving  atomic.Bool
	closed   atomic.Bool
	listener *listener

	mu    sync.Mutex // guards conns
	conns map[*conn]bool
}

// New builds a server on a listener; Serve starts it. The contexts of its requests end with
// ctx.
func New(ctx context.Context, socket net.Listener, options Options) *Server {
	s := &Server{options: options, conns: map[*conn]bool{}}
	s.listener = &listener{Listener: socket, server: s}
	s.base, s.end = context.WithCancelCause(ctx)
	s.http = &http.Server{
		Handler:           s.handler(options.Handler),
		ReadHeaderTimeout: options.HeaderTimeout,
		WriteTimeout:      options.AnswerTime,
		IdleTimeout:       options.IdleTimeout,
		MaxHeaderBytes:    options.MaxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return s.base },
		ConnContext:       options.ConnContext,
		ConnState:         noteState,
	}
	return s
}

// handler counts the requests that are handled. While the daemon leaves, each answer is
// the last of its connection.
func (s *Server) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.open.Add(1)
		defer s.open.Add(-1)
		if s.leaving.Load() && !s.options.ClosesItself {
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, request)
	})
}

// Serve serves until the listener is closed. Connections live on after that.
func (s *Server) Serve() {
	socket := net.Listener(s.listener)
	if s.options.Wrap != nil {
		socket = s.options.Wrap(s.base, socket)
	}
	_ = s.http.Serve(socket) // it ends as the listener is closed
}

// Open is how many requests are being handled.
func (s *Server) Open() int { return int(s.open.Load()) }

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.closed.Store(true)
	s.end(ErrEnding)
	_ = s.listener.Close()
	_ = s.http.Close()
}

// busy is how many connections have a request that is read or answered, or an answer that
// the client has not received whole.
func (s *Server) busy() int {
	busy := 0
	for _, c := range s.connections() {
		if !c.isWaiting() {
			busy++
		}
	}
	return busy
}

// closeWaiting closes the connections that have waited for a request for a time.
func (s *Server) closeWaiting(now time.Time, least time.Duration) {
	for _, c := range s.connections() {
		c.interrupt(now, least)
	}
}

// connections lists the open connections.
func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// add keeps a connection that was accepted.
func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = true
}

// remove forgets a connection that is closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
