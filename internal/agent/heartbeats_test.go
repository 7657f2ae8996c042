package agent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
)

// TestIncarnationIsConfirmedBeforeReplacement: a heartbeat of an older incarnation arrives after
// those of the current one. A registration for it would end the current incarnation, a failure that
// the model test found. If the runner responds that it is another incarnation, an agent that knows
// the current one keeps its session, and an agent that was just started creates none.
func TestIncarnationIsConfirmedBeforeReplacement(t *testing.T) {
	for code, want := range map[int]string{421: "w", 0: "w", 409: "w2"} {
		for _, restarted := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				f, runner := newFixtureWithRunner(t)
				f.agent.settings.NodeName = "n"
				if restarted {
					f.agent.session = nil
				}
				runner.respond(pathKeepAlive, RunnerResponse{StatusCode: code, Run: protocol.RunResponse{Reason: "fence"}})
				request := &heartbeatRequest{id: "w2", heartbeat: protocol.Heartbeat{Service: "s", Sequence: 1}, status: make(chan int, 1)}
				f.agent.handle(event{heartbeat: request})
				f.handleEvents()
				time.Sleep(time.Second)
				f.handleEvents()
				for id, w := range f.state.Workers {
					if w.Dead == (id == want) {
						t.Errorf("%d, restarted %v: %s is dead: %v", code, restarted, id, w.Dead)
					}
				}
				if answered := len(request.status) == 1 && <-request.status == 200; answered != (code != 0) {
					t.Errorf("%d, restarted %v: the heartbeat was acknowledged: %v", code, restarted, answered)
				}
				session := f.agent.session
				if kept := session == f.session && !session.superseded; kept != (code == 421 && !restarted) {
					t.Errorf("%d, restarted %v: session belongs to %s", code, restarted, session.id)
				}
				if session.superseded != (code == 421 && restarted) {
					t.Errorf("%d, restarted %v: superseded %v", code, restarted, session.superseded)
				}
			})
		}
	}
}

// TestLateHeartbeatDoesNotOverrideNewerOne: a heartbeat with a lower callSeq arrives seconds after
// a newer one; it is acknowledged, and the newer one stays in effect.
func TestLateHeartbeatDoesNotOverrideNewerOne(t *testing.T) {
	for newer, late := range map[string]string{"draining": "ready", "ready": "draining"} {
		t.Run(newer, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _ := newDrainingFixture(t)
				f.heartbeat("w", newer, 9)
				time.Sleep(3 * time.Second)
				if code := f.heartbeat("w", late, 8); code != 200 {
					t.Errorf("late heartbeat: status %d, want 200", code)
				}
				session, w := f.session, f.state.Workers["w"]
				if w.Draining != (newer == "draining") || session.heartbeat.State != newer || session.heartbeatSequence != 9 {
					t.Errorf("worker draining %v; newest heartbeat of the agent is %d, %s",
						w.Draining, session.heartbeatSequence, session.heartbeat.State)
				}
			})
		})
	}
}

// TestLateHeartbeatOfEndedIncarnationIsIgnored: the current incarnation, which was registered after
// it, keeps its session with its lease, its runs and the completions that were read.
func TestLateHeartbeatOfEndedIncarnationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, runner := newDrainingFixture(t)
		runner.respond(pathKeepAlive, RunnerResponse{StatusCode: 409, Run: protocol.RunResponse{Reason: "fence"}})
		f.heartbeat("w2", "ready", 1)
		current := f.agent.session
		if current.id != "w2" || current.fence == 0 || !f.state.Workers["w"].Dead {
			t.Fatalf("new incarnation was not registered: %+v", current)
		}
		time.Sleep(3 * time.Second)
		if code := f.heartbeat("w", "ready", 6); code != 200 {
			t.Errorf("late heartbeat: status %d, want 200", code)
		}
		if f.agent.session != current || current.superseded {
			t.Errorf("session of the current incarnation was replaced by one of %s", f.agent.session.id)
		}
	})
}

