package api

import (
	"context"
	"net/http"
	"net/url"
	"testing"

	"tealpond/internal/coordination"
	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// FuzzApplicationCalls checks that a call with any name, query and body is either rejected as the
// caller's error or sends the leader a request within the limits.
func FuzzApplicationCalls(f *testing.F) {
	f.Add("Locks.Begin", "l", "", `{"holder":"h","holdMs":5}`)
	f.Add("Locks.Heartbeat", "l\x00", "", `{"holder":"h","fenceNumber":1e30,"holdMs":5}`)
	f.Add("Locks.Finish", "l", "", `{"holder":"`+string(make([]byte, 300))+`"}`)
	f.Add("numbers", "%", "", `[]`)
	f.Add("Cells.Replace", "g.a", "", `{"value":7,"active":-9223372036854775808}`)
	f.Add("watch", "g.", "dependsOn=18446744073709551615&waitMs=9223372036854775807", "")
	f.Add("Cells.Read", "/../", "", "")
	f.Fuzz(func(t *testing.T, call, name, query, body string) {
		s := newTestServer(func(_ context.Context, request rpc.Request) rpc.Response {
			checkApplicationRequest(t, request)
			return rpc.Response{Code: rpc.CodeNoLeader}
		})
		method := http.MethodPost
		if call == "watch" || call == "Cells.Read" {
			method = http.MethodGet
		}
		target := "/-/" + url.PathEscape(call) + "/" + url.PathEscape(name) + "?" + url.PathEscape(query)
		if code := callApplication(s, method, target, body).Code; code < 400 || code >= 500 && code != http.StatusServiceUnavailable {
			t.Errorf("%s with body %q: status %d, want 4xx or 503", target, body, code)
		}
	})
}

// checkApplicationRequest checks a request sent to the leader.
func checkApplicationRequest(t *testing.T, request rpc.Request) {
	t.Helper()
	var watch rpc.KeyWatch
	var acquire coordination.Acquire
	switch {
	case request.Kind == rpc.KindWatchKeys && transport.Decode(request.Body, &watch) == nil:
		if watch.After < 0 || watch.WaitMs < 0 || watch.WaitMs > timing.MaxWatchWait.Milliseconds() || !validName(watch.Group) {
			t.Errorf("invalid request to the leader: %+v", watch)
		}
	case request.Kind == rpc.KindAcquireLock && transport.Decode(request.Body, &acquire) == nil:
		if acquire.HoldMs <= 0 || !validName(acquire.Name) || !validName(acquire.Holder) {
			t.Errorf("invalid request to the leader: %+v", acquire)
		}
	}
}
