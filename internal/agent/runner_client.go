// Package agent is the side daemon: it takes a runner's beats, holds what
// runs there, and carries out the leader's orders.
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
	"tealpond/internal/tuning"
)

// RunnerResponse is what came of one call to the runner.
type RunnerResponse struct {
	StatusCode int // 0: no answer
	Run        protocol.RunResponse
	KeepAlive  protocol.KeepAliveResponse
}

// effectUnknown tells whether the call may have been carried out, or may be later:
// only the answers that the pages name say that it wasn't.
func (r RunnerResponse) effectUnknown() bool {
	switch r.StatusCode {
	case 200, 400, 409, 421, 429, 503:
		return false
	}
	return true
}

// RunnerClient carries orders to a runner; duty_call is the one way at hand.
type RunnerClient interface {
	Call(ctx context.Context, life, path string, body any) RunnerResponse
}

// httpRunnerClient calls the runner over HTTP.
type httpRunnerClient struct {
	baseURL string
	client  *http.Client
}

func newHTTPRunnerClient(address string) *httpRunnerClient {
	dialer := &net.Dialer{Timeout: tuning.RunnerRequestTimeout, Control: transport.UserTimeoutControl(tuning.TCPUserTimeout), KeepAlive: -1}
	return &httpRunnerClient{baseURL: "http://" + address, client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConns: 16, MaxIdleConnsPerHost: 16, MaxConnsPerHost: 16,
		IdleConnTimeout: time.Minute, DisableCompression: true, WriteBufferSize: 2048, ReadBufferSize: 4096,
	}, CheckRedirect: func(*http.Request, []*http.Request) error {
		// Why not followed: it would be another call than was decided on.
		return http.ErrUseLastResponse
	}}}
}

// Call makes one call, once: neither a reset nor a connection that was closed
// while idle has it made again.
func (c *httpRunnerClient) Call(ctx context.Context, incarnation, path string, body any) RunnerResponse {
	raw, err := json.Marshal(body)
	if err != nil {
		panic("order: " + err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(raw))
	if err != nil {
		return RunnerResponse{}
	}
	// Why no GetBody: the transport would send it again by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(protocol.HeaderTargetRunner, incarnation)
	response, err := c.client.Do(request)
	if err != nil {
		return RunnerResponse{}
	}
	defer response.Body.Close()
	payload, err := io.ReadAll(io.LimitReader(response.Body, tuning.MaxControlBodyBytes))
	if err != nil {
		return RunnerResponse{}
	}
	result := RunnerResponse{StatusCode: response.StatusCode}
	if path == pathKeepAlive {
		if response.StatusCode == 200 && json.Unmarshal(payload, &result.KeepAlive) != nil {
			return RunnerResponse{}
		}
		result.Run.ClockMs = result.KeepAlive.ClockMs
	} else if len(payload) > 0 {
		_ = json.Unmarshal(payload, &result.Run)
	}
	return result
}
