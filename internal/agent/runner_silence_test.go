package agent

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// TestUnansweredStartIsVerifiedBeforeRetry: a start without a response is sent again only if lists
// that were read after it contain the run neither as running nor as ended.
func TestUnansweredStartIsVerifiedBeforeRetry(t *testing.T) {
	for name, c := range map[string]struct {
		poll   RunnerResponse
		starts int
	}{
		"the run is listed":     {listRunning("j.0.0.0"), 1},
		"the run is not listed": {listRunning(), 2},
		"the poll is lost":      {RunnerResponse{}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, runner := newFixtureWithRunner(t)
				runner.silence(pathKeepAlive) // a long poll is in flight all the time
				f.advance(5 * time.Millisecond)
				f.assign(0)
				f.advance(200 * time.Millisecond)
				if n := runner.count(pathStart); n != 1 {
					t.Fatalf("%d starts before the lists were read, want 1", n)
				}
				if c.poll.StatusCode != 0 {
					runner.respond(pathKeepAlive, c.poll)
				}
				runner.respond(pathStart, RunnerResponse{StatusCode: 200})
				f.advance(200 * time.Millisecond)
				if n := runner.count(pathStart); n != c.starts {
					t.Errorf("%d starts, want %d", n, c.starts)
				}
			})
		})
	}
}

// TestUnansweredStartIsNotRefused: the runner starts to drain while a start is unanswered. That
// start may still take effect: its allocation stays open until a stop was answered and the lists
// were read after that.
func TestUnansweredStartIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, runner := newFixtureWithRunner(t)
		f.assign(0)
		f.advance(260 * time.Millisecond)
		f.session.heartbeat.State = "draining"
		f.advance(time.Second)
		f.check(0, 1)
		if runner.count(pathStart) != 1 || runner.count(pathStop) == 0 {
			t.Errorf("calls: %v", runner.calls)
		}
		runner.respond(pathStop, RunnerResponse{StatusCode: 200})
		f.advance(time.Second)
		f.check(0, 0)
	})
}

// TestSilenceBeforeFirstListingIsNotRefusal: the runner is registered under a new fence and becomes
// silent before its lists were read. Runs that were started under another fence may still be
// running.
func TestSilenceBeforeFirstListingIsNotRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, runner := newFixtureWithRunner(t)
		runner.silence(pathKeepAlive)
		f.session.listed, f.session.longestRunLeaseUntilMs = false, 5000
		f.assign(0)
		f.advance(4 * time.Second)
		if !f.session.silent(f.agent.now) {
			t.Fatal("the runner does not count as silent")
		}
		f.check(0, 1)
		f.advance(2 * time.Second)
		f.check(0, 0)
		for _, c := range f.state.TakeEndedRuns() {
			if c.Result != "lapsed" {
				t.Errorf("closed as %s, want lapsed", c.Result)
			}
		}
	})
}

// TestReportedRefusalIsFinal: the report of a refusal got no response. It may still be committed at
// any time, so the run is never started.
func TestReportedRefusalIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, runner := newFixtureWithRunner(t)
		f.dropReport = func(*state.ReportCompletions) bool { return true }
		f.session.drainingCommitted = true
		f.assign(0)
		f.advance(100 * time.Millisecond)
		f.session.drainingCommitted = false
		runner.respond(pathStart, RunnerResponse{StatusCode: 200})
		f.advance(25 * time.Second)
		if n := runner.count(pathStart); n != 0 {
			t.Errorf("%d starts after a refusal was reported", n)
		}
		f.dropReport = nil
		f.advance(25 * time.Second)
		f.check(0, 0)
	})
}

// TestTruncatedListIsInconclusive: a run whose completion is beyond the first 500 is neither
// running nor ended by the list, and must not be started.
func TestTruncatedListIsInconclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, runner := newFixtureWithRunner(t)
		f.dropReport = func(*state.ReportCompletions) bool { return true }
		full := listRunning()
		for i := range 500 {
			full.KeepAlive.Ended = append(full.KeepAlive.Ended, []any{float64(i + 1), fmt.Sprintf("k.0.0.%d", i), float64(1), "done", ""})
		}
		runner.respond(pathKeepAlive, full)
		runner.respond(pathStart, RunnerResponse{StatusCode: 409, Run: protocol.RunResponse{Reason: "room"}})
		f.session.listed = false
		f.assign(0)
		f.advance(3 * time.Second)
		if n := runner.count(pathStart); n != 0 {
			t.Errorf("%d starts before the list was read completely", n)
		}
		f.check(0, 1)
	})
}

// TestOlderPollIsIgnored: the response to an older poll arrives after that to a newer one.
func TestOlderPollIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newFixtureWithRunner(t)
		f.session.lastPoll = 7
		f.agent.handleKeepAlive(f.session, protocol.KeepAliveRequest{}, 7, listRunning())
		f.agent.handleKeepAlive(f.session, protocol.KeepAliveRequest{}, 6, listRunning("j.0.0.0"))
		if len(f.session.runs) != 0 {
			t.Error("the lists of an older poll were applied")
		}
	})
}

// TestListedCompletedRunIsStopped: a run that was reported as ended is listed as running.
func TestListedCompletedRunIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, runner := newFixtureWithRunner(t)
		f.session.recordCompletion(protocol.Completion{Task: "j.0.0.0", Run: 1, Result: "stopped"}, time.Now())
		runner.respond(pathKeepAlive, listRunning("j.0.0.0"))
		f.advance(50 * time.Millisecond)
		if runner.count(pathStop) == 0 {
			t.Error("the run was not stopped")
		}
	})
}
