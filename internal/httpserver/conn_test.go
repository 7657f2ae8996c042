package httpserver

import (
	"errors"
	"net"
	"testing"
	"time"
)

// The guards of a connection, each by itself: taken out, no test of whole servers failed.

// recordedConn is a connection that keeps its read deadline, and whose reads give a byte
// after something has happened.
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

// newRecorded returns a connection of a server that waits for a request.
func newRecorded() (*conn, *recordedConn) {
	raw := &recordedConn{}
	return newConn(raw, &Server{conns: map[*conn]bool{}}), raw
}

// TestSecondDeadlineBeginsARequest: the first one after an answer is for the wait, the second
// for the head of a request that has come in before the wait.
func TestSecondDeadlineBeginsARequest(t *testing.T) {
	c, _ := newRecorded()
	for i, waits := range []bool{true, false} {
		if err := c.SetReadDeadline(time.Now()); err != nil || c.isWaiting() != waits {
			t.Errorf("after deadline %d: %v, waits %v", i+1, err, c.isWaiting())
		}
	}
}

// TestInterruptedWaitEnds: a deadline that the library sets afterwards doesn't prolong it.
func TestInterruptedWaitEnds(t *testing.T) {
	c, raw := newRecorded()
	c.interrupt(time.Now().Add(time.Hour), 0)
	if err := c.SetReadDeadline(time.Now().Add(time.Hour)); err != nil || !raw.deadline.Equal(longAgo) {
		t.Errorf("%v, the deadline is %v", err, raw.deadline)
	}
}

// TestRequestThatComesAsItsWaitEnds: what was read begins a request, and the deadline of the
// library holds again for the rest of it.
func TestRequestThatComesAsItsWaitEnds(t *testing.T) {
	c, raw := newRecorded()
	deadline := time.Now().Add(time.Hour)
	if err := c.SetReadDeadline(deadline); err != nil {
		t.Fatal(err)
	}
	raw.onRead = func() { c.interrupt(time.Now().Add(time.Hour), 0) }
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil || c.isWaiting() || !raw.deadline.Equal(deadline) {
		t.Errorf("%d, %v, waits %v, the deadline is %v", n, err, c.isWaiting(), raw.deadline)
	}
}

// TestWhoMayBeReset: an answer that isn't received whole outlives the close only where the
// daemon leaves in order and the client's side is there.
func TestWhoMayBeReset(t *testing.T) {
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
	// The client reads nothing: the kernel holds what it can, and the rest is not received.
	_ = raw.SetWriteDeadline(time.Now().Add(time.Second))
	for err == nil {
		_, err = raw.Write(make([]byte, 64<<10))
	}
	for _, c := range []struct {
		leaving, closed, peerEnded, want bool
	}{
		{leaving: true, want: true},
		{want: false},
		{leaving: true, closed: true, want: false},
		{leaving: true, peerEnded: true, want: false},
	} {
		server := &Server{conns: map[*conn]bool{}}
		server.leaving.Store(c.leaving)
		server.closed.Store(c.closed)
		tracked := newConn(raw, server)
		tracked.peerEnded = c.peerEnded
		if got := tracked.mayBeReset(); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// TestSecondCloseDoesNothing: the library closes a connection more than once.
func TestSecondCloseDoesNothing(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	c := newConn(ours, &Server{conns: map[*conn]bool{}})
	if err := c.Close(); err != nil {
		t.Errorf("the first close: %v", err)
	}
	if err := c.Close(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the second close: %v", err)
	}
}
