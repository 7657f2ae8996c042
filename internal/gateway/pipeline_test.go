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

// pipelineClient is a connection of a client to a harness's proxy.
type pipelineClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// dialPipeline opens a connection to the proxy as the daemon serves it.
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

// send sends requests behind each other. Their attempts' IDs are their targets.
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

// receive reads an answer and checks whose it is.
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
		c.t.Errorf("answer %d to %q, want %d to %q", response.StatusCode, id, status, path)
	}
}

// TestPipelinedReadsRunTogether: reads that a client sends behind each other are all at
// runners before the first is answered, and are answered in their order.
func TestPipelinedReadsRunTogether(t *testing.T) {
	arrived, proceed := make(chan string, 10), map[string]chan struct{}{"/read/a": make(chan struct{}), "/read/b": make(chan struct{}), "/read/c": make(chan struct{})}
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		<-proceed[r.URL.Path]
		sound(w, r)
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
	if n := len(h.seen()); n != 3 {
		t.Errorf("runners got %d requests, want 3", n)
	}
}

// TestPipelinedReadThatComesLater: it is sent ahead too if the one before it is under way.
func TestPipelinedReadThatComesLater(t *testing.T) {
	arrived, proceed := make(chan struct{}, 10), make(chan struct{})
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-proceed
		sound(w, r)
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

// TestPipelinedWritesWaitForTheirTurn: what may run only once is never sent ahead, and
// reads behind it are. Refusals come in their order too.
func TestPipelinedWritesWaitForTheirTurn(t *testing.T) {
	var running, most atomic.Int32
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/write/") {
			most.Store(max(most.Load(), running.Add(1)))
			defer running.Add(-1)
		}
		sound(w, r)
	})
	client := h.dialPipeline()
	client.send("POST /write/a", "GET /read/b", "POST /write/c", "GET /none/d", "POST /write/e", "GET /read/f")
	client.receive("/write/a", http.StatusOK)
	client.receive("/read/b", http.StatusOK)
	client.receive("/write/c", http.StatusOK)
	client.receive("/none/d", http.StatusNotFound)
	client.receive("/write/e", http.StatusOK)
	client.receive("/read/f", http.StatusOK)
	if n := len(h.seen()); n != 5 || most.Load() != 1 {
		t.Errorf("runners got %d requests, %d writes at once; want 5 and 1", n, most.Load())
	}
	for _, got := range h.seen() {
		if got.method == http.MethodPost && got.body != "body" {
			t.Errorf("%s came with the body %q", got.uri, got.body)
		}
	}
}

// TestPipelinedReadsOfAClientThatLeaves: once the server sees that the connection has
// ended, they end at their runners, and nothing of them is left under way.
func TestPipelinedReadsOfAClientThatLeaves(t *testing.T) {
	arrived, left, proceed := make(chan struct{}, 10), make(chan struct{}, 10), make(chan struct{})
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		if r.URL.Path == "/read/a" {
			<-proceed
			sound(w, r)
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
	_ = client.conn.(*net.TCPConn).SetLinger(0) // so that the answer to the first can't be written
	_ = client.conn.Close()
	close(proceed)
	<-left
	<-left
	for h.outstanding() > 0 {
		runtime.Gosched()
	}
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("they ended after %v, by their time and not with the client", took)
	}
}

// outstanding counts the attempts that are under way.
func (h *harness) outstanding() int {
	h.proxy.mu.Lock()
	defer h.proxy.mu.Unlock()
	sum := 0
	for _, runner := range h.proxy.balancer.runners {
		sum += runner.outstanding
	}
	return sum
}

// TestHalfClosedClientGetsNoEmptySuccess: a client that closes its sending side counts as
// gone. What it then reads must not look like an answer: the library writes an empty success
// for a handler that writes nothing.
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
		t.Errorf("it reads %q", text)
	}
}

// scannedConn is a connection whose bytes a test hands over itself.
func (h *harness) scannedConn() *clientConn {
	c := &clientConn{proxy: h.proxy, early: map[int]*earlyRequest{}}
	c.ctx, c.cancel = context.WithCancel(h.t.Context())
	h.t.Cleanup(c.cancel)
	return c
}

// readRequest is a request that may be sent ahead, as it comes in.
func readRequest(path string) []byte {
	return fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: h\r\nX-Tealpond-Attempt-Id: %s\r\nX-Tealpond-Time-Left: 3000\r\n\r\n", path, path)
}

// TestWhatIsSentAhead: not the request that the server takes next itself, no more than a
// bound, and nothing once the daemon leaves or the connection is closed.
func TestWhatIsSentAhead(t *testing.T) {
	h := newHarness(t, sound)
	c := h.scannedConn()
	for i, want := range []int{0, 1, 2} {
		if c.scan(readRequest("/read/a")); len(c.early) != want {
			t.Errorf("after %d requests %d are ahead, want %d", i+1, len(c.early), want)
		}
	}
	for range 2 * maxEarlyRequests {
		c.scan(readRequest("/read/b"))
	}
	if len(c.early) != maxEarlyRequests {
		t.Errorf("%d are ahead", len(c.early))
	}
	if c.endsWithAnswer() {
		t.Error("the connection ends though the daemon stays")
	}
	h.proxy.BeginLeaving(time.Now().Add(time.Hour))
	if c.endsWithAnswer() {
		t.Error("the connection ends though requests were sent ahead")
	}
	leaving := h.scannedConn()
	for range 3 {
		leaving.scan(readRequest("/read/c"))
	}
	if len(leaving.early) != 0 || !leaving.endsWithAnswer() {
		t.Errorf("%d are sent ahead by a daemon that leaves", len(leaving.early))
	}
}

// TestScannerThatLostItsPlace: a request that is not the one that was sent ahead in its place
// is served by itself, and nothing is sent ahead any more.
func TestScannerThatLostItsPlace(t *testing.T) {
	h := newHarness(t, sound)
	c := h.scannedConn()
	c.scan(readRequest("/read/a"))
	c.scan(readRequest("/read/b"))
	c.started = 1
	other := httptest.NewRequest(http.MethodGet, "/read/other", nil)
	if early := c.begin(other); early != nil {
		t.Error("another request gets the answer")
	}
	if c.scan(readRequest("/read/c")); len(c.early) != 0 {
		t.Error("more is sent ahead")
	}
}
