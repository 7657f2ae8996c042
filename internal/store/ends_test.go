package store

import (
	"fmt"
	"strings"
	"testing"

	"tealpond/internal/protocol"
)

// booked gives a state with n tasks of job j running on worker a.
func booked(t *testing.T, n int, step protocol.Step) (*world, *Worker) {
	t.Helper()
	w := newWorld(t)
	a := w.worker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	step.TaskCount = n
	w.job("j", step)
	var items []Item
	for i := range n {
		items = append(items, Item{Index: i, Worker: "a", Ver: a.Ver})
	}
	if w.book("j", 0, step.Gang, items...) != 0 || len(w.s.Allocs) != n {
		t.Fatalf("%d of %d were booked", len(w.s.Allocs), n)
	}
	return w, a
}

func done(n int64, index, run int) protocol.Completion {
	return protocol.Completion{Sequence: n, Task: fmt.Sprintf("j.0.0.%d", index), Run: run, Result: "done"}
}

// TestEndsAreAPrefix: a day of qurum-play broke TWICE. Of two batches of ends
// under way the first was lost; the second raised Seen above both, the runner
// forgot both, and the run of the first was booked for good.
func TestEndsAreAPrefix(t *testing.T) {
	w, a := booked(t, 4, protocol.Step{})
	for i, c := range []struct {
		ends  []protocol.Completion
		first bool
		seen  int64
		open  int
		text  string
	}{
		{[]protocol.Completion{done(2, 1, 1)}, false, 0, 4, ""},                                             // beyond a gap
		{[]protocol.Completion{done(2, 1, 1), done(1, 0, 1)}, false, 0, 4, ""},                              // not in order
		{[]protocol.Completion{done(1, 0, 1), done(3, 2, 1)}, false, 1, 3, ""},                              // a gap inside
		{[]protocol.Completion{done(1, 0, 1), done(2, 1, 1)}, true, 2, 2, ""},                               // the first again
		{[]protocol.Completion{done(1, 0, 1)}, false, 2, 2, ""},                                             // late and doubled
		{[]protocol.Completion{done(5, 3, 1)}, true, 5, 1, EndsLost + ": 3 to 4"},                           // the runner holds no more
		{[]protocol.Completion{done(6, 0, 1)}, false, 6, 1, ""},                                             // known to be over
		{[]protocol.Completion{done(7, 0, 2)}, false, 7, 1, EndUnknown + ": j.0.0.0/2"},                     // never booked
		{[]protocol.Completion{done(3, 2, 1)}, false, 7, 0, EndReopened + ": j.0.0.2/1"},                    // acknowledged, yet open
		{[]protocol.Completion{{Task: "j.0.0.0", Run: 1, Result: "stopped"}}, false, 7, 0, ""},              // outside the numbering
		{[]protocol.Completion{{Sequence: 9, Task: "none.0.0.0", Run: 1, Result: "done"}}, false, 7, 0, ""}, // a gap again
	} {
		o := w.run("ends", &Ends{Worker: "a", Fence: a.Fence, Ends: c.ends, First: c.first})
		if o.Code != 200 || o.N != c.seen || a.Seen != c.seen || len(w.s.Allocs) != c.open || o.Text != c.text {
			t.Errorf("%d: answered %d, N %d (want %d), open %d (want %d), text %q (want %q)", i, o.Code, o.N, c.seen, len(w.s.Allocs), c.open, o.Text, c.text)
		}
	}
	if word, _ := w.s.Status("j"); word != "done" {
		t.Errorf("the job is %s", word)
	}
}

// TestEndsAfterTheirBookingsClosed: what comes late for a run that was closed
// otherwise changes nothing but the number seen.
func TestEndsAfterTheirBookingsClosed(t *testing.T) {
	t.Run("lapsed", func(t *testing.T) {
		w, a := booked(t, 1, protocol.Step{})
		w.run("lapse", &Lapse{Workers: []Fenced{{ID: "a", Fence: w.s.Workers["a"].Fence}}})
		o := w.run("ends", &Ends{Worker: "a", Fence: a.Fence, Ends: []protocol.Completion{done(1, 0, 1)}})
		if word, _ := w.s.Status("j"); o.N != 1 || o.Text != "" || word == "done" {
			t.Errorf("a lapsed run counts: N %d, %q, job %s", o.N, o.Text, word)
		}
	})
	t.Run("called off", func(t *testing.T) {
		w, a := booked(t, 1, protocol.Step{})
		w.run("cancel", &Cancel{ID: "j"})
		w.run("ends", &Ends{Worker: "a", Fence: a.Fence, Ends: []protocol.Completion{done(1, 0, 1)}})
		if word, _ := w.s.Status("j"); word != "called_off" || len(w.s.Allocs) != 0 || a.UsedCPU != 0 {
			t.Errorf("job %s, open %d", word, len(w.s.Allocs))
		}
	})
	t.Run("gang", func(t *testing.T) {
		w, a := booked(t, 3, protocol.Step{Gang: true})
		w.run("ends", &Ends{Worker: "a", Fence: a.Fence, Ends: []protocol.Completion{
			{Task: "j.0.0.1", Run: 1, Result: "lapsed"}, done(1, 0, 1), {Sequence: 2, Task: "j.0.0.2", Run: 1, Result: "broken"}}})
		if word, _ := w.s.Status("j"); word != "done" || len(w.s.Allocs) != 0 {
			t.Errorf("one done end counts for all: job %s, open %d", word, len(w.s.Allocs))
		}
		for _, r := range w.s.Closed() {
			if !strings.Contains("lapsed done broken", r.How) {
				t.Errorf("closed as %s", r.How)
			}
		}
	})
	t.Run("older fence", func(t *testing.T) {
		w, a := booked(t, 1, protocol.Step{})
		old := a.Fence
		w.run("takeup", &TakeUp{ID: "a", Node: "n-a", Service: "s", LeavesIn: -1})
		o := w.run("ends", &Ends{Worker: "a", Fence: old, Ends: []protocol.Completion{{Task: "j.0.0.0", Run: 1, Result: "refused"}}})
		if o.Code != 409 || len(w.s.Allocs) != 1 {
			t.Errorf("a refusal under an older fence: %d, open %d", o.Code, len(w.s.Allocs))
		}
	})
}

// TestLapseOfAnOlderFenceFreesNothing: a worker was silent for long, and was
// taken up again and given work before the command that frees it was applied.
func TestLapseOfAnOlderFenceFreesNothing(t *testing.T) {
	w, a := booked(t, 2, protocol.Step{})
	decided := Fenced{ID: "a", Fence: a.Fence}
	w.run("takeup", &TakeUp{ID: "a", Node: "n-a", Service: "s", LeavesIn: -1})
	w.run("lapse", &Lapse{Workers: []Fenced{decided}})
	if a.Lost || len(w.s.Allocs) != 2 {
		t.Errorf("lost %v, %d of 2 runs are still booked", a.Lost, len(w.s.Allocs))
	}
}
