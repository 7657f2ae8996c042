package state

import (
	"fmt"
	"slices"
	"testing"

	"tealpond/internal/protocol"
)

// newRunningFixture makes a state with n tasks of job j running on worker a.
func newRunningFixture(t *testing.T, n int, step protocol.Step) (*fixture, *Worker) {
	t.Helper()
	f := newFixture(t)
	worker := f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	step.TaskCount = n
	f.submit("j", step)
	var placements []Placement
	for i := range n {
		placements = append(placements, placementOn(worker, i))
	}
	if f.applyPlan("j", 0, step.Gang, placements...) != 0 || len(f.store.Allocations) != n {
		t.Fatalf("%d of %d runs were allocated", len(f.store.Allocations), n)
	}
	return f, worker
}

func doneCompletion(sequence int64, index, run int) protocol.Completion {
	return protocol.Completion{Sequence: sequence, Task: fmt.Sprintf("j.0.0.%d", index), Run: run, Result: "done"}
}

// TestCompletionsAreAcceptedAsAPrefix guards against completions that are lost for good: of
// two reports in flight the first was lost, the second raised LastCompletion above both, the
// runner deleted both, and the run of the first stayed allocated permanently.
func TestCompletionsAreAcceptedAsAPrefix(t *testing.T) {
	f, a := newRunningFixture(t, 4, protocol.Step{})
	for i, c := range []struct {
		completions []protocol.Completion
		fromOldest  bool
		last        int64
		open        int
		fault       string
	}{
		{[]protocol.Completion{doneCompletion(2, 1, 1)}, false, 0, 4, ""},                                     // beyond a gap
		{[]protocol.Completion{doneCompletion(2, 1, 1), doneCompletion(1, 0, 1)}, false, 0, 4, ""},            // out of order
		{[]protocol.Completion{doneCompletion(1, 0, 1), doneCompletion(3, 2, 1)}, false, 1, 3, ""},            // a gap inside
		{[]protocol.Completion{doneCompletion(1, 0, 1), doneCompletion(2, 1, 1)}, true, 2, 2, ""},             // the first one repeated
		{[]protocol.Completion{doneCompletion(1, 0, 1)}, false, 2, 2, ""},                                     // late duplicate
		{[]protocol.Completion{doneCompletion(5, 3, 1)}, true, 5, 1, CompletionsLost + ": 3 to 4"},            // the runner has deleted 3 and 4
		{[]protocol.Completion{doneCompletion(6, 0, 1)}, false, 6, 1, ""},                                     // run has already ended
		{[]protocol.Completion{doneCompletion(7, 0, 2)}, false, 7, 1, CompletionOfUnknownRun + ": j.0.0.0/2"}, // run was never allocated
		{[]protocol.Completion{doneCompletion(3, 2, 1)}, false, 7, 0, CompletionOfOpenRun + ": j.0.0.2/1"},    // acknowledged, but the run is open
		{[]protocol.Completion{{Task: "j.0.0.0", Run: 1, Result: "stopped"}}, false, 7, 0, ""},                // not part of the sequence
		{[]protocol.Completion{{Sequence: 9, Task: "none.0.0.0", Run: 1, Result: "done"}}, false, 7, 0, ""},   // another gap
	} {
		o := f.apply(&ReportCompletions{Worker: "a", Fence: a.Fence, Completions: c.completions, FromOldest: c.fromOldest})
		if o.Code != CodeOK || o.Value != c.last || a.LastCompletion != c.last || len(f.store.Allocations) != c.open || o.Text != c.fault {
			t.Errorf("%d: code %d, last %d (want %d), open %d (want %d), fault %q (want %q)",
				i, o.Code, o.Value, c.last, len(f.store.Allocations), c.open, o.Text, c.fault)
		}
	}
	if status := f.jobStatus(); status != "done" {
		t.Errorf("job status %s, want done", status)
	}
}

