// Package httpserver serves HTTP on one listener of a daemon and knows which requests
// are open there, so that a daemon can say what it leaves behind when it ends. It knows
// nothing of what is served.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Server is an HTTP server of a daemon. It is safe for concurrent use.
type Server struct {
	http *http.Server
	open atomic.Int64 // requests that are handled now
}

// Options are what a Server is built from.
type Options struct {
	Handler        http.Handler
	HeaderTimeout  time.Duration // for the head of a request
	IdleTimeout    time.Duration // for the next request on a connection
	MaxHeaderBytes int           // 0: the library's default
	// BaseContext is the context of all requests; nil: one that never ends.
	BaseContext context.Context
	// ConnContext makes the context of a connection's requests; nil: BaseContext.
	ConnContext func(context.Context, net.Conn) context.Context
}

// New builds a server; Serve starts it.
func New(options Options) *Server {
	s := &Server{}
	s.http = &http.Server{
		Handler:           s.count(options.Handler),
		ReadHeaderTimeout: options.HeaderTimeout,
		IdleTimeout:       options.IdleTimeout,
		MaxHeaderBytes:    options.MaxHeaderBytes,
		ConnContext:       options.ConnContext,
	}
	if options.BaseContext != nil {
		s.http.BaseContext = func(net.Listener) context.Context { return options.BaseContext }
	}
	return s
}

// count counts the requests that a handler has open.
func (s *Server) count(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.open.Add(1)
		defer s.open.Add(-1)
		handler.ServeHTTP(writer, request)
	})
}

// Serve serves the connections of a listener until the server is closed.
func (s *Server) Serve(listener net.Listener) {
	_ = s.http.Serve(listener) // it ends with Close or Shutdown only
}

// Open is how many requests are being handled.
func (s *Server) Open() int { return int(s.open.Load()) }

// Shutdown accepts no more connections and waits until the open requests are answered
// or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }
