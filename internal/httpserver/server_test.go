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

// longTimeouts ends Announcing at once, if the listeners may be closed, and lets Closing take up to an
// hour.
var longTimeouts = shutdown.Timeouts{RefuseAfter: time.Hour, RespondWithin: time.Hour}

// testServer is a server on the loopback interface.
type testServer struct {
	t        *testing.T
	server   *Server
	address  string
	arrived  chan string // paths of requests, as they are handled
	proceed  chan struct{}
	answered atomic.Int64
}

// newTestServer starts a server whose handler waits for proceed, except for paths under /now.
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
		_, _ = io.WriteString(w, strings.Repeat("x", size)) // the client may have disconnected
	}
	s.answered.Add(1)
}

// testConn is a client connection.
type testConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *testConn {
	s.t.Helper()
	return s.dialWith(&net.Dialer{})
}

// dialWith opens a connection with the given dialer.
func (s *testServer) dialWith(dialer *net.Dialer) *testConn {
	s.t.Helper()
	conn, err := dialer.DialContext(s.t.Context(), "tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return &testConn{s.t, conn, bufio.NewReader(conn)}
}

// send sends pipelined requests.
func (c *testConn) send(targets ...string) {
	c.t.Helper()
	for _, target := range targets {
		if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", target); err != nil {
			c.t.Fatal(err)
		}
	}
}

// wantResponse reads a response, checks its status, and reports whether it closes the
// connection.
func (c *testConn) wantResponse(status int) bool {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Errorf("no response: %v", err)
		return true
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != status {
		c.t.Errorf("response %d, %v, want %d", response.StatusCode, err, status)
	}
	return response.Close
}

// wantClosed checks that the connection closes without further data.
func (c *testConn) wantClosed() {
	c.t.Helper()
	if _, err := c.reader.ReadByte(); err == nil {
		c.t.Error("received data, want a closed connection")
	}
}

// shutDown shuts the server down; the channel receives the result.
func (s *testServer) shutDown(timeouts shutdown.Timeouts) <-chan ShutdownResult {
	handedOver, ended := make(chan struct{}), make(chan ShutdownResult, 1)
	close(handedOver)
	draining := BeginShutdown([]*Server{s.server}, timeouts)
	go func() { ended <- draining.Finish(handedOver) }()
	return ended
}

// TestShutdownAnswersOpenRequests checks that open requests are answered during shutdown,
// including a pipelined one already received; that idle connections are closed; and that no
// new ones are accepted.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	s := newTestServer(t)
	open, fresh, idle := s.dial(), s.dial(), s.dial()
	idle.send("/now")
	if idle.wantResponse(http.StatusOK) {
		t.Error("response closes its connection though the server is not shutting down")
	}
	open.send("/a", "/b")
	<-s.arrived
	<-s.arrived
	ended := s.shutDown(longTimeouts)
	fresh.wantClosed()
	idle.wantClosed()
	if conn, err := net.Dial("tcp", s.address); err == nil {
		_ = conn.Close()
		t.Error("connection accepted after idle ones were closed")
	}
	close(s.proceed)
	if open.wantResponse(http.StatusOK) {
		t.Error("response to a request started before the shutdown closes the connection")
	}
	if !open.wantResponse(http.StatusOK) {
		t.Error("response to a request started during the shutdown does not close the connection")
	}
	open.wantClosed()
	if result := <-ended; result.Open != 0 || result.Busy != 0 {
		t.Errorf("shutdown left %+v", result)
	}
}

// TestPartialRequestHeadIsNotIdle checks that a connection that has received part of a request
// is not idle. This includes the first request of a connection, for which net/http sets only
// one deadline.
func TestPartialRequestHeadIsNotIdle(t *testing.T) {
	s := newTestServer(t)
	c := s.dial()
	if _, err := io.WriteString(c.conn, "GET /now HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(time.Minute); ; runtime.Gosched() {
		if connections := s.server.connections(); len(connections) == 1 && !connections[0].isIdle() {
			break
		}
		if time.Now().After(until) {
			t.Fatal("connection still idle after part of a request was sent")
		}
	}
	s.server.closeIdle(time.Now().Add(time.Hour), 0)
	if _, err := io.WriteString(c.conn, "Host: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	c.wantResponse(http.StatusOK)
}

// TestShutdownUnderLoadLosesNoResponse checks that every handled request is answered while
// clients keep sending requests on kept-alive connections during shutdown.
func TestShutdownUnderLoadLosesNoResponse(t *testing.T) {
	const clients = 32
	for range 20 {
		s := newTestServer(t)
		got := make(chan int64, clients)
		for range clients {
			conn := s.dial()
			go func() { got <- conn.sendUntilClosed() }()
		}
		for range 10 * clients {
			<-s.arrived
		}
		go func() {
			for range s.arrived { // no longer used
			}
		}()
		<-s.shutDown(longTimeouts)
		answers := int64(0)
		for range clients {
			answers += <-got
		}
		if handled := s.answered.Load(); answers != handled {
			t.Errorf("%d requests handled, but %d responses received", handled, answers)
		}
	}
}

// sendUntilClosed sends a request after each response until the connection closes, and returns
// the number of responses.
func (c *testConn) sendUntilClosed() int64 {
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

// TestResponseSurvivesCloseWithUnreadInput checks that a client receives its complete response
// although the connection is closed behind it while more requests have arrived.
func TestResponseSurvivesCloseWithUnreadInput(t *testing.T) {
	const size = 12 << 10 // fits the server's send buffer, but not the client's receive buffer
	s := newTestServer(t)
	client := s.dialWith(&net.Dialer{Control: smallReceiveBuffer})
	s.server.shuttingDown.Store(true)
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
		t.Errorf("received %d bytes of %d: %v", n, size, err)
	}
}

// smallReceiveBuffer sets the smallest receive buffer on a client's socket.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1)
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// isClosed reports whether net/http has closed the connection.
func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// TestShutdownDeadline checks that a request still open at the shutdown deadline gets a
// response from its handler, and that a handler that never responds does not delay the
// shutdown.
func TestShutdownDeadline(t *testing.T) {
	s := newTestServer(t)
	client := s.dial()
	client.send("/a")
	<-s.arrived
	ended := s.shutDown(shutdown.Timeouts{RespondWithin: time.Millisecond, MaxAborting: time.Hour})
	client.wantResponse(http.StatusGatewayTimeout)
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
	if result := <-s.shutDown(shutdown.Timeouts{RespondWithin: time.Millisecond, MaxAborting: time.Millisecond}); result.Busy != 1 {
		t.Errorf("shutdown left %+v", result)
	}
	client.wantClosed()
}
