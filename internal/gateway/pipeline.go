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

// Some clients send requests before the ones ahead of them on the connection are answered.
// The HTTP server reads them one after the other, so that each would wait for all before
// it. Here a request that may run more than once is sent to a runner as soon as it has come
// in, and its answer is kept back until it is its turn.

const (
	// maxEarlyRequests is how many requests of a connection are sent ahead of their turn.
	maxEarlyRequests = 8
	// readAheadBytes is how much is read at once while a request is answered, in bytes:
	// a few requests.
	readAheadBytes = 2 << 10
)

// clientConn is a client's connection. It reads along with the HTTP server.
type clientConn struct {
	net.Conn
	proxy  *Proxy
	ctx    context.Context // ends with the connection
	cancel context.CancelFunc
	unread []byte // read, and not yet taken by the server, which reads one at a time

	mu       sync.Mutex // guards what follows
	scanner  requestScanner
	scanned  int                   // requests that the scanner has found
	started  int                   // requests that the server has begun to answer
	finished int                   // requests that were answered
	early    map[int]*earlyRequest // by their number on the connection
}

// earlyRequest is a request that was sent ahead of its turn.
type earlyRequest struct {
	exchange *exchange
	cancel   context.CancelFunc // gives it up
	next     phase              // in which its turn is to come
	done     chan struct{}      // closed when next is known
}

// clientListener makes the connections of a listener clientConns.
type clientListener struct {
	net.Listener
	proxy *Proxy
	ctx   context.Context
}

// Listener wraps the listener of clients, for a server with ConnContext. Requests that are
// sent ahead of their turn end with ctx.
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

// connKey is the key of a request's clientConn in its context.
type connKey struct{}

// ConnContext makes a connection known to the requests that come on it. It is the
// ConnContext of the server that Listener is for.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Read implements net.Conn. While the server answers a request it reads a single byte, to
// see whether the client leaves: then more is read, and kept for it.
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

// Close implements net.Conn. Requests that wait for their turn are given up.
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

// CloseWrite lets the server end a connection without a reset.
func (c *clientConn) CloseWrite() error { return httpserver.CloseWrite(c.Conn) }

// scan looks for requests in what has come in, and sends those ahead that may be.
func (c *clientConn) scan(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.scanner.scan(data) {
		number := c.scanned
		c.scanned++
		// The server itself takes the first of those that aren't answered.
		if number > c.finished && c.takesAhead() && c.proxy.mayBeEarly(request) {
			c.early[number] = c.startEarly(request)
		}
	}
}

// takesAhead reports whether one more request may be sent ahead of its turn. It is called
// with mu held.
func (c *clientConn) takesAhead() bool {
	return c.early != nil && len(c.early) < maxEarlyRequests && !c.proxy.leaves()
}

// endsWithAnswer decides whether the connection of a daemon that leaves ends with the answer
// that is about to be written. The library closes it right behind that answer: whatever has
// been sent ahead would be lost, so it ends with the answer behind which nothing was. A
// daemon that leaves sends nothing ahead any more.
func (c *clientConn) endsWithAnswer() bool {
	if !c.proxy.leaves() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.early) == 0
}

// NetConn returns the connection beneath.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// begin counts a request that the server begins to answer. If it was sent ahead already,
// that is returned.
func (c *clientConn) begin(request *http.Request) *earlyRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := c.started
	c.started++
	early := c.early[number]
	delete(c.early, number)
	if early != nil && !early.is(request) {
		// The scanner has lost its place.
		c.scanner.opaque = true
		go early.abandon()
		return nil
	}
	return early
}

// end counts a request that was answered.
func (c *clientConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished++
}

// mayBeEarly reports whether a request may be sent ahead of its turn: it may run more than
// once, so no harm is done if the connection ends before it is its turn.
func (p *Proxy) mayBeEarly(request *http.Request) bool {
	known := p.routing.Load()
	if known == nil || request.Method != http.MethodGet || request.ContentLength != 0 || !p.Ready() {
		return false
	}
	route, _ := known.routes.Find(request.Host, request.URL.Path)
	return route != nil && runsAgainWithoutHarm(route)
}

// runsAgainWithoutHarm reports whether a route's requests are short ones that only read.
func runsAgainWithoutHarm(route *clusterconfig.Route) bool {
	return route.Kind == protocol.KindReadOnly
}

// startEarly sends a request ahead of its turn.
func (c *clientConn) startEarly(request *http.Request) *earlyRequest {
	ctx, cancel := context.WithCancel(c.ctx)
	early := &earlyRequest{exchange: c.proxy.newExchange(nil, request.WithContext(ctx), c), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(early.done)
		early.next = early.exchange.runUntilItsTurn()
	}()
	return early
}

// runUntilItsTurn runs a request up to the phase that writes its answer.
func (e *exchange) runUntilItsTurn() phase {
	next := e.admit()
	if next == phaseAttempt && !runsAgainWithoutHarm(e.route) {
		return next // another configuration came into force
	}
	for next != phaseAnswer && next != phaseRefuse {
		next = phaseHandlers[next](e)
	}
	return next
}

// is reports whether a request of the server is the one that was sent ahead.
func (r *earlyRequest) is(request *http.Request) bool {
	sent := r.exchange.request
	return sent.Method == request.Method && sent.RequestURI == request.RequestURI && sent.Host == request.Host &&
		sent.Header.Get(protocol.HeaderAttemptID) == request.Header.Get(protocol.HeaderAttemptID)
}

// serve answers the request when it is its turn.
func (r *earlyRequest) serve(writer http.ResponseWriter, request *http.Request) {
	defer r.cancel()
	stop := context.AfterFunc(request.Context(), r.cancel)
	defer stop()
	<-r.done
	r.exchange.writer, r.exchange.request = writer, request
	r.exchange.run(r.next)
}

// abandon gives up a request of which the client's connection has ended.
func (r *earlyRequest) abandon() {
	r.exchange.proxy.abandoned.Add(1)
	r.cancel()
	<-r.done
	r.exchange.cancel()
	if r.next == phaseAnswer {
		_ = r.exchange.response.Body.Close()
		r.exchange.proxy.end(r.exchange.runner, resultUnknown, r.exchange.took)
	}
}
