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
	var items []Placement
	for i := range n {
		items = append(items, placementOn(worker, i))
	}
	if f.applyPlan("j", 0, step.Gang, items...) != 0 || len(f.store.Allocations) != n {
		t.Fatalf("%d of %d were booked", len(f.store.Allocations), n)
	}
	return f, worker
}

func doneCompletion(sequence int64, index, run int) protocol.Completion {
	return protocol.Completion{Sequence: sequence, Task: fmt.Sprintf("j.0.0.%d", index), Run: run, Result: "done"}
}

// TestCompletionsAreAcceptedAsAPrefix: of two reports under way the first was
// lost. The second raised LastCompletion above both, the runner forgot both, and
// the run of the first was allocated permanently.
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
		{[]protocol.Completion{doneCompletion(2, 1, 1), doneCompletion(1, 0, 1)}, false, 0, 4, ""},            // not in order
		{[]protocol.Completion{doneCompletion(1, 0, 1), doneCompletion(3, 2, 1)}, false, 1, 3, ""},            // a gap inside
		{[]protocol.Completion{doneCompletion(1, 0, 1), doneCompletion(2, 1, 1)}, true, 2, 2, ""},             // the first again
		{[]protocol.Completion{doneCompletion(1, 0, 1)}, false, 2, 2, ""},                                     // late and doubled
		{[]protocol.Completion{doneCompletion(5, 3, 1)}, true, 5, 1, CompletionsLost + ": 3 to 4"},            // the runner has no more
		{[]protocol.Completion{doneCompletion(6, 0, 1)}, false, 6, 1, ""},                                     // known to be over
		{[]protocol.Completion{doneCompletion(7, 0, 2)}, false, 7, 1, CompletionOfUnknownRun + ": j.0.0.0/2"}, // never booked
		{[]protocol.Completion{doneCompletion(3, 2, 1)}, false, 7, 0, CompletionOfOpenRun + ": j.0.0.2/1"},    // acknowledged, yet open
		{[]protocol.Completion{{Task: "j.0.0.0", Run: 1, Result: "stopped"}}, false, 7, 0, ""},                // outside the numbering
		{[]protocol.Completion{{Sequence: 9, Task: "none.0.0.0", Run: 1, Result: "done"}}, false, 7, 0, ""},   // a gap again
	} {
		o := f.apply(&ReportCompletions{Worker: "a", Fence: a.Fence, Completions: c.completions, FromOldest: c.fromOldest})
		if o.Code != CodeOK || o.Value != c.last || a.LastCompletion != c.last || len(f.store.Allocations) != c.open || o.Text != c.fault {
			t.Errorf("%d: code %d, last %d (want %d), open %d (want %d), fault %q (want %q)",
				i, o.Code, o.Value, c.last, len(f.store.Allocations), c.open, o.Text, c.fault)
		}
	}
	if status := f.status(); status != "done" {
		t.Errorf("the job is %s", status)
	}
}

// TestLateCompletionsOfClosedRuns: what comes late for a run that was closed
// otherwise changes nothing but the number of the last completion.
func TestLateCompletionsOfClosedRuns(t *testing.T) {
	t.Run("lease expired", func(t *testing.T) {
		f, a := newRunningFixture(t, 1, protocol.Step{})
		f.apply(&ExpireLeases{Workers: []FencedWorker{{ID: "a", Fence: f.store.Workers["a"].Fence}}})
		o := f.apply(&ReportCompletions{Worker: "a", Fence: a.Fence, Completions: []protocol.Completion{doneCompletion(1, 0, 1)}})
		if status := f.status(); o.Value != 1 || o.Text != "" || status == "done" {
			t.Errorf("a run whose lease expired counts: last %d, %q, job %s", o.Value, o.Text, status)
		}
	})
	t.Run("canceled", func(t *testing.T) {
		f, a := newRunningFixture(t, 1, protocol.Step{})
		f.apply(&CancelJob{ID: "j"})
		f.apply(&ReportCompletions{Worker: "a", Fence: a.Fence, Completions: []protocol.Completion{doneCompletion(1, 0, 1)}})
		if status := f.status(); status != "called_off" || len(f.store.Allocations) != 0 || a.UsedMilliCPU != 0 {
			t.Errorf("job %s, open %d", status, len(f.store.Allocations))
		}
	})
	t.Run("gang", func(t *testing.T) {
		f, a := newRunningFixture(t, 3, protocol.Step{Gang: true})
		f.apply(&ReportCompletions{Worker: "a", Fence: a.Fence, Completions: []protocol.Completion{
			{Task: "j.0.0.1", Run: 1, Result: "lapsed"}, doneCompletion(1, 0, 1), {Sequence: 2, Task: "j.0.0.2", Run: 1, Result: "broken"}}})
		if status := f.status(); status != "done" || len(f.store.Allocations) != 0 {
			t.Errorf("one done run counts for all: job %s, open %d", status, len(f.store.Allocations))
		}
		for _, r := range f.store.TakeClosedRuns() {
			if !slices.Contains([]string{"lapsed", "done", "broken"}, r.Result) {
				t.Errorf("closed as %s", r.Result)
			}
		}
	})
	t.Run("older fence", func(t *testing.T) {
		f, a := newRunningFixture(t, 1, protocol.Step{})
		old := a.Fence
		f.apply(&RegisterWorker{ID: "a", Node: "n-a", Service: "s", LeavesInMs: -1})
		o := f.apply(&ReportCompletions{Worker: "a", Fence: old, Completions: []protocol.Completion{{Task: "j.0.0.0", Run: 1, Result: "refused"}}})
		if o.Code != CodeConflict || len(f.store.Allocations) != 1 {
			t.Errorf("a refusal under an older fence: %d, open %d", o.Code, len(f.store.Allocations))
		}
	})
}

// TestLeaseExpiryUnderAnOlderFenceFreesNothing: a worker was silent for long, and
// was registered again and given work before the command was applied that ends
// its runs.
func TestLeaseExpiryUnderAnOlderFenceFreesNothing(t *testing.T) {
	f, a := newRunningFixture(t, 2, protocol.Step{})
	decided := FencedWorker{ID: "a", Fence: a.Fence}
	f.apply(&RegisterWorker{ID: "a", Node: "n-a", Service: "s", LeavesInMs: -1})
	f.apply(&ExpireLeases{Workers: []FencedWorker{decided}})
	if a.LeaseExpired || len(f.store.Allocations) != 2 {
		t.Errorf("lease expired %v, %d of 2 runs are still booked", a.LeaseExpired, len(f.store.Allocations))
	}
}
