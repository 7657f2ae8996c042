package agent

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// TestLostCompletionBatchIsReportedAgain: the first of two batches in flight is lost.
func TestLostCompletionBatchIsReportedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		f.dropReport = func(e *state.ReportCompletions) bool {
			return len(e.Completions) == 1 && e.Completions[0].Sequence == 1
		}
		f.listCompletions(0)
		f.handleEvents()
		f.listCompletions(0, 1)
		f.handleEvents()
		f.check(2, 1)
		f.listCompletions(2)
		f.handleEvents()
		f.check(3, 0)
		// The request with the first batch times out at last; nothing is reported again.
		reported := f.reports
		time.Sleep(time.Minute)
		f.handleEvents()
		f.check(3, 0)
		if f.reports != reported {
			t.Errorf("%d more reports after the time-out, want none", f.reports-reported)
		}
	})
}

// TestCompletionsUnderStaleFenceAreReportedAgain: a report that arrives after another registration
// is neither applied nor acknowledged.
func TestCompletionsUnderStaleFenceAreReportedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		f.execute(state.CommandRegisterWorker, &state.RegisterWorker{ID: "w", Node: "n", Service: "s", LeavesInMs: -1})
		f.listCompletions(0, 1)
		f.handleEvents()
		f.check(0, 2)
		if f.session.fence != f.state.Workers["w"].Fence {
			t.Fatal("the runner was not registered again")
		}
		f.assign(0)
		f.listCompletions(0, 1)
		f.handleEvents()
		f.check(2, 0)
	})
}

// TestAssignmentOfCompletedRunReportsCompletionAgain guards against two failures. A leader was
// isolated while a completion was in transit to it. The next leader did not know the completion and
// assigned the run again; the runner had no resources left and refused it, and the refusal closed
// the allocation before the completion did, so the task ran twice (TWICE; scale-1, seed 15). In the
// other, a completion was lost although it had been acknowledged; the agent silently ignored the
// new assignments of its run, which hid the loss as long as the agent ran.
func TestAssignmentOfCompletedRunReportsCompletionAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3)
		f.assign(0)
		if len(f.session.runs) != 1 {
			t.Fatal("the assignment was not accepted")
		}
		f.dropReport = func(e *state.ReportCompletions) bool { return true }
		f.listCompletions(0)
		f.handleEvents()
		f.assign(0)
		if len(f.session.runs) != 0 {
			t.Error("a run whose completion is being reported was accepted again")
		}
		f.dropReport = nil
		time.Sleep(30 * time.Second)
		f.handleEvents()
		f.listCompletions(0)
		f.handleEvents()
		f.check(1, 2)

		// The completion is committed, but its run is still open.
		f.session.recordCompletion(protocol.Completion{Sequence: 1, Task: "j.0.0.1", Run: 1, Result: "done"}, f.agent.now)
		f.assign(1)
		f.handleEvents()
		f.check(1, 1)
		reported := f.reports
		f.assign(1)
		f.assign(1)
		f.handleEvents()
		if f.check(1, 1); f.reports != reported+1 || len(f.session.runs) != 0 {
			t.Errorf("%d reports for two concurrent assignments and %d runs, want 1 and 0",
				f.reports-reported, len(f.session.runs))
		}
		f.assign(2)
		if len(f.session.runs) != 1 {
			t.Error("the assignment of another run was not accepted")
		}
	})
}

// TestUncommittedCompletionsAreNotForgotten: a completion is deleted once it is old and committed,
// and never before.
func TestUncommittedCompletionsAreNotForgotten(t *testing.T) {
	session := &runnerSession{committedSequence: 600}
	now := time.Unix(1000, 0)
	for i := int64(1); i <= 1000; i++ {
		session.recordCompletion(
			protocol.Completion{Sequence: i, Task: fmt.Sprintf("j.0.0.%d", i), Run: 1, Result: "done"}, now)
	}
	session.recordCompletion(
		protocol.Completion{Sequence: 1001, Task: "k.0.0.0", Run: 1, Result: "done"}, now.Add(time.Minute))
	if len(session.completed) != 401 || session.completed["j.0.0.601/1"] == nil {
		t.Errorf("%d completions are kept, want 401 with the first uncommitted one", len(session.completed))
	}
	session.recordCompletion(protocol.Completion{Task: "k.0.0.0", Run: 1, Result: "stopped"}, now.Add(time.Minute))
	if session.completed["k.0.0.0/1"].completion.Result != "done" {
		t.Error("the listed result of a run was overwritten by a declared one")
	}
}
