package api

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/clock"
	"tealpond/internal/counter"
	"tealpond/internal/daemon"
	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/tracing"
)

// leaderStub replaces requests to the leader.
type leaderStub = func(context.Context, rpc.Request) rpc.Response

func newTestServer(leader leaderStub) *Server {
	return &Server{log: log.NewNopLogger(), env: daemon.Environment{Trace: tracing.NewRing(64)}, leaderContact: newLeaderContact(), pauses: &clock.PauseDetector{},
		limitsStale: make(chan struct{}, 1), callLeader: leader, leaderAddress: func() string { return "" },
		shares: newTenantShares("p", counter.DefaultWindow, time.Now()), shutdownCtx: context.Background()}
}

// respondByKind returns a stub with one response for each kind of request.
func respondByKind(by map[string]rpc.Response) leaderStub {
	return func(_ context.Context, a rpc.Request) rpc.Response { return by[a.Kind] }
}

// TestReadyOnlyWhileTheLeaderIsReachable checks that a response that was read only after the
// process had been frozen does not count as recent contact with the leader.
func TestReadyOnlyWhileTheLeaderIsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delay := time.Duration(0)
		s := newTestServer(func(context.Context, rpc.Request) rpc.Response {
			time.Sleep(delay)
			return rpc.Response{Code: 200}
		})
		if s.ready() {
			t.Error("ready before any response")
		}
		s.Call(t.Context(), rpc.KindRenewMembership, struct{}{})
		if !s.ready() {
			t.Error("not ready after a response")
		}
		time.Sleep(timing.LeaderContactTimeout - time.Millisecond)
		if !s.ready() {
			t.Error("not ready within the contact timeout")
		}
		time.Sleep(time.Millisecond)
		if s.ready() {
			t.Error("ready after the contact timeout")
		}
		delay = 20 * time.Second
		s.Call(t.Context(), rpc.KindRenewMembership, struct{}{})
		if s.ready() {
			t.Error("ready after a response to a request sent before a freeze")
		}
		delay = 0
		s.Call(t.Context(), rpc.KindRenewMembership, struct{}{})
		if !s.ready() {
			t.Error("not ready after contact was restored")
		}
		s.callLeader = respondByKind(map[string]rpc.Response{rpc.KindRenewMembership: {Code: rpc.CodeNoLeader}})
		time.Sleep(timing.LeaderContactTimeout)
		s.Call(t.Context(), rpc.KindRenewMembership, struct{}{})
		if s.ready() {
			t.Error("ready after a response that did not come from a leader")
		}
	})
}

// TestNoLeaderOnlyIfTheLocalReplicaRejected checks that a request is not reported as not accepted
// if the local replica may have appended it to its log.
func TestNoLeaderOnlyIfTheLocalReplicaRejected(t *testing.T) {
	noLeader := func(context.Context, rpc.Request) rpc.Response { return rpc.Response{Code: rpc.CodeNoLeader} }
	for _, c := range []struct {
		name      string
		localCode rpc.Code // 0: no response
		want      rpc.Code
	}{
		{"not the leader", rpc.CodeNotLeader, rpc.CodeNoLeader},
		{"leadership lost", rpc.CodeLeadershipLost, rpc.CodeTimeout},
		{"no response", 0, rpc.CodeTimeout},
		{"response", 412, 412},
	} {
		synctest.Test(t, func(t *testing.T) {
			got := callLocalThenLeader(t.Context(), rpc.Request{}, func(_ rpc.Request, reply func(rpc.Response)) {
				if c.localCode != 0 {
					reply(rpc.Response{Code: c.localCode})
				}
			}, noLeader)
			if got.Code != c.want {
				t.Errorf("%s: code %d, want %d", c.name, got.Code, c.want)
			}
		})
	}
}
