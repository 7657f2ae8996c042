package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
	"tealpond/internal/registry"
)

// testConfig has a route of each kind, all to service s.
const testConfig = `{"configVersion":%d,"routeList":[` +
	`{"name":"r","hostName":"h","pathPrefix":"/read/","kind":"read_only","timeoutMs":2000,"targetService":"s","maxTries":3},` +
	`{"name":"w","hostName":"h","pathPrefix":"/write/","kind":"writing","timeoutMs":2000,"targetService":"s","maxTries":3},` +
	`{"name":"u","hostName":"h","pathPrefix":"/upload/","kind":"upload","timeoutMs":2000,"targetService":"s","maxTries":2}],` +
	`"serviceList":[{"name":"s"}],"limits":{"maxHeaderBytes":2000,"maxBodyBytes":1000000}%s}`

// testConfigText returns testConfig with the given version and no tenants.
func testConfigText(version int) string { return fmt.Sprintf(testConfig, version, "") }

// receivedRequest is a request as a runner received it.
type receivedRequest struct {
	runner, method, uri, host, body string
	header                          http.Header
}

// harness is a proxy with runners on the loopback interface.
type harness struct {
	t      *testing.T
	proxy  *Proxy
	front  *httptest.Server
	config string // returned by Refresh; empty: the leader is unreachable

	mu       sync.Mutex
	received []receivedRequest
}

// runnerBehavior handles a request received by a runner.
type runnerBehavior func(w http.ResponseWriter, r *http.Request)

// succeeding responds normally.
func succeeding(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(protocol.HeaderAttemptID, r.Header.Get(protocol.HeaderAttemptID))
	w.Header().Set("X-Seal", "seal")
	_, _ = io.WriteString(w, "answer")
}

// rejecting rejects the request without running it.
func rejecting(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(protocol.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// failing responds to every request with the given status and no guarantee that it was not
// run.
func failing(code int) runnerBehavior {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(protocol.HeaderAttemptID, r.Header.Get(protocol.HeaderAttemptID))
		w.Header().Set(protocol.HeaderRetryAfter, "1")
		w.WriteHeader(code)
	}
}

// aborting closes the connection without a response.
func aborting(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// newHarness starts a proxy with runners of service s.
func newHarness(t *testing.T, runners ...runnerBehavior) *harness {
	t.Helper()
	h := &harness{t: t, config: testConfigText(1)}
	h.proxy = New(Options{Zone: "z", Retries: RetryLimit{Ratio: 0.2, Slack: 200}, Refresh: h.refresh})
	if err := h.refresh(context.Background()); err != nil {
		t.Fatal(err)
	}
	var list []registry.Runner
	for i, behavior := range runners {
		id := fmt.Sprint("i-", i)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body) // what was received before the connection broke
			h.mu.Lock()
			h.received = append(h.received, receivedRequest{id, r.Method, r.RequestURI, r.Host, string(body), r.Header})
			h.mu.Unlock()
			behavior(w, r)
		}))
		t.Cleanup(server.Close)
		list = append(list, registry.Runner{ID: id, Service: "s", Zone: "z", Slots: 2, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	h.proxy.SetRunners(list, Position{Total: 1})
	h.front = httptest.NewServer(h.proxy)
	t.Cleanup(h.front.Close)
	return h
}

var errLeaderUnreachable = errors.New("leader unreachable")

// refresh stands in for fetching the configuration from the leader.
func (h *harness) refresh(context.Context) error {
	if h.config == "" {
		return errLeaderUnreachable
	}
	config, err := clusterconfig.Parse([]byte(h.config))
	if err != nil {
		return err
	}
	h.proxy.SetConfig(config)
	return nil
}

// call sends a client request and returns the status, body and headers of the response.
func (h *harness) call(method, path, body string, headers map[string]string) (int, string, http.Header) {
	h.t.Helper()
	request, err := http.NewRequestWithContext(h.t.Context(), method, h.front.URL+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set(protocol.HeaderAttemptID, "attempt-1")
	request.Header.Set(protocol.HeaderTimeLeft, "3000")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return response.StatusCode, string(text), response.Header
}

// receivedRequests returns the requests that runners received.
func (h *harness) receivedRequests() []receivedRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]receivedRequest(nil), h.received...)
}
