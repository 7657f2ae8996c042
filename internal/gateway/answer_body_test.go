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

// TestAnswerOfUnknownLengthComesAsItIsMade: the client reads each part before the runner
// makes the next one.
func TestAnswerOfUnknownLengthComesAsItIsMade(t *testing.T) {
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
			t.Fatalf("%q came instead of %q: %v", read, part, err)
		}
		partRead <- struct{}{}
	}
	if rest, err := io.ReadAll(response.Body); err != nil || len(rest) > 0 {
		t.Errorf("%q came after the last part: %v", rest, err)
	}
}

// TestRequestThatWasNeverSentIsRefusedWithAPromise: no connection came up in the time that
// the client gave, so the request surely didn't run and may be sent again.
func TestRequestThatWasNeverSentIsRefusedWithAPromise(t *testing.T) {
	h := newHarness(t, sound)
	h.proxy.transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	code, _, _ := h.call("POST", "/write/x", "", map[string]string{protocol.HeaderTimeLeft: "60"})
	if code != http.StatusServiceUnavailable || len(h.seen()) != 0 {
		t.Errorf("%d after %d arrivals, want 503 after none", code, len(h.seen()))
	}
}

// TestListChangesWhileRequestsRun: a list that is taken over meanwhile names the runners
// anew. The race detector sees what is read without the lock.
func TestListChangesWhileRequestsRun(t *testing.T) {
	h := newHarness(t, sound, sound)
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
