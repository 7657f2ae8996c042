package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"tealpond/internal/protocol"
)

// TestCallIsMadeOnce: neither a connection that was closed while idle, nor a
// reset once the request was read, nor a redirect has a call made twice.
func TestCallIsMadeOnce(t *testing.T) {
	var served atomic.Int32
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // it ends with the test
	mode := make(chan string, 64)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveByMode(c, mode, &served)
		}
	}()
	client := newHTTPRunnerClient(listener.Addr().String())
	made := int32(0)
	for _, m := range []string{"answer", "reset", "answer", "idle", "answer", "cut", "answer", "redirect", "answer", "reset", "idle", "reset"} {
		mode <- m
		r := client.Call(t.Context(), "w", pathStart, protocol.StartRequest{TaskID: "j.0.0.0", RunID: 1})
		if len(mode) > 0 {
			// The connection was closed before the request was read; the
			// server read nothing, and the client must not have called again.
			if r.StatusCode != 0 {
				t.Errorf("%s: answered %d without a call", m, r.StatusCode)
			}
			<-mode
			continue
		}
		if made++; served.Load() != made {
			t.Errorf("%s: %d requests came for %d calls", m, served.Load(), made)
		}
		if ok := m == "answer" || m == "idle"; ok != (r.StatusCode == http.StatusOK) {
			t.Errorf("%s: status %d", m, r.StatusCode)
		}
	}
	if made < 8 {
		t.Errorf("only %d calls reached the server", made)
	}
}

// serveByMode reads requests; each is dealt with as the next mode says.
func serveByMode(c net.Conn, mode chan string, served *atomic.Int32) {
	defer func() { _ = c.Close() }() // the client sees how it ended
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		served.Add(1)
		const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		how := "unexpected"
		select {
		case how = <-mode:
		default:
		}
		switch how {
		case "unexpected":
			return
		case "answer":
			_, _ = io.WriteString(c, ok)
		case "idle":
			_, _ = io.WriteString(c, ok)
			return
		case "cut":
			_, _ = io.WriteString(c, ok[:20])
			return
		case "redirect":
			_, _ = io.WriteString(c, "HTTP/1.1 303 See Other\r\nLocation: /-/run-start\r\nContent-Length: 0\r\n\r\n")
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

// TestEachCallHasAPolicy: which calls are made again, and when, is decided by
// the table alone.
func TestEachCallHasAPolicy(t *testing.T) {
	for path, want := range map[string]bool{pathStart: false, pathStop: false, pathKeepAlive: true} {
		if k, ok := callPolicies[path]; !ok || k.Retryable != want || k.Reason == "" {
			t.Errorf("%s: %+v", path, k)
		}
	}
}
