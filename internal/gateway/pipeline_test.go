package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// pipelineClient is a client connection to a harness's proxy.
type pipelineClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// dialPipeline opens a connection to the proxy, served as the daemon serves it.
func (h *harness) dialPipeline() *pipelineClient {
	h.t.Helper()
	server := httptest.NewUnstartedServer(h.proxy)
	server.Listener = h.proxy.Listener(h.t.Context(), server.Listener)
	server.Config.ConnContext = ConnContext
	server.Start()
	h.t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close() })
	return &pipelineClient{h.t, conn, bufio.NewReader(conn)}
}

// send sends pipelined requests whose attempt IDs are their paths.
func (c *pipelineClient) send(targets ...string) {
	c.t.Helper()
	text := strings.Builder{}
	for _, target := range targets {
		method, path, _ := strings.Cut(target, " ")
		body := ""
		if method == http.MethodPost {
			body = "body"
		}
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: h\r\nX-Tealpond-Attempt-Id: %s\r\nX-Tealpond-Time-Left: 3000\r\nContent-Length: %d\r\n\r\n%s", method, path, path, len(body), body)
	}
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		c.t.Fatal(err)
	}
}

// receive reads a response and checks which request it belongs to.
func (c *pipelineClient) receive(path string, status int) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.t.Fatal(err)
	}
	if id := response.Header.Get(protocol.HeaderAttemptID); response.StatusCode != status || status == http.StatusOK && id != path {
		c.t.Errorf("response %d to %q, want %d to %q", response.StatusCode, id, status, path)
	}
}

// TestPipelinedReadsRunConcurrently checks that pipelined reads all reach runners before the
// first is answered, and are answered in order.
func TestPipelinedReadsRunConcurrently(t *testing.T) {
	arrived, proceed := make(chan string, 10), map[string]chan struct{}{"/read/a": make(chan struct{}), "/read/b": make(chan struct{}), "/read/c": make(chan struct{})}
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		<-proceed[r.URL.Path]
		succeeding(w, r)
	})
	client := h.dialPipeline()
	client.send("GET /read/a", "GET /read/b", "GET /read/c")
	for range 3 {
		<-arrived
	}
	for _, path := range []string{"/read/c", "/read/b", "/read/a"} {
		close(proceed[path])
	}
	for _, path := range []string{"/read/a", "/read/b", "/read/c"} {
		client.receive(path, http.StatusOK)
	}
	if n := len(h.receivedRequests()); n != 3 {
		t.Errorf("runners received %d requests, want 3", n)
	}
}

// TestPipelinedReadArrivingLater checks that a read is also sent ahead if it arrives while the
// previous one is being handled.
func TestPipelinedReadArrivingLater(t *testing.T) {
	arrived, proceed := make(chan struct{}, 10), make(chan struct{})
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-proceed
		succeeding(w, r)
	})
	client := h.dialPipeline()
	client.send("GET /read/a")
	<-arrived
	client.send("GET /read/b")
	<-arrived
	close(proceed)
	client.receive("/read/a", http.StatusOK)
	client.receive("/read/b", http.StatusOK)
	client.send("GET /read/c")
	client.receive("/read/c", http.StatusOK)
}

// TestPipelinedWritesRunInOrder checks that requests that may run only once are never sent
// ahead, while reads behind them are, and that refusals also arrive in order.
func TestPipelinedWritesRunInOrder(t *testing.T) {
	var running, most atomic.Int32
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/write/") {
			most.Store(max(most.Load(), running.Add(1)))
			defer running.Add(-1)
		}
		succeeding(w, r)
	})
	client := h.dialPipeline()
	client.send("POST /write/a", "GET /read/b", "POST /write/c", "GET /none/d", "POST /write/e", "GET /read/f")
	client.receive("/write/a", http.StatusOK)
	client.receive("/read/b", http.StatusOK)
	client.receive("/write/c", http.StatusOK)
	client.receive("/none/d", http.StatusNotFound)
	client.receive("/write/e", http.StatusOK)
	client.receive("/read/f", http.StatusOK)
	if n := len(h.receivedRequests()); n != 5 || most.Load() != 1 {
		t.Errorf("runners received %d requests, %d writes concurrently; want 5 and 1", n, most.Load())
	}
	for _, got := range h.receivedRequests() {
		if got.method == http.MethodPost && got.body != "body" {
			t.Errorf("%s arrived with body %q", got.uri, got.body)
		}
	}
}

