package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// TestRequestAndResponsePassUnchanged checks that method, target, body and headers of the
// request, and status, headers and body of the response are forwarded, and hop-by-hop headers
// are not.
func TestRequestAndResponsePassUnchanged(t *testing.T) {
	h := newHarness(t, succeeding)
	code, body, header := h.call("POST", "/write/a%2fb?q=1&r=%20", "text", map[string]string{
		"X-Other": "kept", "Connection": "X-Mine", "X-Mine": "dropped", "Keep-Alive": "3", "X-Tealpond-Target-Runner": "i-other", "User-Agent": "mine"})
	if code != http.StatusOK || body != "answer" || header.Get("X-Seal") != "seal" || header.Get("Content-Encoding") != "" {
		t.Errorf("%d %q %v", code, body, header)
	}
	got := h.receivedRequests()
	if len(got) != 1 {
		t.Fatalf("runners received %d requests, want 1", len(got))
	}
	a := got[0]
	if a.method != "POST" || a.uri != "/write/a%2fb?q=1&r=%20" || a.host != "h" || a.body != "text" {
		t.Errorf("runner received %+v", a)
	}
	for name, want := range map[string]string{"X-Other": "kept", "X-Mine": "", "Keep-Alive": "", "User-Agent": "mine", "Accept-Encoding": "gzip",
		protocol.HeaderTargetRunner: "i-0", protocol.HeaderAttemptID: "attempt-1"} {
		if got := a.header.Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	if left := a.header.Get(protocol.HeaderTimeLeft); left == "3000" || left == "" || len(left) != 4 {
		t.Errorf("runner got a time limit of %s ms, want 4 digits, not the client's 3000 (route timeout 2000)", left)
	}
}

// TestRetries checks which failures are retried for each kind of route, and the response to
// the client.
func TestRetries(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		runners  []runnerBehavior
		code     int
		arrivals int
	}{
		{"rejecting runner, write", "/write/x", []runnerBehavior{rejecting, rejecting, rejecting, rejecting}, http.StatusServiceUnavailable, 3},
		{"rejecting runner, upload", "/upload/x", []runnerBehavior{rejecting, rejecting, rejecting}, http.StatusServiceUnavailable, 2},
		{"aborting runner, write", "/write/x", []runnerBehavior{aborting, aborting}, http.StatusBadGateway, 1},
		{"aborting runner, read", "/read/x", []runnerBehavior{aborting, aborting}, http.StatusBadGateway, 2},
		{"502 without not-run header", "/write/x", []runnerBehavior{failing(502), failing(502)}, http.StatusBadGateway, 1},
		{"503 without not-run header", "/write/x", []runnerBehavior{failing(503), failing(503)}, http.StatusServiceUnavailable, 1},
		{"504 without not-run header", "/write/x", []runnerBehavior{failing(504), failing(504)}, http.StatusGatewayTimeout, 1},
		{"single runner", "/write/x", []runnerBehavior{rejecting}, http.StatusServiceUnavailable, 1},
		{"no runner", "/write/x", nil, http.StatusServiceUnavailable, 0},
	} {
		h := newHarness(t, c.runners...)
		code, body, header := h.call("POST", c.path, "body", nil)
		if code != c.code || len(h.receivedRequests()) != c.arrivals {
			t.Errorf("%s: %d %q after %d attempts, want %d after %d", c.name, code, body, len(h.receivedRequests()), c.code, c.arrivals)
		}
		if code == http.StatusServiceUnavailable && header.Get(protocol.HeaderRetryAfter) == "" {
			t.Errorf("%s: no Retry-After", c.name)
		}
		for i, a := range h.receivedRequests() {
			if a.body != "body" {
				t.Errorf("%s: attempt %d has the body %q", c.name, i, a.body)
			}
		}
	}
}

// TestRejectedRequestIsRetriedOnAnotherRunner checks that a request rejected by one runner is
// served by another.
func TestRejectedRequestIsRetriedOnAnotherRunner(t *testing.T) {
	for i := range 20 {
		h := newHarness(t, rejecting, succeeding)
		if code, body, _ := h.call("POST", "/upload/x", strings.Repeat("b", 60000), nil); code != http.StatusOK || body != "answer" {
			t.Errorf("%d: %d %q", i, code, body)
		}
		last := h.receivedRequests()[len(h.receivedRequests())-1]
		if last.runner != "i-1" || len(last.body) != 60000 {
			t.Errorf("%d: last attempt went to %s with %d bytes", i, last.runner, len(last.body))
		}
	}
}

