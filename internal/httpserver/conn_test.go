package httpserver

import (
	"errors"
	"net"
	"testing"
	"time"
)

// These tests cover the checks in conn one by one. The tests of whole servers pass without them.

// recordedConn is a connection that records its read deadline. Its reads call onRead and
// return one byte.
type recordedConn struct {
	net.Conn
	deadline time.Time
	onRead   func()
}

func (r *recordedConn) SetReadDeadline(deadline time.Time) error {
	r.deadline = deadline
	return nil
}

func (r *recordedConn) Read(into []byte) (int, error) {
	if r.onRead != nil {
		r.onRead()
	}
	into[0] = 'G'
	return 1, nil
}

// newRecorded returns an idle connection of a server.
func newRecorded() (*conn, *recordedConn) {
	raw := &recordedConn{}
	return newConn(raw, &Server{conns: map[*conn]bool{}}, false), raw
}

// TestSecondReadDeadlineMarksRequestStart checks that the first deadline after a response is
// for the idle wait, and the second for the head of a request that was received before the
// wait.
func TestSecondReadDeadlineMarksRequestStart(t *testing.T) {
	c, _ := newRecorded()
	for i, waits := range []bool{true, false} {
		if err := c.SetReadDeadline(time.Now()); err != nil || c.isIdle() != waits {
			t.Errorf("after deadline %d: %v, idle %v", i+1, err, c.isIdle())
		}
	}
}

// TestInterruptedIdleConnKeepsExpiredDeadline checks that a deadline set by net/http after an
// interrupt does not prolong the wait.
func TestInterruptedIdleConnKeepsExpiredDeadline(t *testing.T) {
	c, raw := newRecorded()
	c.interrupt(time.Now().Add(time.Hour), 0)
	if err := c.SetReadDeadline(time.Now().Add(time.Hour)); err != nil || !raw.deadline.Equal(expiredDeadline) {
		t.Errorf("error %v, deadline %v", err, raw.deadline)
	}
}

// TestRequestArrivingDuringInterrupt checks that data read during an interrupt starts a
// request, and that the deadline of net/http applies to the rest of it.
func TestRequestArrivingDuringInterrupt(t *testing.T) {
	c, raw := newRecorded()
	deadline := time.Now().Add(time.Hour)
	if err := c.SetReadDeadline(deadline); err != nil {
		t.Fatal(err)
	}
	raw.onRead = func() { c.interrupt(time.Now().Add(time.Hour), 0) }
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil || c.isIdle() || !raw.deadline.Equal(deadline) {
		t.Errorf("read %d bytes, error %v, idle %v, deadline %v", n, err, c.isIdle(), raw.deadline)
	}
}

// TestCloseMayLoseResponse checks that an incompletely received response delays the close only
// if the daemon is shutting down gracefully and the client is still connected.
func TestCloseMayLoseResponse(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	client, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	raw, err := socket.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	// The client reads nothing, so the socket buffers fill up and some data stays unacknowledged.
	_ = raw.SetWriteDeadline(time.Now().Add(time.Second))
	for err == nil {
		_, err = raw.Write(make([]byte, 64<<10))
	}
	for _, c := range []struct {
		shuttingDown, closed, peerClosed, want bool
	}{
		{shuttingDown: true, want: true},
		{want: false},
		{shuttingDown: true, closed: true, want: false},
		{shuttingDown: true, peerClosed: true, want: false},
	} {
		server := &Server{conns: map[*conn]bool{}}
		server.shuttingDown.Store(c.shuttingDown)
		server.closed.Store(c.closed)
		tracked := newConn(raw, server, false)
		tracked.peerClosed = c.peerClosed
		if got := tracked.closeMayLoseResponse(); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}

// TestSecondCloseReturnsErrClosed checks repeated closes, since net/http closes a connection
// more than once.
func TestSecondCloseReturnsErrClosed(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	c := newConn(ours, &Server{conns: map[*conn]bool{}}, false)
	if err := c.Close(); err != nil {
		t.Errorf("first close: %v", err)
	}
	if err := c.Close(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("second close: %v, want net.ErrClosed", err)
	}
}