// testDrainMs is how long a runner of these tests keeps running after its sign-off.
const testDrainMs = 2500

// newDrainingFixture returns a fixture with the runner w, whose newest heartbeat has sequence 7.
func newDrainingFixture(t *testing.T) (*fixture, *scriptedRunner) {
	t.Helper()
	f, runner := newFixtureWithRunner(t)
	f.agent.settings.NodeName = "n"
	f.agent.settings.Bounds.DrainMs = testDrainMs
	f.session.heartbeatSequence = 7
	return f, runner
}

// TestSignOffWithoutDrainingGetsDrainTime: a runner that never reported draining keeps running for
// the drain time after its sign-off; one that drained before leaves at once.
func TestSignOffWithoutDrainingGetsDrainTime(t *testing.T) {
	for state, want := range map[string]int64{"ready": testDrainMs, "draining": 0} {
		t.Run(state, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _ := newDrainingFixture(t)
				if code := f.heartbeat("w", state, 8); code != 200 {
					t.Fatalf("heartbeat: status %d, want 200", code)
				}
				if code := f.signOff("w"); code != 200 {
					t.Fatalf("sign-off: status %d, want 200", code)
				}
				f.checkLeavesIn("w", want)
			})
		})
	}
}

// TestRepeatedSignOffDoesNotPostponeLeaving: a sign-off is repeated after its acknowledgement was
// lost.
func TestRepeatedSignOffDoesNotPostponeLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newDrainingFixture(t)
		f.signOff("w")
		time.Sleep(time.Second)
		if code := f.signOff("w"); code != 200 {
			t.Errorf("second sign-off: status %d, want 200", code)
		}
		f.checkLeavesIn("w", testDrainMs-1000)
	})
}

// TestReadyHeartbeatAfterSignOffIsIgnored: neither a late heartbeat nor a newer one of the same
// incarnation cancels the sign-off, not even if the runner is registered again.
func TestReadyHeartbeatAfterSignOffIsIgnored(t *testing.T) {
	for name, seq := range map[string]int64{"sent before": 6, "sent after": 9} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, runner := newDrainingFixture(t)
				f.signOff("w")
				time.Sleep(time.Second)
				if code := f.heartbeat("w", "ready", seq); code != 200 {
					t.Errorf("heartbeat: status %d, want 200", code)
				}
				f.checkLeavesIn("w", testDrainMs-1000)
				f.agent.registerRunner(f.session)
				f.handleEvents()
				f.checkLeavesIn("w", testDrainMs-1000)
				runner.respond(pathStart, RunnerResponse{StatusCode: 200})
				f.assign(0)
				f.advance(500 * time.Millisecond)
				if n := runner.count(pathStart); n != 0 {
					t.Errorf("%d starts on a runner that signed off, want none", n)
				}
			})
		})
	}
}

// TestSignOffAtRestartedAgentIsKept: the agent received no heartbeat before the sign-off, and the
// next heartbeat reports "ready".
func TestSignOffAtRestartedAgentIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newDrainingFixture(t)
		f.agent.session = nil
		if code := f.signOff("w"); code != 200 {
			t.Errorf("sign-off: status %d, want 200", code)
		}
		f.checkLeavesIn("w", testDrainMs)
		if code := f.heartbeat("w", "ready", 9); code != 200 {
			t.Errorf("heartbeat: status %d, want 200", code)
		}
		f.checkLeavesIn("w", testDrainMs)
	})
}

// TestSignOffBeforeRegistrationIsKept: the incarnation signs off before it is registered; the
// heartbeat that leads to its registration reports "ready".
func TestSignOffBeforeRegistrationIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newDrainingFixture(t)
		f.execute(state.CommandSetEligibility, &state.SetEligibility{ID: "w", Draining: true, LeavesInMs: -1})
		f.agent.session = nil
		f.signOff("w2")
		f.heartbeat("w2", "ready", 1)
		f.checkLeavesIn("w2", testDrainMs)
	})
}

