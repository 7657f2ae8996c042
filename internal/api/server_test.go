package api

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/counter"
	"tealpond/internal/daemon"
	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/tracing"
)

// leaderStub stands in for the way to the leader.
type leaderStub = func(context.Context, rpc.Request) rpc.Response

func newTestServer(leader leaderStub) *Server {
	return &Server{log: log.NewNopLogger(), env: daemon.Environment{Trace: tracing.NewRing(64)}, leaderContact: newLeaderContact(),
		limitsStale: make(chan struct{}, 1), callLeader: leader, leaderAddress: func() string { return "" },
		shares: newTenantShares("p", counter.DefaultWindow, time.Now()), leavingCtx: context.Background()}
}

// respondByKind returns one response to each kind of request.
func respondByKind(by map[string]rpc.Response) leaderStub {
	return func(_ context.Context, a rpc.Request) rpc.Response { return by[a.Kind] }
}

// TestReadyOnlyWhileTheLeaderIsInReach: an answer that lay unread while the
// process was frozen says nothing of the leader now.
func TestReadyOnlyWhileTheLeaderIsInReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delay := time.Duration(0)
		s := newTestServer(func(context.Context, rpc.Request) rpc.Response {
			time.Sleep(delay)
			return rpc.Response{Code: 200}
		})
		if s.ready() {
			t.Error("ready before any answer")
		}
		s.Call(t.Context(), rpc.KindRenewMembership, struct{}{})
		if !s.ready() {
			t.Error("not ready after an answer")
		}
		time.Sleep(timing.LeaderContactTimeout - time.Millisecond)
		if !s.ready() {
			t.Error("not ready soon after an answer")
		}
		time.Sleep(time.Millisecond)
		if s.ready() {
			t.Error("ready without an answer for long")
		}
		delay = 20 * time.Second
		s.Call(t.Context(), rpc.KindRenewMembership, struct{}{})
		if s.ready() {
			t.Error("ready by an answer to what was asked before a freeze")
		}
		delay = 0
		s.Call(t.Context(), rpc.KindRenewMembership, struct{}{})
		if !s.ready() {
			t.Error("not ready again")
		}
		s.callLeader = respondByKind(map[string]rpc.Response{rpc.KindRenewMembership: {Code: rpc.CodeNoLeader}})
		time.Sleep(timing.LeaderContactTimeout)
		s.Call(t.Context(), rpc.KindRenewMembership, struct{}{})
		if s.ready() {
			t.Error("ready by an answer that no leader gave")
		}
	})
}

// TestNoLeaderOnlyIfTheLocalReplicaRefused: "surely not taken" is wrong where the own
// replica may have the request in its log.
func TestNoLeaderOnlyIfTheLocalReplicaRefused(t *testing.T) {
	nobody := func(context.Context, rpc.Request) rpc.Response { return rpc.Response{Code: rpc.CodeNoLeader} }
	for _, c := range []struct {
		name string
		own  rpc.Code // 0: no answer
		want rpc.Code
	}{
		{"not the leader", rpc.CodeNotLeader, rpc.CodeNoLeader},
		{"the term was lost", rpc.CodeLeadershipLost, rpc.CodeTimeout},
		{"silent", 0, rpc.CodeTimeout},
		{"answered", 412, 412},
	} {
		synctest.Test(t, func(t *testing.T) {
			got := callLocalThenLeader(t.Context(), rpc.Request{}, func(_ rpc.Request, reply func(rpc.Response)) {
				if c.own != 0 {
					reply(rpc.Response{Code: c.own})
				}
			}, nobody)
			if got.Code != c.want {
				t.Errorf("%s: %d, want %d", c.name, got.Code, c.want)
			}
		})
	}
}
