package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/httpserver"
	"tealpond/internal/protocol"
)

// Some clients pipeline requests: they send the next request before the previous ones on the
// connection are answered. The HTTP server reads requests one after the other, so each would
// wait for all before it. This file sends a request that may run more than once to a runner as
// soon as it arrives, and holds its response until its turn.

const (
	// maxEarlyRequests is the maximum number of requests of a connection that are sent ahead
	// of their turn.
	maxEarlyRequests = 8
	// readAheadBytes is how much is read at once while a request is being handled, in bytes:
	// enough for a few requests.
	readAheadBytes = 2 << 10
)

// clientConn is a client's connection. It scans what the HTTP server reads.
type clientConn struct {
	net.Conn
	proxy  *Proxy
	ctx    context.Context // canceled when the connection closes
	cancel context.CancelFunc
	unread []byte // read from the connection, not yet by the server, which reads one byte at a time

	mu       sync.Mutex // guards the fields below
	scanner  requestScanner
	scanned  int                   // requests found by the scanner
	started  int                   // requests the server started to handle
	finished int                   // requests the server finished handling
	early    map[int]*earlyRequest // by request number on the connection
}

// earlyRequest is a request that was sent ahead of its turn.
type earlyRequest struct {
	exchange *exchange
	cancel   context.CancelFunc // abandons the request
	next     phase              // phase in which to continue when its turn comes
	done     chan struct{}      // closed once next is set
}

// clientListener wraps the connections of a listener in clientConns.
type clientListener struct {
	net.Listener
	proxy *Proxy
	ctx   context.Context
}

// Listener wraps the client listener of a server that uses ConnContext. Requests sent ahead of
// their turn are canceled with ctx.
func (p *Proxy) Listener(ctx context.Context, listener net.Listener) net.Listener {
	return clientListener{listener, p, ctx}
}

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: conn, proxy: l.proxy, early: map[int]*earlyRequest{}}
	c.ctx, c.cancel = context.WithCancel(l.ctx)
	return c, nil
}

// clientConnKey is the context key of a request's clientConn.
type clientConnKey struct{}

// ConnContext makes a connection available to its requests. It is the ConnContext of the
// server that uses Listener.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, conn)
}

// Read implements net.Conn. While the server handles a request it reads a single byte, to
// detect that the client has disconnected. In that case more is read and kept for the server.
func (c *clientConn) Read(into []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(into, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	if len(into) >= readAheadBytes {
		n, err := c.Conn.Read(into)
		c.scan(into[:n])
		return n, err
	}
	ahead := make([]byte, readAheadBytes)
	n, err := c.Conn.Read(ahead)
	c.scan(ahead[:n])
	taken := copy(into, ahead[:n])
	c.unread = ahead[taken:n]
	return taken, err
}

// Close implements net.Conn. Requests waiting for their turn are abandoned.
func (c *clientConn) Close() error {
	c.cancel()
	c.mu.Lock()
	abandoned := c.early
	c.early = nil
	c.mu.Unlock()
	for _, early := range abandoned {
		go early.abandon()
	}
	return c.Conn.Close()
}

// CloseWrite lets the server close a connection without a reset.
func (c *clientConn) CloseWrite() error { return httpserver.CloseWrite(c.Conn) }

// scan looks for requests in received data and sends those ahead that are eligible.
func (c *clientConn) scan(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.scanner.scan(data) {
		number := c.scanned
		c.scanned++
		// The server itself handles the first request that has not been answered.
		if number > c.finished && c.hasEarlyCapacity() && c.proxy.canSendEarly(request) {
			c.early[number] = c.startEarly(request)
		}
	}
}

// hasEarlyCapacity reports whether another request may be sent ahead of its turn. The caller
// holds mu.
func (c *clientConn) hasEarlyCapacity() bool {
	return c.early != nil && len(c.early) < maxEarlyRequests && !c.proxy.shuttingDown() && c.proxy.hasEarlyCapacity()
}

// closesAfterResponse reports whether the connection closes after the response about to be
// written because the daemon is shutting down. net/http closes the connection right after that
// response, which would lose requests already sent ahead. The connection therefore closes
// after a response with no such request behind it. A daemon that is shutting down sends no
// further requests ahead.
func (c *clientConn) closesAfterResponse() bool {
	if !c.proxy.shuttingDown() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.early) == 0
}