// TestPipelinedReadsCanceledOnDisconnect checks that early requests are canceled at their
// runners once the server sees that the connection has closed, and that no attempt remains
// outstanding.
func TestPipelinedReadsCanceledOnDisconnect(t *testing.T) {
	arrived, left, proceed := make(chan struct{}, 10), make(chan struct{}, 10), make(chan struct{})
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		if r.URL.Path == "/read/a" {
			<-proceed
			succeeding(w, r)
			return
		}
		<-r.Context().Done()
		left <- struct{}{}
	})
	client := h.dialPipeline()
	client.send("GET /read/a", "GET /read/b", "GET /read/c")
	for range 3 {
		<-arrived
	}
	begin := time.Now()
	_ = client.conn.(*net.TCPConn).SetLinger(0) // so that the first response cannot be written
	_ = client.conn.Close()
	close(proceed)
	<-left
	<-left
	for h.outstanding() > 0 {
		runtime.Gosched()
	}
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("requests ended after %v, want cancellation on disconnect before their deadline", took)
	}
}

// outstanding returns the number of outstanding attempts.
func (h *harness) outstanding() int {
	h.proxy.mu.Lock()
	defer h.proxy.mu.Unlock()
	sum := 0
	for _, runner := range h.proxy.balancer.runners {
		sum += runner.outstanding
	}
	return sum
}

// TestHalfClosedClientGetsNoEmptySuccess checks that a client that closes its sending side,
// which counts as disconnected, reads no response: net/http writes an empty 200 for a handler
// that writes nothing.
func TestHalfClosedClientGetsNoEmptySuccess(t *testing.T) {
	arrived := make(chan struct{}, 1)
	h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	client := h.dialPipeline()
	client.send("GET /read/a")
	<-arrived
	if err := client.conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if text, _ := io.ReadAll(client.reader); len(text) > 0 {
		t.Errorf("client read %q, want nothing", text)
	}
}

// scannedConn returns a connection to which a test passes received bytes directly.
func (h *harness) scannedConn() *clientConn {
	c := &clientConn{proxy: h.proxy, early: map[int]*earlyRequest{}}
	c.ctx, c.cancel = context.WithCancel(h.t.Context())
	h.t.Cleanup(c.cancel)
	return c
}

// readRequest returns the bytes of a request that may be sent ahead.
func readRequest(path string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: h\r\nX-Tealpond-Attempt-Id: %s\r\nX-Tealpond-Time-Left: 3000\r\n\r\n", path, path)
}

// TestEarlyRequestLimits checks that the request the server handles next is not sent ahead,
// that the number of early requests is limited, and that none are sent once the daemon is
// shutting down.
func TestEarlyRequestLimits(t *testing.T) {
	h := newHarness(t, succeeding)
	c := h.scannedConn()
	for i, want := range []int{0, 1, 2} {
		if c.scan(readRequest("/read/a")); len(c.early) != want {
			t.Errorf("after %d requests %d were sent ahead, want %d", i+1, len(c.early), want)
		}
	}
	for range 2 * maxEarlyRequests {
		c.scan(readRequest("/read/b"))
	}
	if len(c.early) != maxEarlyRequests {
		t.Errorf("%d requests were sent ahead", len(c.early))
	}
	if c.closesAfterResponse() {
		t.Error("connection closes though the daemon is not shutting down")
	}
	h.proxy.BeginShutdown(time.Now().Add(time.Hour))
	if c.closesAfterResponse() {
		t.Error("connection closes though requests were sent ahead")
	}
	leaving := h.scannedConn()
	for range 3 {
		leaving.scan(readRequest("/read/c"))
	}
	if len(leaving.early) != 0 || !leaving.closesAfterResponse() {
		t.Errorf("%d requests sent ahead by a daemon that is shutting down, want none and a close", len(leaving.early))
	}
}

// TestScannerOutOfSync checks that a request that differs from the one sent ahead in its
// position is served on its own, and that nothing is sent ahead afterwards.
func TestScannerOutOfSync(t *testing.T) {
	h := newHarness(t, succeeding)
	c := h.scannedConn()
	c.scan(readRequest("/read/a"))
	c.scan(readRequest("/read/b"))
	c.started = 1
	other := httptest.NewRequest(http.MethodGet, "/read/other", nil)
	if early := c.begin(other); early != nil {
		t.Error("a different request gets the early response")
	}
	if c.scan(readRequest("/read/c")); len(c.early) != 0 {
		t.Error("requests are still sent ahead")
	}
}