// TestLateCompletionsOfEndedRuns checks that a late completion of a run that was ended in
// another way changes only the number of the last completion.
func TestLateCompletionsOfEndedRuns(t *testing.T) {
	t.Run("lease expired", func(t *testing.T) {
		f, a := newRunningFixture(t, 1, protocol.Step{})
		f.apply(&ExpireLeases{Workers: []FencedWorker{{ID: "a", Fence: f.store.Workers["a"].Fence}}})
		o := f.apply(&ReportCompletions{Worker: "a", Fence: a.Fence, Completions: []protocol.Completion{doneCompletion(1, 0, 1)}})
		if status := f.jobStatus(); o.Value != 1 || o.Text != "" || status == "done" {
			t.Errorf("after late completion of an expired run: last %d, fault %q, job %s; want 1, no fault, job not done",
				o.Value, o.Text, status)
		}
	})
	t.Run("canceled", func(t *testing.T) {
		f, a := newRunningFixture(t, 1, protocol.Step{})
		f.apply(&CancelJob{ID: "j"})
		f.apply(&ReportCompletions{Worker: "a", Fence: a.Fence, Completions: []protocol.Completion{doneCompletion(1, 0, 1)}})
		if status := f.jobStatus(); status != "called_off" || len(f.store.Allocations) != 0 || a.UsedMilliCPU != 0 {
			t.Errorf("job %s, %d runs open; want called_off and 0", status, len(f.store.Allocations))
		}
	})
	t.Run("gang", func(t *testing.T) {
		f, a := newRunningFixture(t, 3, protocol.Step{Gang: true})
		f.apply(&ReportCompletions{Worker: "a", Fence: a.Fence, Completions: []protocol.Completion{
			{Task: "j.0.0.1", Run: 1, Result: "lapsed"}, doneCompletion(1, 0, 1), {Sequence: 2, Task: "j.0.0.2", Run: 1, Result: "broken"}}})
		if status := f.jobStatus(); status != "done" || len(f.store.Allocations) != 0 {
			t.Errorf("after one member of the gang is done: job %s, %d runs open; want done and 0",
				status, len(f.store.Allocations))
		}
		for _, r := range f.store.TakeEndedRuns() {
			if !slices.Contains([]string{"lapsed", "done", "broken"}, r.Result) {
				t.Errorf("run closed with unexpected result %s", r.Result)
			}
		}
	})
	t.Run("older fence", func(t *testing.T) {
		f, a := newRunningFixture(t, 1, protocol.Step{})
		olderFence := a.Fence
		f.apply(&RegisterWorker{ID: "a", Node: "n-a", Service: "s", LeavesInMs: -1})
		o := f.apply(&ReportCompletions{Worker: "a", Fence: olderFence, Completions: []protocol.Completion{{Task: "j.0.0.0", Run: 1, Result: "refused"}}})
		if o.Code != CodeConflict || len(f.store.Allocations) != 1 {
			t.Errorf("report with an older fence: code %d, %d runs open; want CodeConflict and 1", o.Code, len(f.store.Allocations))
		}
	})
}

// TestLeaseExpiryWithOlderFenceEndsNoRuns covers a worker that was silent for a long time but
// was registered again and got work before the command that expires its lease was applied.
func TestLeaseExpiryWithOlderFenceEndsNoRuns(t *testing.T) {
	f, a := newRunningFixture(t, 2, protocol.Step{})
	expired := FencedWorker{ID: "a", Fence: a.Fence}
	f.apply(&RegisterWorker{ID: "a", Node: "n-a", Service: "s", LeavesInMs: -1})
	f.apply(&ExpireLeases{Workers: []FencedWorker{expired}})
	if a.LeaseExpired || len(f.store.Allocations) != 2 {
		t.Errorf("lease expired %v, %d of 2 runs are still allocated", a.LeaseExpired, len(f.store.Allocations))
	}
}
