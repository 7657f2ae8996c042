package door

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

	"tealpond/internal/member"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
	"tealpond/internal/wire"
)

// serveWith runs a handler on one request.
func serveWith(handler echo.HandlerFunc, method, target, body string, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	recorder := httptest.NewRecorder()
	_ = handler(echo.New().NewContext(request, recorder))
	return recorder
}

const goodConfiguration = `{"configVersion":7,"routeList":[{"name":"a","hostName":"h","pathPrefix":"/p/","timeoutMs":1000,"targetService":"s"}],"serviceList":[{"name":"s"}]}`

func put(e *Edge, base, raw string) *httptest.ResponseRecorder {
	return serveWith(e.servePut, http.MethodPost, "/-/Config.Replace", raw, wire.HeadBasedOn, base)
}

func read(e *Edge) *httptest.ResponseRecorder {
	return serveWith(e.serveRead, http.MethodGet, "/-/Config.Read", "")
}

// TestOperatorsAnswers: refusals come from the leader alone; what isn't clear,
// or not possible now, says when to come back.
func TestOperatorsAnswers(t *testing.T) {
	for _, c := range []struct {
		leader    member.Answer
		put, read int
	}{
		{member.Answer{Code: member.NoLeader}, 503, 503},
		{member.Answer{Code: member.Lost}, 504, 503},
		{member.Answer{Code: member.Unclear}, 504, 503},
		{member.Answer{Code: member.NotLead}, 504, 503},
		{member.Answer{Code: 503, RetryMs: 2500}, 503, 503},
		{member.Answer{Code: 504}, 504, 504},
		{member.Answer{Code: 412}, 412, 412},
		{member.Answer{Code: 200, Body: []byte("{}")}, 200, 200},
	} {
		e := newTestEdge(answers(map[string]member.Answer{member.AskPut: c.leader, member.AskRead: c.leader}))
		for what, got := range map[string]struct {
			answer *httptest.ResponseRecorder
			want   int
		}{"put": {put(e, "5", goodConfiguration), c.put}, "read": {read(e), c.read}} {
			if got.answer.Code != got.want {
				t.Errorf("%s, leader's answer %d: %d, want %d", what, c.leader.Code, got.answer.Code, got.want)
			}
			retry := got.answer.Header().Get(wire.HeadRetry)
			if (got.want >= 500) != (retry != "") || c.leader.RetryMs == 2500 && retry != "3" {
				t.Errorf("%s, leader's answer %d: %d with %s %q", what, c.leader.Code, got.answer.Code, wire.HeadRetry, retry)
			}
		}
	}
}

// TestMalformedOrdersNeedNoLeader: what is wrong with a text is found here, the
// same on each daemon.
func TestMalformedOrdersNeedNoLeader(t *testing.T) {
	e := newTestEdge(func(context.Context, member.Ask) member.Answer {
		t.Error("the leader was asked")
		return member.Answer{}
	})
	for _, c := range []struct{ base, raw string }{
		{"", goodConfiguration}, {"x", goodConfiguration}, {"5", goodConfiguration[:40]},
		{"5", strings.Replace(goodConfiguration, `"timeoutMs":1000`, `"timeoutMs":0`, 1)},
		{"5", strings.Replace(goodConfiguration, `"targetService":"s"`, `"targetService":"x"`, 1)},
	} {
		if got := put(e, c.base, c.raw); got.Code != 400 {
			t.Errorf("base %q: %d", c.base, got.Code)
		}
	}
}

// noNetwork opens no connections.
type noNetwork struct{}

func (noNetwork) Dial(context.Context, string) (net.Conn, error) {
	return nil, net.UnknownNetworkError("cut off")
}
func (noNetwork) Listen(context.Context, string) (net.Listener, error) {
	return nil, net.UnknownNetworkError("cut off")
}

// TestCutOffDaemonAnswersWithinASecond: a daemon that reaches nobody turns
// operators away in half a second, and soon at once.
func TestCutOffDaemonAnswersWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(transport.WithNetwork(t.Context(), noNetwork{}))
		e := newTestEdge(nil)
		e.seek = member.NewSeeker(e.log, "", []string{"10.0.0.1:1"}, nil, e.onNews, nil)
		e.route = e.toLeader
		done := make(chan struct{})
		go func() { defer close(done); _ = e.seek.Run(ctx) }()
		e.contact.heard(time.Now())
		call := func(what string, most time.Duration, handle func() *httptest.ResponseRecorder) {
			t.Helper()
			begun := time.Now()
			got := handle()
			if took := time.Since(begun); took > most {
				t.Errorf("%s: answered after %v", what, took)
			}
			if got.Code != 503 || got.Header().Get(wire.HeadRetry) == "" {
				t.Errorf("%s: %d, %s %q", what, got.Code, wire.HeadRetry, got.Header().Get(wire.HeadRetry))
			}
		}
		order := func() *httptest.ResponseRecorder { return put(e, "5", goodConfiguration) }
		call("order", 600*time.Millisecond, order)
		call("read", 600*time.Millisecond, func() *httptest.ResponseRecorder { return read(e) })
		time.Sleep(tune.Fresh)
		call("order, cut off for long", 200*time.Millisecond, order)
		call("read, cut off for long", 200*time.Millisecond, func() *httptest.ResponseRecorder { return read(e) })
		if e.ready() {
			t.Error("ready while cut off")
		}
		stop()
		<-done
	})
}
