package api

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/discovery"
	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// serveWith calls a handler with one request.
func serveWith(handler echo.HandlerFunc, method, target, body string, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	recorder := httptest.NewRecorder()
	_ = handler(echo.New().NewContext(request, recorder))
	return recorder
}

const validConfig = `{"configVersion":7,"routeList":[{"name":"a","hostName":"h","pathPrefix":"/p/",` +
	`"timeoutMs":1000,"targetService":"s"}],"serviceList":[{"name":"s"}]}`

func replaceConfig(s *Server, base, raw string) *httptest.ResponseRecorder {
	return serveWith(s.serveConfigReplace, http.MethodPost, "/-/Config.Replace", raw, protocol.HeaderBasedOn, base)
}

func readConfig(s *Server) *httptest.ResponseRecorder {
	return serveWith(s.serveConfigRead, http.MethodGet, "/-/Config.Read", "")
}

// TestOperatorResponseStatus checks that only the leader rejects requests, and that a response has
// a Retry-After header if the outcome is unknown or the error may be temporary.
func TestOperatorResponseStatus(t *testing.T) {
	for _, test := range []struct {
		leader    rpc.Response
		put, read int
	}{
		{rpc.Response{Code: rpc.CodeNoLeader}, 503, 503},
		{rpc.Response{Code: rpc.CodeTimeout}, 504, 503},
		{rpc.Response{Code: rpc.CodeLeadershipLost}, 504, 503},
		{rpc.Response{Code: rpc.CodeNotLeader}, 504, 503},
		{rpc.Response{Code: 503, RetryAfterMs: 2500}, 503, 503},
		{rpc.Response{Code: 504}, 504, 504},
		{rpc.Response{Code: 412}, 412, 412},
		{rpc.Response{Code: 200, Body: []byte("{}")}, 200, 200},
	} {
		s := newTestServer(respondByKind(map[string]rpc.Response{rpc.KindPutConfig: test.leader, rpc.KindGetConfig: test.leader}))
		for name, got := range map[string]struct {
			response *httptest.ResponseRecorder
			want     int
		}{"put": {replaceConfig(s, "5", validConfig), test.put}, "read": {readConfig(s), test.read}} {
			if got.response.Code != got.want {
				t.Errorf("%s, leader's response %d: status %d, want %d", name, test.leader.Code, got.response.Code, got.want)
			}
			retry := got.response.Header().Get(protocol.HeaderRetryAfter)
			if (got.want >= 500) != (retry != "") || test.leader.RetryAfterMs == 2500 && retry != "3" {
				t.Errorf("%s, leader's response %d: status %d with %s %q",
					name, test.leader.Code, got.response.Code, protocol.HeaderRetryAfter, retry)
			}
		}
	}
}

// TestMalformedConfigurationsAreRejectedWithoutLeader checks that each daemon finds errors in a
// configuration itself.
func TestMalformedConfigurationsAreRejectedWithoutLeader(t *testing.T) {
	s := newTestServer(func(context.Context, rpc.Request) rpc.Response {
		t.Error("a request was sent to the leader")
		return rpc.Response{}
	})
	for _, c := range []struct{ base, raw string }{
		{"", validConfig}, {"x", validConfig}, {"5", validConfig[:40]},
		{"5", strings.Replace(validConfig, `"timeoutMs":1000`, `"timeoutMs":0`, 1)},
		{"5", strings.Replace(validConfig, `"targetService":"s"`, `"targetService":"x"`, 1)},
	} {
		if got := replaceConfig(s, c.base, c.raw); got.Code != 400 {
			t.Errorf("base %q: status %d, want 400", c.base, got.Code)
		}
	}
}

// unreachableNetwork fails to open any connection.
type unreachableNetwork struct{}

func (unreachableNetwork) Dial(context.Context, string) (net.Conn, error) {
	return nil, net.UnknownNetworkError("unreachable")
}
func (unreachableNetwork) Listen(context.Context, string) (net.Listener, error) {
	return nil, net.UnknownNetworkError("unreachable")
}

// TestIsolatedDaemonRespondsWithinASecond checks that a daemon that reaches no other daemon fails
// operators' requests after about half a second, and sooner once it has been isolated for some
// time.
func TestIsolatedDaemonRespondsWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(transport.WithNetwork(t.Context(), unreachableNetwork{}))
		s := newTestServer(nil)
		s.discovery = discovery.NewClient(discovery.Options{
			Seeds: []string{"10.0.0.1:1"}, OnConfigVersion: s.observeConfigVersion,
		})
		s.callLeader = s.forward
		done := make(chan struct{})
		go func() { defer close(done); s.discovery.Run(ctx) }()
		s.leaderContact.record(time.Now())
		call := func(name string, maxDelay time.Duration, handle func() *httptest.ResponseRecorder) {
			t.Helper()
			startedAt := time.Now()
			got := handle()
			if took := time.Since(startedAt); took > maxDelay {
				t.Errorf("%s: response after %v", name, took)
			}
			if got.Code != 503 || got.Header().Get(protocol.HeaderRetryAfter) == "" {
				t.Errorf("%s: status %d, %s %q; want 503 and a retry time",
					name, got.Code, protocol.HeaderRetryAfter, got.Header().Get(protocol.HeaderRetryAfter))
			}
		}
		replace := func() *httptest.ResponseRecorder { return replaceConfig(s, "5", validConfig) }
		call("replace", 600*time.Millisecond, replace)
		call("read", 600*time.Millisecond, func() *httptest.ResponseRecorder { return readConfig(s) })
		time.Sleep(timing.LeaderContactTimeout)
		call("replace after long isolation", 200*time.Millisecond, replace)
		call("read after long isolation", 200*time.Millisecond, func() *httptest.ResponseRecorder { return readConfig(s) })
		if s.ready() {
			t.Error("ready while isolated")
		}
		stop()
		<-done
	})
}
