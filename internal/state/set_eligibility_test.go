package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestDrainingOutlastsLaterNewsOfHealth: that a worker is unhealthy, or is well
// again, was decided before its draining was known, and is applied after it.
func TestDrainingOutlastsLaterNewsOfHealth(t *testing.T) {
	for name, leave := range map[string]*SetEligibility{
		"draining":    {ID: "a", Draining: true, LeavesInMs: 5000},
		"signing off": {ID: "a", Draining: true, LeavesInMs: 5000, Leaving: true},
	} {
		for _, unhealthy := range []bool{true, false} {
			f := newFixture(t)
			a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
			f.apply(leave)
			leavesAt := a.LeavesAt
			f.apply(&SetEligibility{ID: "a", LeavesInMs: -1, Unhealthy: unhealthy})
			if !a.Draining || a.LeavesAt != leavesAt || a.Schedulable() || a.Unhealthy != unhealthy {
				t.Errorf("%s, then unhealthy %v: draining %v, unhealthy %v, leaves at %d, want %d",
					name, unhealthy, a.Draining, a.Unhealthy, a.LeavesAt, leavesAt)
			}
		}
	}
}

// TestStaleCommandDoesNotPutLeavingOff: the time until a worker leaves is counted from
// when a command is applied, and may have been read long before.
func TestStaleCommandDoesNotPutLeavingOff(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.apply(&SetEligibility{ID: "a", Draining: true, LeavesInMs: 5000})
	leavesAt := a.LeavesAt
	f.now += 3000
	f.apply(&SetEligibility{ID: "a", Draining: true, LeavesInMs: 5000, Unhealthy: true})
	if a.LeavesAt != leavesAt {
		t.Errorf("it leaves at %d, as it said, and %d is noted", leavesAt, a.LeavesAt)
	}
	f.apply(&SetEligibility{ID: "a", Draining: true, LeavesInMs: 0, Leaving: true})
	if a.LeavesAt != f.now {
		t.Errorf("it leaves now, at %d, and %d is noted", f.now, a.LeavesAt)
	}
}

// TestLeavingWorkerRegisteredAgainStillLeaves: an agent that knows nothing of
// the sign-off registers the worker again, because of a late heartbeat.
func TestLeavingWorkerRegisteredAgainStillLeaves(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 1})
	f.apply(&SetEligibility{ID: "a", Draining: true, LeavesInMs: 2000, Leaving: true})
	leavesAt := a.LeavesAt
	a = f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	if !a.Draining || a.LeavesAt != leavesAt {
		t.Errorf("draining %v, leaves at %d, want %d", a.Draining, a.LeavesAt, leavesAt)
	}
	if refused := f.applyPlan("j", 0, false, placementOn(a, 0)); refused != 1 {
		t.Error("booked on a worker that signed off")
	}
}

// TestEvacuatedRunResumesFromItsCheckpoint: what was stopped since its worker
// leaves goes on elsewhere from the text that the stop brought.
func TestEvacuatedRunResumesFromItsCheckpoint(t *testing.T) {
	f := newFixture(t)
	capacity := protocol.Resources{CPUUnits: 100, MemoryMB: 100}
	a, b := f.addWorker("a", capacity), f.addWorker("b", capacity)
	f.submit("j", protocol.Step{TaskCount: 1, CPUUnits: 10, Checkpoints: true})
	f.applyPlan("j", 0, false, placementOn(a, 0))
	f.apply(&SetEligibility{ID: "a", Draining: true, LeavesInMs: 2500, Leaving: true})
	if on := f.store.AllocationsOn("a"); len(on) != 1 || on[0].Stopping {
		t.Fatalf("the sign-off itself ended or stopped the run: %d left", len(on))
	}
	f.apply(&StopRuns{Allocations: []uint64{f.store.AllocationsOn("a")[0].ID}, Reason: "worker leaves"})
	completion := protocol.Completion{Sequence: 1, Task: "j.0.0.0", Run: 1, Result: "stopped", Checkpoint: "text"}
	f.apply(&ReportCompletions{Worker: "a", Fence: a.Fence, Completions: []protocol.Completion{completion}})
	f.applyPlan("j", 0, false, placementOn(b, 0))
	if on := f.store.AllocationsOn("b"); len(on) != 1 || on[0].Checkpoint != "text" {
		t.Errorf("it goes on elsewhere as %+v", on)
	}
}