// NetConn returns the wrapped connection.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// begin counts a request that the server starts to handle, and returns the matching early
// request if it was sent ahead.
func (c *clientConn) begin(request *http.Request) *earlyRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := c.started
	c.started++
	early := c.early[number]
	delete(c.early, number)
	if early != nil && !early.matches(request) {
		// The scanner is out of sync with the connection.
		c.scanner.outOfSync = true
		go early.abandon()
		return nil
	}
	return early
}

// end counts a request that the server finished handling.
func (c *clientConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished++
}

// canSendEarly reports whether a request may be sent ahead of its turn. It must be safe to run
// more than once, so that no harm is done if the connection closes before its turn.
func (p *Proxy) canSendEarly(request *http.Request) bool {
	current := p.routing.Load()
	if current == nil || request.Method != http.MethodGet || request.ContentLength != 0 || !p.Ready() {
		return false
	}
	route, _ := current.routes.Find(request.Host, request.URL.Path)
	return route != nil && isSafeToRepeat(route)
}

// isSafeToRepeat reports whether the requests of a route are short and read-only.
func isSafeToRepeat(route *clusterconfig.Route) bool {
	return route.Kind == protocol.KindReadOnly
}

// hasEarlyCapacity reports whether requests sent ahead of their turn hold fewer connections to runners
// than allowed.
func (p *Proxy) hasEarlyCapacity() bool {
	limit := int64(p.options.MaxEarlyRequests)
	return limit <= 0 || p.early.Load() < limit
}

// startEarly sends a request ahead of its turn. It counts as early until it was served or abandoned.
func (c *clientConn) startEarly(request *http.Request) *earlyRequest {
	c.proxy.early.Add(1)
	ctx, cancel := context.WithCancel(c.ctx)
	early := &earlyRequest{exchange: c.proxy.newExchange(nil, request.WithContext(ctx), c), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(early.done)
		early.next = early.exchange.runUntilResponse()
	}()
	return early
}

// runUntilResponse runs a request up to the phase that writes its response.
func (e *exchange) runUntilResponse() phase {
	next := e.admit()
	if next == phaseAttempt && !isSafeToRepeat(e.route) {
		return next // the configuration has changed
	}
	for next != phaseRespond && next != phaseRefuse {
		next = phaseHandlers[next](e)
	}
	return next
}

// matches reports whether a request of the server is the one that was sent ahead.
func (r *earlyRequest) matches(request *http.Request) bool {
	sent := r.exchange.request
	return sent.Method == request.Method && sent.RequestURI == request.RequestURI && sent.Host == request.Host &&
		sent.Header.Get(protocol.HeaderAttemptID) == request.Header.Get(protocol.HeaderAttemptID)
}

// serve answers the request when its turn comes.
func (r *earlyRequest) serve(writer http.ResponseWriter, request *http.Request) {
	defer r.exchange.proxy.early.Add(-1)
	defer r.cancel()
	stop := context.AfterFunc(request.Context(), r.cancel)
	defer stop()
	<-r.done
	r.exchange.writer, r.exchange.request = writer, request
	r.exchange.run(r.next)
}

// abandon cancels a request whose client connection has closed.
func (r *earlyRequest) abandon() {
	defer r.exchange.proxy.early.Add(-1)
	r.exchange.proxy.abandoned.Add(1)
	r.cancel()
	<-r.done
	r.exchange.cancel()
	if r.next == phaseRespond {
		_ = r.exchange.response.Body.Close()
		r.exchange.proxy.endAttempt(r.exchange.runner, resultUnknown, r.exchange.latency)
	}
}
