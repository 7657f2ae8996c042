package httpserver

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startBodyServer starts a server whose handler reads the body. It answers 200 with the length of the
// body, or 503 with the error of reading it.
func startBodyServer(t *testing.T, options Options) string {
	t.Helper()
	options.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(t.Context(), socket, options)
	go server.Serve()
	t.Cleanup(server.Close)
	return socket.Addr().String()
}

// sendUnfinished opens a connection and sends a body but for its last byte.
func sendUnfinished(t *testing.T, address string, bytes int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bytes, strings.Repeat("x", bytes-1))
	return conn
}

// answerOn returns what the server sends on a connection until it closes it.
func answerOn(t *testing.T, conn net.Conn) string {
	t.Helper()
	text, err := io.ReadAll(conn)
	if err != nil && len(text) == 0 {
		t.Fatal(err)
	}
	return string(text)
}

// TestBodyTimeout checks that a body that stops ends with ErrBodyTimeout, and that its client gets the
// answer.
func TestBodyTimeout(t *testing.T) {
	address := startBodyServer(t, Options{BodyTimeout: time.Millisecond})
	answer := answerOn(t, sendUnfinished(t, address, 100))
	if !strings.HasPrefix(answer, "HTTP/1.1 503") || !strings.Contains(answer, ErrBodyTimeout.Error()) {
		t.Errorf("got %q", answer)
	}
}

// TestHandlerTimeIsNotBodyTime checks that the time limit of a body ends with the body: a handler that
// takes longer still answers, and the connection serves the next request.
func TestHandlerTimeIsNotBodyTime(t *testing.T) {
	const bodyTimeout = 50 * time.Millisecond
	release := make(chan struct{})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(t.Context(), socket, Options{BodyTimeout: bodyTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})})
	go server.Serve()
	t.Cleanup(server.Close)
	time.AfterFunc(4*bodyTimeout, func() { close(release) })
	for range 2 {
		response, err := http.Post("http://"+socket.Addr().String(), "", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		if _ = response.Body.Close(); response.StatusCode != http.StatusOK {
			t.Errorf("status %d", response.StatusCode)
		}
	}
}

// TestEvictedBody checks that beyond the budget an unfinished body ends with ErrBodyEvicted, that its
// client gets the answer, and that the next client is served.
func TestEvictedBody(t *testing.T) {
	address := startBodyServer(t, Options{Budget: newBudget(8 * connectionBytes)})
	first := sendUnfinished(t, address, 2*connectionBytes)
	for range 8 {
		sendUnfinished(t, address, connectionBytes)
	}
	if answer := answerOn(t, first); !strings.HasPrefix(answer, "HTTP/1.1 503") || !strings.Contains(answer, ErrBodyEvicted.Error()) {
		t.Errorf("got %q", answer)
	}
	response, err := http.Post("http://"+address, "", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if text, _ := io.ReadAll(response.Body); string(text) != "4" {
		t.Errorf("the next client got status %d, %q", response.StatusCode, text)
	}
}

// TestReserve checks that a handler can reserve what the budget has left, and that nothing is counted
// without a budget.
func TestReserve(t *testing.T) {
	if !Reserve(t.Context(), 1<<60) {
		t.Error("refused outside of a request")
	}
	got := make(chan []bool, 1)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(t.Context(), socket, Options{Budget: newBudget(8 * connectionBytes), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got <- []bool{Reserve(r.Context(), connectionBytes), Reserve(r.Context(), 1<<40)}
	})})
	go server.Serve()
	t.Cleanup(server.Close)
	if _, err := http.Get("http://" + socket.Addr().String()); err != nil && !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	if reserved := <-got; !reserved[0] || reserved[1] {
		t.Errorf("reserved %v, want true, false", reserved)
	}
}