// TestUncommittedSignOffIsNotAcknowledged: neither a sign-off nor a later "draining" heartbeat is
// acknowledged before it is committed.
func TestUncommittedSignOffIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newDrainingFixture(t)
		callLeader := f.agent.callLeader
		f.agent.callLeader = noLeader
		if code := f.signOff("w"); code != 503 {
			t.Errorf("sign-off: status %d, want 503", code)
		}
		if code := f.heartbeat("w", "draining", 8); code != 503 {
			t.Errorf("heartbeat: status %d, want 503", code)
		}
		f.agent.callLeader = callLeader
		if code := f.heartbeat("w", "draining", 9); code != 200 || !f.state.Workers["w"].Draining {
			t.Errorf("next heartbeat: status %d, draining %v; want 200, true", code, f.state.Workers["w"].Draining)
		}
	})
}

// TestUnansweredHealthReportIsFollowedByANewerOne guards against a report that a runner is silent which got
// no answer, and reached the leader after the runner was well again: the agent took its report for lost
// and never corrected it. The first reports get no answer, and are applied late.
func TestUnansweredHealthReportIsFollowedByANewerOne(t *testing.T) {
	for unanswered := range 4 {
		t.Run(fmt.Sprint(unanswered), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, runner := newFixtureWithRunner(t)
				f.advance(time.Second)
				var late []*state.ReportEligibility
				f.agent.callLeader = func(ctx context.Context, kind string, body any) rpc.Response {
					if report, ok := body.(*state.ReportEligibility); ok && len(late) < unanswered {
						late = append(late, report)
						<-ctx.Done()
						return rpc.Response{Code: rpc.CodeTimeout}
					}
					return f.callLeader(ctx, kind, body)
				}
				runner.silence(pathKeepAlive)
				for i := 0; i < 500 && f.session.eligibilityReports == 0; i++ {
					f.advance(20 * time.Millisecond)
				}
				runner.respond(pathKeepAlive, listRunning())
				f.advance(10 * time.Second)
				for _, report := range late {
					f.execute(state.CommandReportEligibility, report)
				}
				f.advance(3 * time.Second)
				if len(late) != unanswered || f.state.Workers["w"].Unhealthy {
					t.Errorf("after %d late reports: unhealthy is %v, and the runner is well", len(late), f.state.Workers["w"].Unhealthy)
				}
			})
		})
	}
}

// TestSignOffOfUnknownSessionDoesNotReportHealth guards against an agent that was restarted and takes a
// runner's sign-off: it doesn't know the runner's health, and must not report that it is well.
func TestSignOffOfUnknownSessionDoesNotReportHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.execute(state.CommandReportEligibility, &state.ReportEligibility{ID: "w", Fence: f.session.fence, Number: 1, LeavesInMs: -1, Unhealthy: true})
		f.agent.session = nil
		f.agent.handleSignOff(&signOffRequest{id: "w", status: make(chan int, 1)})
		f.handleEvents()
		if worker := f.state.Workers["w"]; !worker.Draining || !worker.Unhealthy {
			t.Errorf("draining %v, unhealthy %v; want both", worker.Draining, worker.Unhealthy)
		}
	})
}

// TestLeaderOfAnEarlierProgramGetsUnnumberedReports checks that a leader that refuses numbered reports gets
// those that it knows.
func TestLeaderOfAnEarlierProgramGetsUnnumberedReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		f.agent.callLeader = func(ctx context.Context, kind string, body any) rpc.Response {
			if kind == rpc.KindReportEligibility {
				return rpc.Response{Code: rpc.CodeBadRequest, Text: "unknown ask"}
			}
			return f.callLeader(ctx, kind, body)
		}
		f.agent.reportHealth(f.session, true, true)
		f.handleEvents()
		if !f.state.Workers["w"].Unhealthy || f.session.healthUnconfirmed {
			t.Errorf("unhealthy %v, unconfirmed %v; want true and false", f.state.Workers["w"].Unhealthy, f.session.healthUnconfirmed)
		}
	})
}