// TestResponseToAnotherRequestIsDropped checks that a response with the attempt ID of another
// request reaches no client.
func TestResponseToAnotherRequestIsDropped(t *testing.T) {
	stale := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(protocol.HeaderAttemptID, "attempt-of-another")
		_, _ = io.WriteString(w, "secret")
	}
	h := newHarness(t, stale)
	for _, path := range []string{"/write/x", "/read/x"} {
		if code, body, _ := h.call("POST", path, "", nil); code != http.StatusBadGateway || strings.Contains(body, "secret") {
			t.Errorf("%s: %d %q", path, code, body)
		}
	}
}

// TestTruncatedResponseFailsAtClient checks that the client detects a response that the runner
// did not complete.
func TestTruncatedResponseFailsAtClient(t *testing.T) {
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(protocol.HeaderAttemptID, r.Header.Get(protocol.HeaderAttemptID))
		_, _ = io.WriteString(w, strings.Repeat("x", 5000))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	if code, body, _ := h.call("GET", "/read/x", "", nil); code != 0 {
		t.Errorf("client got a complete response: %d, %d bytes", code, len(body))
	}
}

// TestRefusalsRefreshConfig checks that a request is refused permanently only by the current
// configuration, and gets a 503 while that is unknown.
func TestRefusalsRefreshConfig(t *testing.T) {
	h := newHarness(t, succeeding)
	if code, _, _ := h.call("GET", "/new/x", "", nil); code != http.StatusNotFound {
		t.Errorf("unknown route: status %d, want 404", code)
	}
	h.config = strings.Replace(fmt.Sprintf(testConfig, 2, ""), "/read/", "/new/", 1)
	if code, _, _ := h.call("GET", "/new/x", "", nil); code != http.StatusOK {
		t.Errorf("route of a newer configuration: status %d, want 200", code)
	}
	h.config = ""
	if code, _, _ := h.call("GET", "/none/x", "", nil); code != http.StatusServiceUnavailable {
		t.Errorf("unknown route, leader unreachable: status %d, want 503", code)
	}
	if code, _, _ := h.call("GET", "/new/x", "", nil); code != http.StatusOK {
		t.Errorf("known route, leader unreachable: status %d, want 200", code)
	}
}

// TestConfiguredSizeLimits checks that requests with headers or bodies over the limits reach
// no runner.
func TestConfiguredSizeLimits(t *testing.T) {
	h := newHarness(t, succeeding)
	if code, _, _ := h.call("GET", "/read/x", "", map[string]string{"X-Long": strings.Repeat("x", 3000)}); code != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("large headers: status %d, want 431", code)
	}
	if code, _, _ := h.call("POST", "/upload/x", strings.Repeat("x", 1000001), nil); code != http.StatusRequestEntityTooLarge {
		t.Errorf("large body: status %d, want 413", code)
	}
	if len(h.receivedRequests()) != 0 {
		t.Errorf("runners received %d of the requests, want none", len(h.receivedRequests()))
	}
}

// TestChunkedBodyBeyondTheLimit checks that a body in chunks, which announces no size, is refused once
// it exceeds the limit of the current configuration, and that no runner receives it whole.
func TestChunkedBodyBeyondTheLimit(t *testing.T) {
	whole := make(chan bool, 2)
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		whole <- err == nil
		succeeding(w, r)
	})
	send := func() int {
		body := struct{ io.Reader }{strings.NewReader(strings.Repeat("x", 1000001))} // of unknown length
		request, err := http.NewRequest(http.MethodPost, h.front.URL+"/upload/x", body)
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "h"
		request.Header.Set(protocol.HeaderAttemptID, "a")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	if status := send(); status != http.StatusRequestEntityTooLarge || <-whole {
		t.Errorf("status %d, want 413 and no whole body at the runner", status)
	}
	h.config = strings.Replace(testConfigText(2), `"maxBodyBytes":1000000`, `"maxBodyBytes":2000000`, 1)
	if status := send(); status != http.StatusOK || !<-whole {
		t.Errorf("after the limit was raised: status %d, want 200 and the whole body at the runner", status)
	}
}

// TestTenantKeyIsNotForwarded checks that the runner receives the tenant's name, whatever the
// client sent, but not its API key.
func TestTenantKeyIsNotForwarded(t *testing.T) {
	h := newHarness(t, succeeding)
	h.config = fmt.Sprintf(testConfig, 2, `,"tenantList":[{"name":"t","apiKeys":["secret"]}]`)
	if err := h.refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	if code, _, _ := h.call("GET", "/read/x", "", map[string]string{"Authorization": "Bearer wrong"}); code != http.StatusUnauthorized {
		t.Errorf("unknown key: status %d, want 401", code)
	}
	if code, _, _ := h.call("GET", "/read/x", "", map[string]string{"Authorization": "Bearer secret", protocol.HeaderTenant: "other"}); code != http.StatusOK {
		t.Errorf("valid key: status %d, want 200", code)
	}
	got := h.receivedRequests()
	if len(got) != 1 || got[0].header.Get("Authorization") != "" || got[0].header.Get(protocol.HeaderTenant) != "t" {
		t.Errorf("runner received %+v", got)
	}
}

