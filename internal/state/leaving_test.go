package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestDrainingOutlastsLaterNewsOfHealth: news of sickness or of health was
// decided on before the draining was known, and comes after it.
func TestDrainingOutlastsLaterNewsOfHealth(t *testing.T) {
	for name, leave := range map[string]*SetEligibility{
		"draining":    {ID: "a", Draining: true, LeavesInMs: 5000},
		"signing off": {ID: "a", Draining: true, LeavesInMs: 5000, Leaving: true},
	} {
		for _, sick := range []bool{true, false} {
			w := newFixture(t)
			a := w.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
			w.apply("eligible", leave)
			leavesAt := a.LeavesAt
			w.apply("eligible", &SetEligibility{ID: "a", LeavesInMs: -1, Unhealthy: sick})
			if !a.Draining || a.LeavesAt != leavesAt || a.Schedulable() || a.Unhealthy != sick {
				t.Errorf("%s, then sick %v: draining %v, sick %v, leaves at %d, want %d", name, sick, a.Draining, a.Unhealthy, a.LeavesAt, leavesAt)
			}
		}
	}
}

// TestStaleNewsPutsNoLeavingOff: the time until a worker leaves is counted from
// when a command is applied, and may have been read long before.
func TestStaleNewsPutsNoLeavingOff(t *testing.T) {
	w := newFixture(t)
	a := w.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	w.apply("eligible", &SetEligibility{ID: "a", Draining: true, LeavesInMs: 5000})
	leavesAt := a.LeavesAt
	w.now += 3000
	w.apply("eligible", &SetEligibility{ID: "a", Draining: true, LeavesInMs: 5000, Unhealthy: true})
	if a.LeavesAt != leavesAt {
		t.Errorf("it leaves at %d, as it said, and %d is noted", leavesAt, a.LeavesAt)
	}
	w.apply("eligible", &SetEligibility{ID: "a", Draining: true, LeavesInMs: 0, Leaving: true})
	if a.LeavesAt != w.now {
		t.Errorf("it leaves now, at %d, and %d is noted", w.now, a.LeavesAt)
	}
}

// TestLeavingLifeTakenUpAgainStillLeaves: a side daemon that knows nothing of
// the sign-off takes the life up, on the word of a heartbeat that came late.
func TestLeavingLifeTakenUpAgainStillLeaves(t *testing.T) {
	w := newFixture(t)
	a := w.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	w.submit("j", protocol.Step{TaskCount: 1})
	w.apply("eligible", &SetEligibility{ID: "a", Draining: true, LeavesInMs: 2000, Leaving: true})
	leavesAt := a.LeavesAt
	a = w.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	if !a.Draining || a.LeavesAt != leavesAt {
		t.Errorf("draining %v, leaves at %d, want %d", a.Draining, a.LeavesAt, leavesAt)
	}
	if lost := w.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: a.Version}); lost != 1 {
		t.Error("booked on a worker that signed off")
	}
}

// TestEvacuatedRunResumesFromItsCheckpoint: what was stopped since its worker
// leaves goes on elsewhere from the text that the stop brought.
func TestEvacuatedRunResumesFromItsCheckpoint(t *testing.T) {
	w := newFixture(t)
	room := protocol.Resources{CPUUnits: 100, MemoryMB: 100}
	a, b := w.addWorker("a", room), w.addWorker("b", room)
	w.submit("j", protocol.Step{TaskCount: 1, CPUUnits: 10, Checkpoints: true})
	w.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: a.Version})
	w.apply("eligible", &SetEligibility{ID: "a", Draining: true, LeavesInMs: 2500, Leaving: true})
	if on := w.store.AllocationsOn("a"); len(on) != 1 || on[0].Stopping {
		t.Fatalf("the sign-off itself ended or stopped the run: %d left", len(on))
	}
	w.apply("halt", &StopRuns{Allocations: []uint64{w.store.AllocationsOn("a")[0].ID}, Reason: "worker leaves"})
	w.apply("ends", &ReportCompletions{Worker: "a", Fence: a.Fence, Completions: []protocol.Completion{{Sequence: 1, Task: "j.0.0.0", Run: 1, Result: "stopped", Checkpoint: "text"}}})
	w.applyPlan("j", 0, false, Placement{Worker: "b", WorkerVersion: b.Version})
	if on := w.store.AllocationsOn("b"); len(on) != 1 || on[0].Checkpoint != "text" {
		t.Errorf("it goes on elsewhere as %+v", on)
	}
}
