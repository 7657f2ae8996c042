package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tealpond/internal/shutdown"
)

// longTimes leave all phases but the first as long as they need.
var longTimes = shutdown.Times{Refuse: time.Hour, Answers: time.Hour}

// testServer is a server on the loopback interface.
type testServer struct {
	t        *testing.T
	server   *Server
	address  string
	arrived  chan string // paths of requests, as they are handled
	proceed  chan struct{}
	answered atomic.Int64
}

// newTestServer starts a server whose handler waits for proceed, but under /now.
func newTestServer(t *testing.T) *testServer {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, address: socket.Addr().String(), arrived: make(chan string, 100), proceed: make(chan struct{})}
	s.server = New(t.Context(), socket, Options{Handler: s, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	go s.server.Serve()
	t.Cleanup(s.server.Close)
	return s
}

// ServeHTTP implements http.Handler.
func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.arrived <- r.URL.Path
	if !strings.HasPrefix(r.URL.Path, "/now") {
		select {
		case <-s.proceed:
		case <-r.Context().Done():
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
	}
	size := 0
	if _, err := fmt.Sscan(r.URL.Query().Get("size"), &size); err == nil {
		_, _ = io.WriteString(w, strings.Repeat("x", size)) // the client may have gone
	}
	s.answered.Add(1)
}

// testConn is a client's connection.
type testConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// dial opens a connection.
func (s *testServer) dial() *testConn {
	s.t.Helper()
	return s.dialWith(&net.Dialer{})
}

// dialWith opens a connection by a dialer.
func (s *testServer) dialWith(dialer *net.Dialer) *testConn {
	s.t.Helper()
	conn, err := dialer.DialContext(s.t.Context(), "tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return &testConn{s.t, conn, bufio.NewReader(conn)}
}

// send sends requests behind each other.
func (c *testConn) send(targets ...string) {
	c.t.Helper()
	for _, target := range targets {
		if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", target); err != nil {
			c.t.Fatal(err)
		}
	}
}

// wantAnswer reads an answer of a status and reports whether it is the last.
func (c *testConn) wantAnswer(status int) bool {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Errorf("no answer: %v", err)
		return true
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != status {
		c.t.Errorf("answer %d, %v, want %d", response.StatusCode, err, status)
	}
	return response.Close
}

// wantEnd wants the connection to end without anything more.
func (c *testConn) wantEnd() {
	c.t.Helper()
	if _, err := c.reader.ReadByte(); err == nil {
		c.t.Error("more comes than was to come")
	}
}

// leave ends the server; the channel gets what remains.
func (s *testServer) leave(times shutdown.Times) <-chan Remains {
	handedOver, ended := make(chan struct{}), make(chan Remains, 1)
	close(handedOver)
	leaving := BeginLeaving([]*Server{s.server}, times)
	go func() { ended <- leaving.Finish(handedOver) }()
	return ended
}

// TestOpenRequestsAreAnsweredAtTheEnd: also the next one of the connection, if it has come
// in already; waiting connections are closed, and no more are accepted.
func TestOpenRequestsAreAnsweredAtTheEnd(t *testing.T) {
	s := newTestServer(t)
	open, fresh, idle := s.dial(), s.dial(), s.dial()
	idle.send("/now")
	if idle.wantAnswer(http.StatusOK) {
		t.Error("an answer ends its connection though the daemon stays")
	}
	open.send("/a", "/b")
	<-s.arrived
	<-s.arrived
	ended := s.leave(longTimes)
	fresh.wantEnd()
	idle.wantEnd()
	if conn, err := net.Dial("tcp", s.address); err == nil {
		_ = conn.Close()
		t.Error("a connection is accepted after waiting ones were closed")
	}
	close(s.proceed)
	if open.wantAnswer(http.StatusOK) {
		t.Error("the answer to a request from before ends the connection")
	}
	if !open.wantAnswer(http.StatusOK) {
		t.Error("the answer to a request that was begun later does not end the connection")
	}
	open.wantEnd()
	if remains := <-ended; remains.Open != 0 || remains.Busy != 0 {
		t.Errorf("%+v remains", remains)
	}
}

// TestHeadInPartsIsAwaited: a request of which a part has come in is not a wait, also the
// first one of its connection, for which the library sets one deadline only.
func TestHeadInPartsIsAwaited(t *testing.T) {
	s := newTestServer(t)
	c := s.dial()
	if _, err := io.WriteString(c.conn, "GET /now HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(time.Minute); ; runtime.Gosched() {
		if connections := s.server.connections(); len(connections) == 1 && !connections[0].isWaiting() {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the request still counts as not begun")
		}
	}
	s.server.closeWaiting(time.Now().Add(time.Hour), 0)
	if _, err := io.WriteString(c.conn, "Host: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	c.wantAnswer(http.StatusOK)
}

// TestRequestsOfAMomentAreAnsweredOrUnread: clients send on kept connections without a pause
// while the daemon ends. What was handled is answered, each time.
func TestRequestsOfAMomentAreAnsweredOrUnread(t *testing.T) {
	const clients = 32
	for range 20 {
		s := newTestServer(t)
		got := make(chan int64, clients)
		for range clients {
			conn := s.dial()
			go func() { got <- conn.sendUntilItEnds() }()
		}
		for range 10 * clients {
			<-s.arrived
		}
		go func() {
			for range s.arrived { // nobody looks at them any more
			}
		}()
		<-s.leave(longTimes)
		answers := int64(0)
		for range clients {
			answers += <-got
		}
		if handled := s.answered.Load(); answers != handled {
			t.Errorf("%d requests were handled and %d answered", handled, answers)
		}
	}
}

// sendUntilItEnds sends a request after each answer until the connection ends, and gives how
// many answers came.
func (c *testConn) sendUntilItEnds() int64 {
	for answers := int64(0); ; answers++ {
		if _, err := io.WriteString(c.conn, "GET /now HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return answers
		}
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return answers
		}
		if response.Close {
			return answers + 1
		}
	}
}

// TestAnswersOutliveWhatComesBehindThem: an answer that its client has not received yet is
// whole, though the connection is closed behind it while more has come in.
func TestAnswersOutliveWhatComesBehindThem(t *testing.T) {
	const size = 12 << 10 // the server's side of the kernel holds it, and the client's doesn't
	s := newTestServer(t)
	client := s.dialWith(&net.Dialer{Control: smallReceiveBuffer})
	s.server.leaving.Store(true)
	client.send(fmt.Sprintf("/now?size=%d", size))
	<-s.arrived
	client.send(slices.Repeat([]string{"/now/unread"}, 1000)...)
	served := s.server.connections()[0]
	for !served.isClosed() {
		runtime.Gosched()
	}
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, response.Body); err != nil || n != size {
		t.Errorf("%d bytes of %d came: %v", n, size, err)
	}
}

// smallReceiveBuffer has the kernel hold little of what a client hasn't read.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1)
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// isClosed reports whether the library has closed the connection.
func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// TestLastAnswersAtTheLatestMoment: a request that is open then gets an answer from its
// handler, and the end is not held up by a handler that gives none.
func TestLastAnswersAtTheLatestMoment(t *testing.T) {
	s := newTestServer(t)
	client := s.dial()
	client.send("/a")
	<-s.arrived
	ended := s.leave(shutdown.Times{Answers: time.Millisecond, Cut: time.Hour})
	client.wantAnswer(http.StatusGatewayTimeout)
	<-ended

	s = newTestServer(t)
	s.server.http.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		s.arrived <- ""
		<-s.proceed
	})
	defer close(s.proceed)
	client = s.dial()
	client.send("/a")
	<-s.arrived
	if remains := <-s.leave(shutdown.Times{Answers: time.Millisecond, Cut: time.Millisecond}); remains.Busy != 1 {
		t.Errorf("%+v remains", remains)
	}
	client.wantEnd()
}
