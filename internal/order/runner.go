// Package order is the side daemon: it takes a runner's beats, holds what
// runs there, and carries out the leader's orders.
package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"tealpond/internal/transport"
	"tealpond/internal/tune"
	"tealpond/internal/wire"
)

// Reply is what came of one call to the runner.
type Reply struct {
	Code  int // 0: no answer
	Clock wire.Clock
	Lists wire.Lists
}

// unclear tells whether the call may have been carried out, or may be later:
// only the answers that the pages name say that it wasn't.
func (r Reply) unclear() bool {
	switch r.Code {
	case 200, 400, 409, 421, 429, 503:
		return false
	}
	return true
}

// Caller carries orders to a runner; duty_call is the one way at hand.
type Caller interface {
	Call(ctx context.Context, life, path string, body any) Reply
}

// dutyCaller calls the runner over HTTP.
type dutyCaller struct {
	base string
	http *http.Client
}

func newDutyCaller(app string) *dutyCaller {
	d := &net.Dialer{Timeout: tune.OrderRound, Control: transport.UserTimeoutControl(tune.UserTimeout), KeepAlive: -1}
	return &dutyCaller{base: "http://" + app, http: &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConns: 16, MaxIdleConnsPerHost: 16, MaxConnsPerHost: 16,
		IdleConnTimeout: time.Minute, DisableCompression: true, WriteBufferSize: 2048, ReadBufferSize: 4096,
	}, CheckRedirect: func(*http.Request, []*http.Request) error {
		// Why not followed: it would be another call than was decided on.
		return http.ErrUseLastResponse
	}}}
}

// Call makes one call, once: neither a reset nor a connection that was closed
// while idle has it made again.
func (d *dutyCaller) Call(ctx context.Context, life, path string, body any) Reply {
	raw, err := json.Marshal(body)
	if err != nil {
		panic("order: " + err.Error())
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, d.base+path, bytes.NewReader(raw))
	if err != nil {
		return Reply{}
	}
	// Why no GetBody: the transport would send it again by itself.
	q.GetBody = nil
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set(wire.HeadTarget, life)
	p, err := d.http.Do(q)
	if err != nil {
		return Reply{}
	}
	defer p.Body.Close()
	text, err := io.ReadAll(io.LimitReader(p.Body, tune.ControlBytes))
	if err != nil {
		return Reply{}
	}
	r := Reply{Code: p.StatusCode}
	if path == pathHold {
		if p.StatusCode == 200 && json.Unmarshal(text, &r.Lists) != nil {
			return Reply{}
		}
		r.Clock.ClockMs = r.Lists.ClockMs
	} else if len(text) > 0 {
		_ = json.Unmarshal(text, &r.Clock)
	}
	return r
}
