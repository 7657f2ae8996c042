package httpserver

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxLingerTime is the longest time for which a connection is kept open until its client
	// has received the complete response.
	maxLingerTime = 5 * time.Second
	// lingerPollInterval is how often such a connection is checked.
	lingerPollInterval = 10 * time.Millisecond
)

// expiredDeadline is a deadline in the past.
var expiredDeadline = time.Unix(1, 0)

// conn is a connection of a Server. It tracks whether net/http is waiting on it for the first
// byte of a request.
//
// Invariant: an idle connection is closed only by a read that returns no data. Data that was
// read is always passed to net/http, so a request that has arrived is answered however late in
// the shutdown it arrives.
type conn struct {
	net.Conn
	server  *Server
	account *account // what the client holds of the server's budget; nil: not counted
	// hasSlot is set if the connection counts toward Options.MaxConnections.
	hasSlot bool
	// evicted is set if reads fail from now on, also within a request.
	evicted atomic.Bool

	mu        sync.Mutex // guards the fields below
	idle      bool       // waiting for the first byte of a request
	idleSince time.Time
	// idleDeadlines counts the read deadlines that net/http has set since the connection
	// became idle. After a response, the first deadline is for the idle wait. The second is
	// for the head of the next request and shows that the request has started; it may have
	// been received before the wait.
	idleDeadlines int
	deadline      time.Time // last read deadline set by net/http
	interrupted   bool      // a read that returns no data closes the connection
	handled       int64     // number of requests whose head was received
	handling      bool      // the head of the current request was received
	inBody        bool      // the body of the current request is being received
	peerClosed    bool      // the client sends nothing more, or the connection is broken
	closed        bool
}

// newConn returns a connection that was just accepted. It returns its slot when it is closed.
func newConn(raw net.Conn, server *Server, hasSlot bool) *conn {
	c := &conn{Conn: raw, server: server, hasSlot: hasSlot}
	c.account = server.options.Budget.open(server, time.Now(), c.evict)
	c.markIdle()
	server.add(c)
	return c
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// trackState follows the state changes that net/http reports for a connection.
func trackState(raw net.Conn, state http.ConnState) {
	c := findConn(raw)
	if c == nil {
		return
	}
	switch state {
	case http.StateIdle:
		c.markIdle()
	case http.StateActive:
		c.markActive()
	}
}

// findConn returns the conn wrapped by a connection, or nil if there is none.
func findConn(raw net.Conn) *conn {
	for raw != nil {
		if c, ok := raw.(*conn); ok {
			return c
		}
		wrapper, ok := raw.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		raw = wrapper.NetConn()
	}
	return nil
}

// markIdle records that net/http is waiting for a request.
func (c *conn) markIdle() {
	now := time.Now()
	c.account.beginIdle(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince, c.idleDeadlines = true, now, 0
	c.handling, c.inBody = false, false
}

// markActive records that a request is being read or answered.
func (c *conn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestStarted()
}

// requestStarted records that a request has started, so the connection must not be closed as
// idle. The caller holds mu.
func (c *conn) requestStarted() {
	c.idle = false
	if c.interrupted {
		c.interrupted = false
		c.applyReadDeadline() // the next read reports a broken connection
	}
}

// isIdle reports whether net/http is waiting for a request.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

// interrupt ends the wait for a request if the connection has been idle for at least minIdle.
func (c *conn) interrupt(now time.Time, minIdle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.interrupted && now.Sub(c.idleSince) >= minIdle {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(expiredDeadline) // fails if already closed
	}
}

// evict ends the wait for the client, also within a request. Requests that were read completely are
// still answered. It takes no lock, since it is called by the budget, which is called under mu.
func (c *conn) evict() {
	c.evicted.Store(true)
	_ = c.Conn.SetReadDeadline(expiredDeadline) // fails if already closed
}

// applyReadDeadline sets the read deadline that is in force now. The caller holds mu.
func (c *conn) applyReadDeadline() {
	deadline := c.deadline
	switch {
	case c.interrupted:
		deadline = expiredDeadline
	case c.inBody:
		deadline = time.Now().Add(c.server.options.BodyTimeout)
	}
	_ = c.setReadDeadline(deadline) // fails if already closed
}

// setReadDeadline sets a read deadline, unless the connection is evicted.
func (c *conn) setReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if c.evicted.Load() {
		_ = c.Conn.SetReadDeadline(expiredDeadline)
	}
	return err
}

// Read implements net.Conn. Within a body, it waits for Options.BodyTimeout at most.
func (c *conn) Read(into []byte) (int, error) {
	c.beginRead()
	n, err := c.Conn.Read(into)
	if !c.endRead(n, err) && err == nil {
		// The head of a request is too costly.
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// beginRead prepares a read.
func (c *conn) beginRead() {
	c.account.beginRead(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inBody {
		c.applyReadDeadline()
	}
}

// endRead records the result of a read. It returns false if there is no room for a head that is being
// received.
func (c *conn) endRead(n int, err error) bool {
	now := time.Now()
	c.account.endRead(n, now)
	inHead := c.recordRead(n, err)
	return !inHead || c.account.charge(int64(n)*headBytesPerByte, now)
}

// recordRead records the result of a read, and reports whether a head is being received.
func (c *conn) recordRead(n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.requestStarted()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.peerClosed = true
	}
	return n > 0 && !c.handling
}

// beginHandling records that the head of a request was received, and whether its body is still to come.
// It returns the number of the request on the connection.
func (c *conn) beginHandling(header http.Header, extraBytes int64, hasBody bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled++
	c.handling = true
	if hasBody {
		c.inBody = true
		c.applyReadDeadline()
	}
	c.account.reset(headBytes(header)+extraBytes, hasBody)
	return c.handled
}

// endBody records that the body of a request was received completely. It does nothing if the request is
// not handled any more: a read may return after its handler.
func (c *conn) endBody(number int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inBody || c.handled != number {
		return
	}
	c.inBody = false
	c.applyReadDeadline()
	c.account.setEvictable(false)
}

// endHandling records that the handler has returned. What is left of the body is discarded.
func (c *conn) endHandling() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.reset(0, c.inBody)
}

// headBytes returns what the head of a request occupies in memory.
func headBytes(header http.Header) int64 {
	bytes := int64(0)
	for name, values := range header {
		for _, value := range values {
			bytes += headFieldBytes + 2*int64(len(name)+len(value))
		}
	}
	return bytes
}

// SetReadDeadline implements net.Conn. While the connection is interrupted or evicted the deadline is
// only stored.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.idle {
		c.idleDeadlines++
		if c.idleDeadlines > 1 {
			c.requestStarted()
		}
	}
	if c.interrupted {
		return nil
	}
	return c.setReadDeadline(deadline)
}

