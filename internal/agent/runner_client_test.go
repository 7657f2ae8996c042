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

// TestCallIsNotRepeated: a call is sent once, whether an idle connection was closed, the connection
// was reset after the request was read, or the response is a redirect.
func TestCallIsNotRepeated(t *testing.T) {
	var served atomic.Int32
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // ends with the test
	modes := make(chan string, 64)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConnection(c, modes, &served)
		}
	}()
	client := newHTTPRunnerClient(listener.Addr().String())
	callsMade := int32(0)
	for _, mode := range []string{"answer", "reset", "answer", "idle", "answer", "cut", "answer", "redirect", "answer", "reset", "idle", "reset"} {
		modes <- mode
		r := client.Call(t.Context(), "w", pathStart, protocol.StartRequest{TaskID: "j.0.0.0", RunID: 1})
		if len(modes) > 0 {
			// The connection was closed before the request was read, and the client must not have
			// sent it again.
			if r.StatusCode != 0 {
				t.Errorf("%s: status %d although no request was read", mode, r.StatusCode)
			}
			<-modes
			continue
		}
		if callsMade++; served.Load() != callsMade {
			t.Errorf("%s: %d requests received for %d calls", mode, served.Load(), callsMade)
		}
		if ok := mode == "answer" || mode == "idle"; ok != (r.StatusCode == http.StatusOK) {
			t.Errorf("%s: status %d", mode, r.StatusCode)
		}
	}
	if callsMade < 8 {
		t.Errorf("only %d calls reached the server", callsMade)
	}
}

// serveConnection reads requests and handles each by the next mode.
func serveConnection(c net.Conn, modes chan string, served *atomic.Int32) {
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
		behavior := "unexpected"
		select {
		case behavior = <-modes:
		default:
		}
		switch behavior {
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

// TestCallPolicies: the table alone decides which calls are repeated, and when.
func TestCallPolicies(t *testing.T) {
	for path, want := range map[string]bool{pathStart: false, pathStop: false, pathKeepAlive: true} {
		if k, ok := callPolicies[path]; !ok || k.Retryable != want || k.Reason == "" {
			t.Errorf("%s: %+v", path, k)
		}
	}
}
