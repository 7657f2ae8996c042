package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/transport"
)

// RunnerResponse is the result of one call to the runner.
type RunnerResponse struct {
	StatusCode int // HTTP status; 0: no response
	Run        protocol.RunResponse
	KeepAlive  protocol.KeepAliveResponse // only for a keep-alive
}

// answered reports whether the runner responded at all.
func (r RunnerResponse) answered() bool { return r.StatusCode != 0 }

// refusedFor reports whether the runner refused the call for the given reason.
func (r RunnerResponse) refusedFor(reason string) bool {
	return r.StatusCode == http.StatusConflict && r.Run.Reason == reason
}

// effectUnknown reports whether the call may have taken effect, or may still, without the response
// saying so: only the statuses that PROTOCOL-tealpond.md names are conclusive.
func (r RunnerResponse) effectUnknown() bool {
	switch r.StatusCode {
	case http.StatusOK, http.StatusBadRequest, http.StatusConflict, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return true
}

// RunnerClient makes calls to a runner (duty_call in the settings). The body is a request of
// package protocol, the path one of those in callPolicies. It sends each call once, and never
// retries.
type RunnerClient interface {
	Call(ctx context.Context, incarnation, path string, body any) RunnerResponse
}

// maxRunnerConnections bounds the connections to the runner.
const maxRunnerConnections = 16

// httpRunnerClient calls the runner over HTTP.
type httpRunnerClient struct {
	baseURL string
	client  *http.Client
}

// newHTTPRunnerClient returns a client for the runner at an address. It follows no redirects, since
// that would be a different call.
func newHTTPRunnerClient(address string) *httpRunnerClient {
	dialer := &net.Dialer{
		Timeout:   runnerRequestTimeout,
		Control:   transport.UserTimeoutControl(transport.TCPUserTimeout),
		KeepAlive: -1, // no TCP keep-alive
	}
	client := &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        maxRunnerConnections,
			MaxIdleConnsPerHost: maxRunnerConnections,
			MaxConnsPerHost:     maxRunnerConnections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
			WriteBufferSize:     2048, // bytes
			ReadBufferSize:      4096, // bytes
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &httpRunnerClient{baseURL: "http://" + address, client: client}
}

// Call sends one call once: it is not repeated after a reset, nor when an idle connection turns out
// to be closed.
func (c *httpRunnerClient) Call(ctx context.Context, incarnation, path string, body any) RunnerResponse {
	raw, err := json.Marshal(body)
	if err != nil {
		panic("agent: encode request to runner: " + err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(raw))
	if err != nil {
		return RunnerResponse{}
	}
	// With GetBody the transport could send the request again.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(protocol.HeaderTargetRunner, incarnation)
	response, err := c.client.Do(request)
	if err != nil {
		return RunnerResponse{}
	}
	defer func() { _ = response.Body.Close() }() // it was read, or the call is given up
	payload, err := io.ReadAll(io.LimitReader(response.Body, protocol.MaxControlBodyBytes))
	if err != nil {
		return RunnerResponse{}
	}
	result := RunnerResponse{StatusCode: response.StatusCode}
	if path == pathKeepAlive {
		if response.StatusCode == http.StatusOK && json.Unmarshal(payload, &result.KeepAlive) != nil {
			return RunnerResponse{}
		}
		result.Run.ClockMs = result.KeepAlive.ClockMs
	} else if len(payload) > 0 {
		_ = json.Unmarshal(payload, &result.Run)
	}
	return result
}
