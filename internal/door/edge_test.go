package door

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/kernel"
	"tealpond/internal/member"
	"tealpond/internal/tracing"
	"tealpond/internal/tune"
)

// leaderFunc stands in for the way to the leader.
type leaderFunc = func(context.Context, member.Ask) member.Answer

func newTestEdge(leader leaderFunc) *Edge {
	return &Edge{log: log.NewNopLogger(), base: kernel.Base{Trace: tracing.NewRing(64)}, contact: newContact(),
		pull: make(chan struct{}, 1), route: leader, leader: func() string { return "" }}
}

// answers gives one answer to each kind of ask.
func answers(by map[string]member.Answer) leaderFunc {
	return func(_ context.Context, a member.Ask) member.Answer { return by[a.Kind] }
}

// TestReadyOnlyWhileTheLeaderIsInReach: an answer that lay unread while the
// process was frozen says nothing of the leader now.
func TestReadyOnlyWhileTheLeaderIsInReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pause := time.Duration(0)
		e := newTestEdge(func(context.Context, member.Ask) member.Answer {
			time.Sleep(pause)
			return member.Answer{Code: 200}
		})
		if e.ready() {
			t.Error("ready before any answer")
		}
		e.Ask(t.Context(), member.AskClaim, struct{}{})
		if !e.ready() {
			t.Error("not ready after an answer")
		}
		time.Sleep(tune.Fresh - time.Millisecond)
		if !e.ready() {
			t.Error("not ready soon after an answer")
		}
		time.Sleep(time.Millisecond)
		if e.ready() {
			t.Error("ready without an answer for long")
		}
		pause = 20 * time.Second
		e.Ask(t.Context(), member.AskClaim, struct{}{})
		if e.ready() {
			t.Error("ready by an answer to what was asked before a freeze")
		}
		pause = 0
		e.Ask(t.Context(), member.AskClaim, struct{}{})
		if !e.ready() {
			t.Error("not ready again")
		}
		e.route = answers(map[string]member.Answer{member.AskClaim: {Code: member.NoLeader}})
		time.Sleep(tune.Fresh)
		e.Ask(t.Context(), member.AskClaim, struct{}{})
		if e.ready() {
			t.Error("ready by an answer that no leader gave")
		}
	})
}

// TestNotTakenOnlyIfTheOwnCoreDidNot: "surely not taken" is wrong where the own
// core may have the order in its log.
func TestNotTakenOnlyIfTheOwnCoreDidNot(t *testing.T) {
	nobody := func(context.Context, member.Ask) member.Answer { return member.Answer{Code: member.NoLeader} }
	for _, c := range []struct {
		name string
		own  int // 0: no answer
		want int
	}{{"not the leader", member.NotLead, member.NoLeader}, {"the term was lost", member.Unclear, member.Lost}, {"silent", 0, member.Lost}, {"answered", 412, 412}} {
		synctest.Test(t, func(t *testing.T) {
			got := askBoth(t.Context(), member.Ask{}, func(_ member.Ask, reply func(member.Answer)) {
				if c.own != 0 {
					reply(member.Answer{Code: c.own})
				}
			}, nobody)
			if got.Code != c.want {
				t.Errorf("%s: %d, want %d", c.name, got.Code, c.want)
			}
		})
	}
}
