package state

import (
	"fmt"
	"strings"
	"testing"

	"tealpond/internal/protocol"
)

// newRunningFixture gives a state with n tasks of job j running on worker a.
func newRunningFixture(t *testing.T, n int, step protocol.Step) (*fixture, *Worker) {
	t.Helper()
	f := newFixture(t)
	worker := f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	step.TaskCount = n
	f.submit("j", step)
	var items []Placement
	for i := range n {
		items = append(items, Placement{TaskIndex: i, Worker: "a", WorkerVersion: worker.Version})
	}
	if f.applyPlan("j", 0, step.Gang, items...) != 0 || len(f.store.Allocations) != n {
		t.Fatalf("%d of %d were booked", len(f.store.Allocations), n)
	}
	return f, worker
}

func doneCompletion(n int64, index, run int) protocol.Completion {
	return protocol.Completion{Sequence: n, Task: fmt.Sprintf("j.0.0.%d", index), Run: run, Result: "done"}
}

// TestCompletionsAreAcceptedAsAPrefix: a day of qurum-play broke TWICE. Of two batches of ends
// under way the first was lost; the second raised Seen above both, the runner
// forgot both, and the run of the first was booked for good.
func TestCompletionsAreAcceptedAsAPrefix(t *testing.T) {
	f, a := newRunningFixture(t, 4, protocol.Step{})
	for i, c := range []struct {
		ends  []protocol.Completion
		first bool
		seen  int64
		open  int
		text  string
	}{
		{[]protocol.Completion{doneCompletion(2, 1, 1)}, false, 0, 4, ""},                                     // beyond a gap
		{[]protocol.Completion{doneCompletion(2, 1, 1), doneCompletion(1, 0, 1)}, false, 0, 4, ""},            // not in order
		{[]protocol.Completion{doneCompletion(1, 0, 1), doneCompletion(3, 2, 1)}, false, 1, 3, ""},            // a gap inside
		{[]protocol.Completion{doneCompletion(1, 0, 1), doneCompletion(2, 1, 1)}, true, 2, 2, ""},             // the first again
		{[]protocol.Completion{doneCompletion(1, 0, 1)}, false, 2, 2, ""},                                     // late and doubled
		{[]protocol.Completion{doneCompletion(5, 3, 1)}, true, 5, 1, CompletionsLost + ": 3 to 4"},            // the runner holds no more
		{[]protocol.Completion{doneCompletion(6, 0, 1)}, false, 6, 1, ""},                                     // known to be over
		{[]protocol.Completion{doneCompletion(7, 0, 2)}, false, 7, 1, CompletionOfUnknownRun + ": j.0.0.0/2"}, // never booked
		{[]protocol.Completion{doneCompletion(3, 2, 1)}, false, 7, 0, CompletionOfOpenRun + ": j.0.0.2/1"},    // acknowledged, yet open
		{[]protocol.Completion{{Task: "j.0.0.0", Run: 1, Result: "stopped"}}, false, 7, 0, ""},                // outside the numbering
		{[]protocol.Completion{{Sequence: 9, Task: "none.0.0.0", Run: 1, Result: "done"}}, false, 7, 0, ""},   // a gap again
	} {
		o := f.apply("ends", &ReportCompletions{Worker: "a", Fence: a.Fence, Completions: c.ends, FromOldest: c.first})
		if o.Code != 200 || o.Value != c.seen || a.LastCompletion != c.seen || len(f.store.Allocations) != c.open || o.Text != c.text {
			t.Errorf("%d: answered %d, N %d (want %d), open %d (want %d), text %q (want %q)", i, o.Code, o.Value, c.seen, len(f.store.Allocations), c.open, o.Text, c.text)
		}
	}
	if word, _ := f.store.JobStatus("j"); word != "done" {
		t.Errorf("the job is %s", word)
	}
}

// TestLateCompletionsOfClosedRuns: what comes late for a run that was closed
// otherwise changes nothing but the number seen.
func TestLateCompletionsOfClosedRuns(t *testing.T) {
	t.Run("lapsed", func(t *testing.T) {
		f, a := newRunningFixture(t, 1, protocol.Step{})
		f.apply("lapse", &ExpireLeases{Workers: []FencedWorker{{ID: "a", Fence: f.store.Workers["a"].Fence}}})
		o := f.apply("ends", &ReportCompletions{Worker: "a", Fence: a.Fence, Completions: []protocol.Completion{doneCompletion(1, 0, 1)}})
		if word, _ := f.store.JobStatus("j"); o.Value != 1 || o.Text != "" || word == "done" {
			t.Errorf("a lapsed run counts: N %d, %q, job %s", o.Value, o.Text, word)
		}
	})
	t.Run("called off", func(t *testing.T) {
		f, a := newRunningFixture(t, 1, protocol.Step{})
		f.apply("cancel", &CancelJob{ID: "j"})
		f.apply("ends", &ReportCompletions{Worker: "a", Fence: a.Fence, Completions: []protocol.Completion{doneCompletion(1, 0, 1)}})
		if word, _ := f.store.JobStatus("j"); word != "called_off" || len(f.store.Allocations) != 0 || a.UsedMilliCPU != 0 {
			t.Errorf("job %s, open %d", word, len(f.store.Allocations))
		}
	})
	t.Run("gang", func(t *testing.T) {
		f, a := newRunningFixture(t, 3, protocol.Step{Gang: true})
		f.apply("ends", &ReportCompletions{Worker: "a", Fence: a.Fence, Completions: []protocol.Completion{
			{Task: "j.0.0.1", Run: 1, Result: "lapsed"}, doneCompletion(1, 0, 1), {Sequence: 2, Task: "j.0.0.2", Run: 1, Result: "broken"}}})
		if word, _ := f.store.JobStatus("j"); word != "done" || len(f.store.Allocations) != 0 {
			t.Errorf("one done end counts for all: job %s, open %d", word, len(f.store.Allocations))
		}
		for _, r := range f.store.TakeClosedRuns() {
			if !strings.Contains("lapsed done broken", r.Result) {
				t.Errorf("closed as %s", r.Result)
			}
		}
	})
	t.Run("older fence", func(t *testing.T) {
		f, a := newRunningFixture(t, 1, protocol.Step{})
		old := a.Fence
		f.apply("takeup", &RegisterWorker{ID: "a", Node: "n-a", Service: "s", LeavesInMs: -1})
		o := f.apply("ends", &ReportCompletions{Worker: "a", Fence: old, Completions: []protocol.Completion{{Task: "j.0.0.0", Run: 1, Result: "refused"}}})
		if o.Code != 409 || len(f.store.Allocations) != 1 {
			t.Errorf("a refusal under an older fence: %d, open %d", o.Code, len(f.store.Allocations))
		}
	})
}

// TestLeaseExpiryUnderAnOlderFenceFreesNothing: a worker was silent for long, and was
// taken up again and given work before the command that frees it was applied.
func TestLeaseExpiryUnderAnOlderFenceFreesNothing(t *testing.T) {
	f, a := newRunningFixture(t, 2, protocol.Step{})
	decided := FencedWorker{ID: "a", Fence: a.Fence}
	f.apply("takeup", &RegisterWorker{ID: "a", Node: "n-a", Service: "s", LeavesInMs: -1})
	f.apply("lapse", &ExpireLeases{Workers: []FencedWorker{decided}})
	if a.LeaseExpired || len(f.store.Allocations) != 2 {
		t.Errorf("lost %v, %d of 2 runs are still booked", a.LeaseExpired, len(f.store.Allocations))
	}
}
