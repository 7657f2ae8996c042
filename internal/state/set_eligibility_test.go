package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestHealthChangeDoesNotUndoDraining covers a change of a worker's health that was decided
// before its draining was known, and is applied after it.
func TestHealthChangeDoesNotUndoDraining(t *testing.T) {
	for name, leave := range map[string]*SetEligibility{
		"draining": {ID: "a", Draining: true, LeavesInMs: 5000},
		"leaving":  {ID: "a", Draining: true, LeavesInMs: 5000, Leaving: true},
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

// TestStaleCommandDoesNotPostponeLeaving checks that a later command does not postpone the time
// at which a worker leaves. A command gives that time relative to when it is applied, but the
// value may have been read long before.
func TestStaleCommandDoesNotPostponeLeaving(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.apply(&SetEligibility{ID: "a", Draining: true, LeavesInMs: 5000})
	leavesAt := a.LeavesAt
	f.now += 3000
	f.apply(&SetEligibility{ID: "a", Draining: true, LeavesInMs: 5000, Unhealthy: true})
	if a.LeavesAt != leavesAt {
		t.Errorf("worker was to leave at %d and leaves at %d after a stale command", leavesAt, a.LeavesAt)
	}
	f.apply(&SetEligibility{ID: "a", Draining: true, LeavesInMs: 0, Leaving: true})
	if a.LeavesAt != f.now {
		t.Errorf("worker is to leave now, at %d, and leaves at %d", f.now, a.LeavesAt)
	}
}

// TestLeavingWorkerStaysDrainingWhenRegisteredAgain covers an agent that does not know that the
// worker is leaving and registers it again because of a late heartbeat.
func TestLeavingWorkerStaysDrainingWhenRegisteredAgain(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 1})
	f.apply(&SetEligibility{ID: "a", Draining: true, LeavesInMs: 2000, Leaving: true})
	leavesAt := a.LeavesAt
	a = f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	if !a.Draining || a.LeavesAt != leavesAt {
		t.Errorf("draining %v, leaves at %d; want true and %d", a.Draining, a.LeavesAt, leavesAt)
	}
	if refused := f.applyPlan("j", 0, false, placementOn(a, 0)); refused != 1 {
		t.Error("run was allocated on a leaving worker")
	}
}

// TestRunOfLeavingWorkerResumesFromItsCheckpoint checks that a task whose run was stopped
// because its worker leaves resumes on another worker from the checkpoint of the stopped run.
func TestRunOfLeavingWorkerResumesFromItsCheckpoint(t *testing.T) {
	f := newFixture(t)
	capacity := protocol.Resources{CPUUnits: 100, MemoryMB: 100}
	a, b := f.addWorker("a", capacity), f.addWorker("b", capacity)
	f.submit("j", protocol.Step{TaskCount: 1, CPUUnits: 10, Checkpoints: true})
	f.applyPlan("j", 0, false, placementOn(a, 0))
	f.apply(&SetEligibility{ID: "a", Draining: true, LeavesInMs: 2500, Leaving: true})
	if on := f.store.AllocationsOn("a"); len(on) != 1 || on[0].Stopping {
		t.Fatalf("marking the worker as leaving ended or stopped the run: %d runs left, want 1 that is not stopping", len(on))
	}
	f.apply(&StopRuns{Allocations: []uint64{f.store.AllocationsOn("a")[0].ID}, Reason: "worker leaves"})
	completion := protocol.Completion{Sequence: 1, Task: "j.0.0.0", Run: 1, Result: "stopped", Checkpoint: "text"}
	f.apply(&ReportCompletions{Worker: "a", Fence: a.Fence, Completions: []protocol.Completion{completion}})
	f.applyPlan("j", 0, false, placementOn(b, 0))
	if on := f.store.AllocationsOn("b"); len(on) != 1 || on[0].Checkpoint != "text" {
		t.Errorf("runs on the other worker are %+v, want one that resumes from the checkpoint", on)
	}
}
