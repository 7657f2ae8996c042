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

// TestRequestAndAnswerPassUnchanged: method, target, body and headers of the request,
// status, headers and body of the answer; headers of one connection stay behind.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	h := newHarness(t, sound)
	code, body, header := h.call("POST", "/write/a%2fb?q=1&r=%20", "text", map[string]string{
		"X-Other": "kept", "Connection": "X-Mine", "X-Mine": "dropped", "Keep-Alive": "3", "X-Tealpond-Target-Runner": "i-other", "User-Agent": "mine"})
	if code != http.StatusOK || body != "answer" || header.Get("X-Seal") != "seal" || header.Get("Content-Encoding") != "" {
		t.Errorf("%d %q %v", code, body, header)
	}
	got := h.seen()
	if len(got) != 1 {
		t.Fatalf("%d requests reached runners", len(got))
	}
	a := got[0]
	if a.method != "POST" || a.uri != "/write/a%2fb?q=1&r=%20" || a.host != "h" || a.body != "text" {
		t.Errorf("the runner got %+v", a)
	}
	for name, want := range map[string]string{"X-Other": "kept", "X-Mine": "", "Keep-Alive": "", "User-Agent": "mine", "Accept-Encoding": "gzip",
		protocol.HeaderTargetRunner: "i-0", protocol.HeaderAttemptID: "attempt-1"} {
		if got := a.header.Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	if left := a.header.Get(protocol.HeaderTimeLeft); left == "3000" || left == "" || len(left) != 4 {
		t.Errorf("the runner has %s ms left of 2000 that the route gives", left)
	}
}

// TestFurtherAttempts: which failures are followed by a retry, by the kind of
// the route, and what the client is told.
func TestFurtherAttempts(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		runners  []runnerBehavior
		code     int
		arrivals int
	}{
		{"a full runner, writing", "/write/x", []runnerBehavior{full, full, full, full}, http.StatusServiceUnavailable, 3},
		{"a full runner, upload", "/upload/x", []runnerBehavior{full, full, full}, http.StatusServiceUnavailable, 2},
		{"a broken runner, writing", "/write/x", []runnerBehavior{broken, broken}, http.StatusBadGateway, 1},
		{"a broken runner, reading", "/read/x", []runnerBehavior{broken, broken}, http.StatusBadGateway, 2},
		{"502 without a promise", "/write/x", []runnerBehavior{failing(502), failing(502)}, http.StatusBadGateway, 1},
		{"503 without a promise", "/write/x", []runnerBehavior{failing(503), failing(503)}, http.StatusServiceUnavailable, 1},
		{"504 without a promise", "/write/x", []runnerBehavior{failing(504), failing(504)}, http.StatusGatewayTimeout, 1},
		{"one runner only", "/write/x", []runnerBehavior{full}, http.StatusServiceUnavailable, 1},
		{"no runner", "/write/x", nil, http.StatusServiceUnavailable, 0},
	} {
		h := newHarness(t, c.runners...)
		code, body, header := h.call("POST", c.path, "body", nil)
		if code != c.code || len(h.seen()) != c.arrivals {
			t.Errorf("%s: %d %q after %d attempts, want %d after %d", c.name, code, body, len(h.seen()), c.code, c.arrivals)
		}
		if code == http.StatusServiceUnavailable && header.Get(protocol.HeaderRetryAfter) == "" {
			t.Errorf("%s: not told when to come again", c.name)
		}
		for i, a := range h.seen() {
			if a.body != "body" {
				t.Errorf("%s: attempt %d has the body %q", c.name, i, a.body)
			}
		}
	}
}

// TestAnotherRunnerServes what a full one rejected.
func TestAnotherRunnerServes(t *testing.T) {
	for i := range 20 {
		h := newHarness(t, full, sound)
		if code, body, _ := h.call("POST", "/upload/x", strings.Repeat("b", 60000), nil); code != http.StatusOK || body != "answer" {
			t.Errorf("%d: %d %q", i, code, body)
		}
		last := h.seen()[len(h.seen())-1]
		if last.runner != "i-1" || len(last.body) != 60000 {
			t.Errorf("%d: the last attempt was at %s with %d bytes", i, last.runner, len(last.body))
		}
	}
}

// TestAnswerToAnotherRequestReachesNobody.
func TestAnswerToAnotherRequestReachesNobody(t *testing.T) {
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

// TestAnswerThatBreaksOffIsNotWholeAtTheClient.
func TestAnswerThatBreaksOffIsNotWholeAtTheClient(t *testing.T) {
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(protocol.HeaderAttemptID, r.Header.Get(protocol.HeaderAttemptID))
		_, _ = io.WriteString(w, strings.Repeat("x", 5000))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	if code, body, _ := h.call("GET", "/read/x", "", nil); code != 0 {
		t.Errorf("the client has a whole answer: %d, %d bytes", code, len(body))
	}
}

// TestRefusalsAskForTheNewestConfiguration: a request is refused permanently only by the
// newest configuration, and not at all while that isn't known.
func TestRefusalsAskForTheNewestConfiguration(t *testing.T) {
	h := newHarness(t, sound)
	if code, _, _ := h.call("GET", "/new/x", "", nil); code != http.StatusNotFound {
		t.Errorf("no such route: %d", code)
	}
	h.config = strings.Replace(fmt.Sprintf(testConfig, 2, ""), "/read/", "/new/", 1)
	if code, _, _ := h.call("GET", "/new/x", "", nil); code != http.StatusOK {
		t.Errorf("a route of a newer configuration: %d", code)
	}
	h.config = ""
	if code, _, _ := h.call("GET", "/none/x", "", nil); code != http.StatusServiceUnavailable {
		t.Errorf("without the leader: %d", code)
	}
	if code, _, _ := h.call("GET", "/new/x", "", nil); code != http.StatusOK {
		t.Errorf("a known route without the leader: %d", code)
	}
}

// TestLimitsOfTheConfiguration: headers and bodies that are too large reach no runner.
func TestLimitsOfTheConfiguration(t *testing.T) {
	h := newHarness(t, sound)
	if code, _, _ := h.call("GET", "/read/x", "", map[string]string{"X-Long": strings.Repeat("x", 3000)}); code != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("long headers: %d", code)
	}
	if code, _, _ := h.call("POST", "/upload/x", strings.Repeat("x", 1000001), nil); code != http.StatusRequestEntityTooLarge {
		t.Errorf("a large body: %d", code)
	}
	if len(h.seen()) != 0 {
		t.Errorf("%d of them reached a runner", len(h.seen()))
	}
}

