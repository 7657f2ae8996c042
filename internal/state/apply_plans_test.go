package state

import (
	"testing"

	"tealpond/internal/protocol"
)

func TestTaskLockRefusesASecondRun(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	b := f.addWorker("b", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	f.submit("j", protocol.Step{TaskCount: 1, CPUUnits: 10})
	if n := f.applyPlan("j", 0, false, placementOn(a, 0)); n != 0 {
		t.Fatal("plan for the first run was refused")
	}
	if n := f.applyPlan("j", 0, false, placementOn(b, 0)); n != 1 || len(f.store.Allocations) != 1 {
		t.Fatalf("%d plans refused, want 1; %d allocations, want 1", n, len(f.store.Allocations))
	}
	if b.UsedMilliCPU != 0 {
		t.Error("refused placement still holds CPU of its worker")
	}
}

func TestStoppingRunKeepsTaskLockAndCapacity(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 20, MemoryMB: 10})
	f.submit("j", protocol.Step{TaskCount: 1, CPUUnits: 15})
	f.applyPlan("j", 0, false, placementOn(a, 0))
	for id := range f.store.Allocations {
		f.apply(&StopRuns{Allocations: []uint64{id}, Reason: "test"})
	}
	if n := f.applyPlan("j", 0, false, placementOn(a, 0)); n != 1 || a.UsedMilliCPU != 15 {
		t.Fatal("stopping run released its capacity or its task lock")
	}
	f.reportCompletion("a", "j.0.0.0", 1, "stopped")
	if a.UsedMilliCPU != 0 || len(f.store.Allocations) != 0 {
		t.Fatal("completion of the stopped run did not release its resources")
	}
}

func TestPlanMadeBeforeDrainingIsRefused(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 1})
	stalePlacement := placementOn(a, 0)
	f.apply(&SetEligibility{ID: "a", Draining: true, LeavesInMs: 5000})
	if n := f.applyPlan("j", 0, false, stalePlacement); n != 1 {
		t.Fatal("run was allocated on a draining worker")
	}
}

func TestGangIsAllocatedAllOrNothing(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	b := f.addWorker("b", protocol.Resources{CPUUnits: 10, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 2, CPUUnits: 50, Gang: true})
	if f.applyPlan("j", 0, true, placementOn(a, 0), placementOn(b, 1)) != 1 {
		t.Fatal("gang was allocated beyond a worker's capacity")
	}
	if len(f.store.Allocations) != 0 || a.UsedMilliCPU != 0 || f.store.Jobs["j"].Instances[0].Steps[0].Tasks[0].LastRun != 0 {
		t.Fatal("savepoint did not roll back all changes of the refused gang")
	}
	if f.applyPlan("j", 0, true, placementOn(a, 0), placementOn(a, 1)) != 0 {
		t.Fatal("gang that fits was refused")
	}
	f.reportCompletion("a", "j.0.0.0", 1, "done")
	if status := f.jobStatus(); status != "done" {
		t.Fatalf("status %s after one member of the gang completed, want done", status)
	}
}

func TestStepOrderAndMaxAttempts(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 1}, protocol.Step{TaskCount: 1, DependsOn: []int{0}})
	f.applyPlan("j", 1, false, placementOn(a, 0))
	if len(f.store.Allocations) != 0 {
		t.Fatal("step was allocated before the step that it depends on was done")
	}
	for run := 1; run <= 2; run++ {
		f.applyPlan("j", 0, false, placementOn(a, 0))
		f.reportCompletion("a", "j.0.0.0", run, "failed")
	}
	if status := f.jobStatus(); status != "failed" {
		t.Fatalf("status %s after two failed runs, want failed", status)
	}
	f.applyPlan("j", 0, false, placementOn(a, 0))
	if len(f.store.Allocations) != 0 {
		t.Fatal("third run was allocated after the job failed")
	}
}

func TestNextRunResumesFromCheckpoint(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 1, Checkpoints: true})
	f.applyPlan("j", 0, false, placementOn(a, 0))
	f.apply(&ReportCompletions{Worker: "a", Fence: a.Fence, Checkpoints: []protocol.RunProgress{{Task: "j.0.0.0", Run: 1, Checkpoint: "abc"}}})
	f.apply(&ExpireLeases{Workers: []FencedWorker{{ID: "a", Fence: f.store.Workers["a"].Fence}}})
	a = f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.applyPlan("j", 0, false, placementOn(a, 0))
	for _, run := range f.store.Allocations {
		if run.Checkpoint != "abc" || run.Run != 2 {
			t.Fatalf("run %d resumes from %q, want run 2 from \"abc\"", run.Run, run.Checkpoint)
		}
	}
}

// TestOldestCopyOfGangTaskEndsFirst checks that a completion ends the older of two copies of
// a gang's task. The copies have the same run number and run on the same worker here, and
// each replica must end the same one.
func TestOldestCopyOfGangTaskEndsFirst(t *testing.T) {
	for range 30 {
		f := newFixture(t)
		a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		f.submit("j", protocol.Step{TaskCount: 1, CPUUnits: 10, Gang: true, Speculative: true})
		f.applyPlan("j", 0, true, placementOn(a, 0), Placement{Copy: 1, Worker: "a", WorkerVersion: a.Version})
		if len(f.store.Allocations) != 2 {
			t.Fatal("copies of the task were not allocated")
		}
		f.reportCompletion("a", "j.0.0.0", 1, "stopped")
		if len(f.store.Allocations) != 1 || f.store.Allocations[f.store.LastID] == nil {
			t.Fatal("newer copy of the task was ended instead of the older one")
		}
	}
}
