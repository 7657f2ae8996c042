package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/coordination"
	"tealpond/internal/discovery"
	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// callApplication sends an application's call to a server through its routes.
func callApplication(s *Server, method, target, body string) *httptest.ResponseRecorder {
	e := echo.New()
	s.addCoordinationRoutes(e)
	recorder := httptest.NewRecorder()
	e.ServeHTTP(recorder, httptest.NewRequest(method, target, strings.NewReader(body)))
	return recorder
}

// TestApplicationCalls checks the request that each call sends to the leader, and the response to
// the caller.
func TestApplicationCalls(t *testing.T) {
	value := rpc.Response{Code: 200, Body: transport.Encode(coordination.KeyValue{Value: "v", Revision: 7})}
	update := rpc.Response{Code: 200, Body: transport.Encode(coordination.WatchResult{Revision: 9, Events: []coordination.Event{{Name: "g.a", Value: "v", Revision: 9, At: 5}}})}
	for _, test := range []struct {
		method, target, body string
		kind                 string // of the request to the leader; empty if none is sent
		request              any
		response             rpc.Response
		code                 int
		answer               string
	}{
		{"POST", "/-/Locks.Begin/l", `{"holder":"h","holdMs":5}`, rpc.KindAcquireLock, coordination.Acquire{Name: "l", Holder: "h", HoldMs: 5}, rpc.Response{Code: 200, Value: 41}, 200, `{"fenceNumber":41}`},
		{"POST", "/-/Locks.Begin/l", `{"holder":"h","holdMs":5}`, rpc.KindAcquireLock, nil, rpc.Response{Code: 409, Text: "held"}, 409, "held"},
		{"POST", "/-/Locks.Begin/l", `{"holder":"h"}`, "", nil, rpc.Response{}, 400, "holdMs: missing or not above 0"},
		{"POST", "/-/Locks.Begin/l", `{"holdMs":5}`, "", nil, rpc.Response{}, 400, "holder: missing or too long"},
		{"POST", "/-/Locks.Begin/" + strings.Repeat("l", 300), `{"holder":"h","holdMs":5}`, "", nil, rpc.Response{}, 400, errInvalidName.text},
		{"POST", "/-/Locks.Begin/l", `{"holder":`, "", nil, rpc.Response{}, 400, "the body can't be read: unexpected end of JSON input"},
		{"POST", "/-/Locks.Begin/l", strings.Repeat(" ", 70_000), "", nil, rpc.Response{}, 413, "the body is too large"},
		{"POST", "/-/Locks.Heartbeat/l", `{"holder":"h","fenceNumber":3,"holdMs":5}`, rpc.KindRenewLock, coordination.Renew{Name: "l", Holder: "h", Fence: 3, HoldMs: 5}, rpc.Response{Code: 200}, 200, "{}"},
		{"POST", "/-/Locks.Finish/l", `{"holder":"h","fenceNumber":3}`, rpc.KindReleaseLock, coordination.Release{Name: "l", Holder: "h", Fence: 3}, rpc.Response{Code: 200}, 200, "{}"},
		{"POST", "/-/numbers/n", `{}`, rpc.KindNextNumber, "n", rpc.Response{Code: 200, Value: 5120}, 200, `{"value":5120}`},
		{"POST", "/-/numbers/n", ``, rpc.KindNextNumber, "n", rpc.Response{Code: rpc.CodeTimeout}, 504, "unclear: send it again unchanged"},
		{"POST", "/-/Cells.Replace/g.a", `{"value":"v","active":7}`, rpc.KindPutKey, coordination.Put{Key: "g.a", Value: "v", Expected: 7}, rpc.Response{Code: 200, Value: 8}, 200, `{"revision":8}`},
		{"POST", "/-/Cells.Replace/g.a", `{"value":"v","active":7}`, rpc.KindPutKey, nil, rpc.Response{Code: 412, Value: 6}, 412, `{"revision":6}`},
		{"POST", "/-/Cells.Replace/g.a", `{"value":"v","active":-1}`, "", nil, rpc.Response{}, 400, "active: below 0"},
		{"POST", "/-/Cells.Replace/g.a", `{"value":"v"}`, rpc.KindPutKey, nil, rpc.Response{Code: rpc.CodeNoLeader}, 503, textNoLeader},
		{"GET", "/-/Cells.Read/g.a", "", rpc.KindReadKey, "g.a", value, 200, `{"value":"v","revision":7}`},
		{"GET", "/-/Cells.Read/g.a", "", rpc.KindReadKey, "g.a", rpc.Response{Code: 404, Text: "no such key"}, 404, "no such key"},
		{"GET", "/-/Cells.Read/g.a", "", rpc.KindReadKey, "g.a", rpc.Response{Code: rpc.CodeTimeout}, 503, textNoLeader},
		{"GET", "/-/watch/g.?dependsOn=8&waitMs=2000", "", rpc.KindWatchKeys, rpc.KeyWatch{Group: "g.", After: 8, WaitMs: 2000}, update, 200, `{"events":[{"name":"g.a","value":"v","revision":9}],"revision":9}`},
		{"GET", "/-/watch/g.?dependsOn=8&waitMs=99999999", "", rpc.KindWatchKeys, rpc.KeyWatch{Group: "g.", After: 8, WaitMs: timing.MaxWatchWait.Milliseconds()}, rpc.Response{Code: 410, Text: "gone"}, 410, "gone"},
		{"GET", "/-/watch/g.?dependsOn=x", "", "", nil, rpc.Response{}, 400, "dependsOn, waitMs: no number, or below 0"},
		{"GET", "/-/watch/g.?waitMs=-1", "", "", nil, rpc.Response{}, 400, "dependsOn, waitMs: no number, or below 0"},
	} {
		sentKind := ""
		s := newTestServer(func(_ context.Context, request rpc.Request) rpc.Response {
			sentKind = request.Kind
			if want := transport.Encode(test.request); test.request != nil && string(request.Body) != string(want) {
				t.Errorf("%s: request to the leader %x, want %x", test.target, request.Body, want)
			}
			return test.response
		})
		recorder := callApplication(s, test.method, test.target, test.body)
		if got := strings.TrimSpace(recorder.Body.String()); sentKind != test.kind ||
			recorder.Code != test.code || got != test.answer {
			t.Errorf("%s %s: request of kind %q to the leader, response %d %s",
				test.target, test.body, sentKind, recorder.Code, got)
		}
	}
}

// TestShutdownEndsWatches checks that a daemon that begins to shut down ends its watches at once,
// so that clients resume them at another daemon.
func TestShutdownEndsWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(func(ctx context.Context, _ rpc.Request) rpc.Response {
			if hold := discovery.HoldFromContext(ctx); hold != 20*time.Second {
				t.Errorf("the leader may hold the watch for %v, want 20s", hold)
			}
			<-ctx.Done()
			return rpc.Response{Code: rpc.CodeTimeout}
		})
		s.shutdownCtx, s.beginShutdown = context.WithCancel(t.Context())
		start := time.Now()
		time.AfterFunc(time.Second, s.beginShutdown)
		recorder := callApplication(s, http.MethodGet, "/-/watch/g.?dependsOn=8&waitMs=20000", "")
		if took := time.Since(start); recorder.Code != http.StatusServiceUnavailable || took != time.Second {
			t.Errorf("status %d after %v, want 503 after 1s", recorder.Code, took)
		}
	})
}
