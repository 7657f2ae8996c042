package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"tealpond/internal/protocol"
	"tealpond/internal/registry"
)

// TestStreamedResponseIsFlushed checks that the client receives each chunk of a response of
// unknown length before the runner writes the next one.
func TestStreamedResponseIsFlushed(t *testing.T) {
	partRead := make(chan struct{})
	parts := []string{"first", "second", "third"}
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(protocol.HeaderAttemptID, r.Header.Get(protocol.HeaderAttemptID))
		for _, part := range parts {
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-partRead:
			case <-r.Context().Done():
				return
			}
		}
	})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, h.front.URL+"/read/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	for _, part := range parts {
		read := make([]byte, len(part))
		if _, err := io.ReadFull(response.Body, read); err != nil || string(read) != part {
			t.Fatalf("read %q, want %q: %v", read, part, err)
		}
		partRead <- struct{}{}
	}
	if rest, err := io.ReadAll(response.Body); err != nil || len(rest) > 0 {
		t.Errorf("read %q after the last chunk: %v", rest, err)
	}
}

// TestUnsentRequestGets503 checks that a request whose connection was not established before
// its deadline gets a 503: it is known not to have run and may be retried.
func TestUnsentRequestGets503(t *testing.T) {
	h := newHarness(t, succeeding)
	h.proxy.transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	code, _, _ := h.call("POST", "/write/x", "", map[string]string{protocol.HeaderTimeLeft: "60"})
	if code != http.StatusServiceUnavailable || len(h.receivedRequests()) != 0 {
		t.Errorf("status %d, runner received %d requests, want 503 and none", code, len(h.receivedRequests()))
	}
}

// TestRunnerListUpdateDuringRequests updates the runner list while requests run, so that the
// race detector finds runner fields read without the lock.
func TestRunnerListUpdateDuringRequests(t *testing.T) {
	h := newHarness(t, succeeding, succeeding)
	var list []registry.Runner
	for _, runner := range h.proxy.balancer.runners {
		list = append(list, runner.Runner)
	}
	ended := make(chan struct{})
	var updates sync.WaitGroup
	updates.Go(func() {
		for {
			select {
			case <-ended:
				return
			default:
				h.proxy.SetRunners(list, Position{Total: 1})
			}
		}
	})
	for range 100 {
		if code, text, _ := h.call("GET", "/read/x", "", nil); code != http.StatusOK {
			t.Errorf("%d %s", code, text)
		}
	}
	close(ended)
	updates.Wait()
}