// TestClientCannotClaimTenant checks that the runner receives no tenant header on a public
// route without a key, and that the header is forwarded like any other if no tenants are
// configured.
func TestClientCannotClaimTenant(t *testing.T) {
	h := newHarness(t, succeeding)
	claim := map[string]string{protocol.HeaderTenant: "claimed"}
	h.call("GET", "/read/x", "", claim)
	public := strings.ReplaceAll(testConfig, `"targetService":"s"`, `"targetService":"s","public":true`)
	h.config = fmt.Sprintf(public, 2, `,"tenantList":[{"name":"t","apiKeys":["secret"]}]`)
	if err := h.refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	h.call("GET", "/read/x", "", claim)
	var received []string
	for _, got := range h.receivedRequests() {
		received = append(received, got.header.Get(protocol.HeaderTenant))
	}
	if !slices.Equal(received, []string{"claimed", ""}) {
		t.Errorf("runner received tenants %q", received)
	}
}

// TestKeyTrustExpires checks that a key is accepted for a while after the leader last
// confirmed the configuration. After that the leader is queried, and if it does not answer the
// request gets a 503 with a Retry-After.
func TestKeyTrustExpires(t *testing.T) {
	const trust = time.Minute
	for _, c := range []struct {
		name      string
		trust     time.Duration
		confirmed time.Duration // before now; 0: never
		inReach   bool
		status    int
	}{
		{"confirmed recently", trust, time.Second, false, http.StatusOK},
		{"confirmed long ago", trust, 2 * trust, false, http.StatusServiceUnavailable},
		{"confirmed long ago, the leader answers", trust, 2 * trust, true, http.StatusOK},
		{"never confirmed", trust, 0, false, http.StatusServiceUnavailable},
		{"never confirmed, the leader answers", trust, 0, true, http.StatusOK},
		{"keys are trusted forever", 0, 0, false, http.StatusOK},
	} {
		h := newHarness(t, succeeding)
		h.proxy.options.KeyTrustPeriod = c.trust
		h.config = fmt.Sprintf(testConfig, 2, `,"tenantList":[{"name":"t","apiKeys":["secret"]}]`)
		if err := h.refresh(context.Background()); err != nil {
			t.Fatal(err)
		}
		if c.confirmed > 0 {
			h.proxy.ConfirmConfig(time.Now().Add(-c.confirmed))
			h.proxy.ConfirmConfig(time.Now().Add(-9 * trust)) // an older confirmation arriving late
		}
		if !c.inReach {
			h.config = ""
		}
		code, _, header := h.call("GET", "/read/x", "", map[string]string{"Authorization": "Bearer secret"})
		if code != c.status || (code != http.StatusOK) != (header.Get(protocol.HeaderRetryAfter) != "") {
			t.Errorf("%s: %d, %s %q; want %d", c.name, code, protocol.HeaderRetryAfter, header.Get(protocol.HeaderRetryAfter), c.status)
		}
	}
}

// TestRunnerTimeout checks that the client gets a 504 if no response arrives within its
// deadline, and that a write is not retried.
func TestRunnerTimeout(t *testing.T) {
	release := make(chan struct{})
	h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	defer close(release)
	if code, _, _ := h.call("POST", "/write/x", "", map[string]string{protocol.HeaderTimeLeft: "60"}); code != http.StatusGatewayTimeout || len(h.receivedRequests()) != 1 {
		t.Errorf("status %d after %d attempts, want 504 after 1", code, len(h.receivedRequests()))
	}
}

// TestClientDisconnectCancelsRequest checks that a request is canceled at the runner when the
// client disconnects.
func TestClientDisconnectCancelsRequest(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(ended)
	})
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.front.URL+"/read/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	go func() {
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	<-arrived
	leave()
	<-ended
}

// TestTransportDoesNotRetryOnStaleConnection checks that the HTTP transport does not retry a
// request on its own when a reused connection fails: the daemon counts the attempts it sends.
func TestTransportDoesNotRetryOnStaleConnection(t *testing.T) {
	requests := 0
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		if requests++; requests > 1 {
			panic(http.ErrAbortHandler) // on a reused connection, before any response
		}
		succeeding(w, r)
	})
	h.call("GET", "/read/x", "", nil)
	code, _, _ := h.call("GET", "/read/x", "", nil)
	if code != http.StatusBadGateway || len(h.receivedRequests()) != 2 {
		t.Errorf("status %d, runners received %d requests, want 502 and 2", code, len(h.receivedRequests()))
	}
}