// TestTenantsKeyIsNotShownToTheRunner: the tenant's name is, whatever the client sent.
func TestTenantsKeyIsNotShownToTheRunner(t *testing.T) {
	h := newHarness(t, sound)
	h.config = fmt.Sprintf(testConfig, 2, `,"tenantList":[{"name":"t","apiKeys":["secret"]}]`)
	if err := h.refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	if code, _, _ := h.call("GET", "/read/x", "", map[string]string{"Authorization": "Bearer wrong"}); code != http.StatusUnauthorized {
		t.Errorf("an unknown key: %d", code)
	}
	if code, _, _ := h.call("GET", "/read/x", "", map[string]string{"Authorization": "Bearer secret", protocol.HeaderTenant: "other"}); code != http.StatusOK {
		t.Errorf("a key: %d", code)
	}
	got := h.seen()
	if len(got) != 1 || got[0].header.Get("Authorization") != "" || got[0].header.Get(protocol.HeaderTenant) != "t" {
		t.Errorf("the runner got %+v", got)
	}
}

// TestTenantIsNotWhatAClientClaims: on a public route without a key the runner is told of no
// tenant; where there are no tenants the header is one like any other.
func TestTenantIsNotWhatAClientClaims(t *testing.T) {
	h := newHarness(t, sound)
	claim := map[string]string{protocol.HeaderTenant: "claimed"}
	h.call("GET", "/read/x", "", claim)
	public := strings.ReplaceAll(testConfig, `"targetService":"s"`, `"targetService":"s","public":true`)
	h.config = fmt.Sprintf(public, 2, `,"tenantList":[{"name":"t","apiKeys":["secret"]}]`)
	if err := h.refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	h.call("GET", "/read/x", "", claim)
	var told []string
	for _, got := range h.seen() {
		told = append(told, got.header.Get(protocol.HeaderTenant))
	}
	if !slices.Equal(told, []string{"claimed", ""}) {
		t.Errorf("the runner was told %q", told)
	}
}

// TestKeysWithoutWordFromTheLeader: a key is served for a while after the leader's last word,
// then the leader is asked, and without an answer the request is refused with a promise.
func TestKeysWithoutWordFromTheLeader(t *testing.T) {
	const trust = time.Minute
	for _, c := range []struct {
		name      string
		trust     time.Duration
		confirmed time.Duration // before now; 0: never
		inReach   bool
		status    int
	}{
		{"confirmed lately", trust, time.Second, false, http.StatusOK},
		{"confirmed long ago", trust, 2 * trust, false, http.StatusServiceUnavailable},
		{"confirmed long ago, the leader answers", trust, 2 * trust, true, http.StatusOK},
		{"never confirmed", trust, 0, false, http.StatusServiceUnavailable},
		{"never confirmed, the leader answers", trust, 0, true, http.StatusOK},
		{"keys are trusted for ever", 0, 0, false, http.StatusOK},
	} {
		h := newHarness(t, sound)
		h.proxy.options.KeyTrust = c.trust
		h.config = fmt.Sprintf(testConfig, 2, `,"tenantList":[{"name":"t","apiKeys":["secret"]}]`)
		if err := h.refresh(context.Background()); err != nil {
			t.Fatal(err)
		}
		if c.confirmed > 0 {
			h.proxy.ConfirmConfig(time.Now().Add(-c.confirmed))
			h.proxy.ConfirmConfig(time.Now().Add(-9 * trust)) // an older answer that comes late
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

// TestNoAnswerInTime: the client hears of it within its time, and a writing request is
// not sent again.
func TestNoAnswerInTime(t *testing.T) {
	release := make(chan struct{})
	h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	defer close(release)
	if code, _, _ := h.call("POST", "/write/x", "", map[string]string{protocol.HeaderTimeLeft: "60"}); code != http.StatusGatewayTimeout || len(h.seen()) != 1 {
		t.Errorf("%d after %d attempts", code, len(h.seen()))
	}
}

// TestClientThatLeavesEndsItsRequest at the runner too.
func TestClientThatLeavesEndsItsRequest(t *testing.T) {
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

// TestKeptConnectionThatDiedIsNoSecondArrival: the library must not repeat a request by
// itself; the daemon counts what it sends.
func TestKeptConnectionThatDiedIsNoSecondArrival(t *testing.T) {
	requests := 0
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		if requests++; requests > 1 {
			panic(http.ErrAbortHandler) // on a kept connection, before any answer
		}
		sound(w, r)
	})
	h.call("GET", "/read/x", "", nil)
	code, _, _ := h.call("GET", "/read/x", "", nil)
	if code != http.StatusBadGateway || len(h.seen()) != 2 {
		t.Errorf("%d after %d arrivals, want 502 after 2", code, len(h.seen()))
	}
}
