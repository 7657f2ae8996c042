package httpserver

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxLingerTime is the longest time for which a connection is kept whose client has not received
	// all of its response.
	maxLingerTime = 5 * time.Second
	// lingerPollInterval is the time between two looks at such a connection.
	lingerPollInterval = 10 * time.Millisecond
)

// longAgo is a deadline that is over.
var longAgo = time.Unix(1, 0)

// conn is a connection of a Server. It knows whether the library waits there for the first
// byte of a request.
//
// Invariant: a connection is closed for being idle only by a read that finds nothing. What
// was read is always handed to the library: a request that has come in is answered, however
// close to the end it comes.
type conn struct {
	net.Conn
	server *Server

	mu           sync.Mutex // guards what follows
	waiting      bool       // for the first byte of a request
	waitingSince time.Time
	// deadlines counts those of reads that the library has set since it waits. After an
	// answer the first is for the wait, and the second, for the head of the next request,
	// says that it has begun: it may have come in before the wait.
	deadlines   int
	deadline    time.Time // the last one that the library has set
	interrupted bool      // a read that finds nothing ends the connection
	peerEnded   bool      // nothing more comes, or all is broken
	closed      bool
}

// newConn makes a connection that was just accepted.
func newConn(raw net.Conn, server *Server) *conn {
	c := &conn{Conn: raw, server: server}
	c.wait()
	server.add(c)
	return c
}

// NetConn returns the connection beneath.
func (c *conn) NetConn() net.Conn { return c.Conn }

// noteState follows what the library does on a connection.
func noteState(raw net.Conn, state http.ConnState) {
	c := trackedBy(raw)
	if c == nil {
		return
	}
	switch state {
	case http.StateIdle:
		c.wait()
	case http.StateActive:
		c.work()
	}
}

// trackedBy finds the conn beneath a connection; nil if there is none.
func trackedBy(raw net.Conn) *conn {
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

// wait records that the library waits for a request from now on.
func (c *conn) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.waitingSince, c.deadlines = true, time.Now(), 0
}

// work records that a request is being read or answered.
func (c *conn) work() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun()
}

// begun records that a request has begun: a wait is not to be ended any more. It is
// called with mu held.
func (c *conn) begun() {
	c.waiting = false
	if c.interrupted {
		c.interrupted = false
		_ = c.Conn.SetReadDeadline(c.deadline) // the next read tells of a broken connection
	}
}

// isWaiting reports whether the library waits for a request.
func (c *conn) isWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// interrupt ends a wait that has lasted for a time.
func (c *conn) interrupt(now time.Time, least time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && !c.interrupted && now.Sub(c.waitingSince) >= least {
		c.interrupted = true
		_ = c.Conn.SetReadDeadline(longAgo) // fails if it is closed already
	}
}

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.begun()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.peerEnded = true
	}
	return n, err
}

// SetReadDeadline implements net.Conn. While a wait is to end, the library's deadline is
// kept for later.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.waiting {
		c.deadlines++
		if c.deadlines > 1 {
			c.begun()
		}
	}
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn. A close while the client has sent more than was read makes the
// kernel drop what the client hasn't received yet. Only a daemon that leaves ends connections
// on which more may come: there only this side is closed at first, and the rest once the
// client's side has all, or after a time.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed, c.waiting = true, false
	if c.mayBeReset() && CloseWrite(c.Conn) == nil {
		go c.linger()
		return nil
	}
	c.server.remove(c)
	return c.Conn.Close()
}

// mayBeReset reports whether the client might lose a part of its answer if the connection were
// closed now. It is called with mu held.
func (c *conn) mayBeReset() bool {
	return c.server.leaving.Load() && !c.server.closed.Load() && !c.peerEnded && unreceived(c.Conn) > 0
}

// errNoHalfClose is the error of a connection both of whose sides close together.
var errNoHalfClose = errors.New("the connection has no half close")

// CloseWrite closes this side of a connection only. The error tells that it has no half
// close, or is broken.
func CloseWrite(conn net.Conn) error {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errNoHalfClose
}

// CloseWrite lets the library end a connection without a reset.
func (c *conn) CloseWrite() error { return CloseWrite(c.Conn) }

// linger closes the connection once the client's side has received all.
func (c *conn) linger() {
	defer c.server.remove(c)
	ticker := time.NewTicker(lingerPollInterval)
	defer ticker.Stop()
	for until := time.Now().Add(maxLingerTime); time.Now().Before(until) && !c.server.closed.Load(); {
		if unreceived(c.Conn) == 0 {
			break
		}
		<-ticker.C
	}
	_ = c.Conn.Close()
}

// unreceived is how many bytes of what was sent the client's side has not acknowledged; 0
// where that can't be told.
func unreceived(raw net.Conn) int {
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
	}) // a closed connection has none
	return bytes
}