// Close implements net.Conn. Closing a socket with unread input makes the kernel discard
// response data that the client has not received yet. This can happen while the daemon is
// shutting down, since then connections are closed on which more requests may arrive, and when a
// connection is evicted. In these cases only the sending side is closed at first, and the rest once
// the client has received everything or after maxLingerTime.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed, c.idle = true, false
	if c.closeMayLoseResponse() && CloseWrite(c.Conn) == nil {
		go c.linger()
		return nil
	}
	c.server.remove(c)
	return c.Conn.Close()
}

// closeMayLoseResponse reports whether the client could lose part of its response if the
// connection were closed now. The caller holds mu.
func (c *conn) closeMayLoseResponse() bool {
	return (c.server.shuttingDown.Load() || c.evicted.Load()) && !c.server.closed.Load() && !c.peerClosed && unacknowledgedBytes(c.Conn) > 0
}

// errNoHalfClose is returned for connections whose two directions cannot be closed separately.
var errNoHalfClose = errors.New("connection does not support half-close")

// CloseWrite closes the sending side of a connection. It fails if the connection does not
// support this or is broken.
func CloseWrite(conn net.Conn) error {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errNoHalfClose
}

// CloseWrite lets net/http close a connection without a reset.
func (c *conn) CloseWrite() error { return CloseWrite(c.Conn) }

// linger closes the connection once the client has received everything.
func (c *conn) linger() {
	defer c.server.remove(c)
	ticker := time.NewTicker(lingerPollInterval)
	defer ticker.Stop()
	for until := time.Now().Add(maxLingerTime); time.Now().Before(until) && !c.server.closed.Load(); {
		if unacknowledgedBytes(c.Conn) == 0 {
			break
		}
		<-ticker.C
	}
	_ = c.Conn.Close()
}

// unacknowledgedBytes returns the number of sent bytes that the client has not acknowledged,
// or 0 if unknown.
func unacknowledgedBytes(raw net.Conn) int {
	socket, ok := raw.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	bytes := 0
	_ = control.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	}) // fails if the connection is closed, which leaves 0
	return bytes
}
