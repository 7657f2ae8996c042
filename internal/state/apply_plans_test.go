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
		t.Fatal("the first plan was refused")
	}
	if n := f.applyPlan("j", 0, false, placementOn(b, 0)); n != 1 || len(f.store.Allocations) != 1 {
		t.Fatalf("%d plans refused, %d allocations", n, len(f.store.Allocations))
	}
	if b.UsedMilliCPU != 0 {
		t.Error("the refused placement kept capacity")
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
		t.Fatal("a stopping run gave its capacity or its task's lock away")
	}
	f.complete("a", "j.0.0.0", 1, "stopped")
	if a.UsedMilliCPU != 0 || len(f.store.Allocations) != 0 {
		t.Fatal("its completion freed nothing")
	}
}

func TestPlanMadeBeforeADrainIsRefused(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 1})
	before := placementOn(a, 0)
	f.apply(&SetEligibility{ID: "a", Draining: true, LeavesInMs: 5000})
	if n := f.applyPlan("j", 0, false, before); n != 1 {
		t.Fatal("booked on a draining worker")
	}
}

func TestGangIsAllocatedWhollyOrNotAtAll(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	b := f.addWorker("b", protocol.Resources{CPUUnits: 10, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 2, CPUUnits: 50, Gang: true})
	if f.applyPlan("j", 0, true, placementOn(a, 0), placementOn(b, 1)) != 1 {
		t.Fatal("booked beyond the capacity")
	}
	if len(f.store.Allocations) != 0 || a.UsedMilliCPU != 0 || f.store.Jobs["j"].Instances[0].Steps[0].Tasks[0].LastRun != 0 {
		t.Fatal("the savepoint left something behind")
	}
	if f.applyPlan("j", 0, true, placementOn(a, 0), placementOn(a, 1)) != 0 {
		t.Fatal("a gang that fits was refused")
	}
	f.complete("a", "j.0.0.0", 1, "done")
	if status := f.status(); status != "done" {
		t.Fatalf("one completion counts for all, status %s", status)
	}
}

func TestStepOrderAndMaxAttempts(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 1}, protocol.Step{TaskCount: 1, DependsOn: []int{0}})
	f.applyPlan("j", 1, false, placementOn(a, 0))
	if len(f.store.Allocations) != 0 {
		t.Fatal("a step ran before the one that it depends on")
	}
	for run := 1; run <= 2; run++ {
		f.applyPlan("j", 0, false, placementOn(a, 0))
		f.complete("a", "j.0.0.0", run, "failed")
	}
	if status := f.status(); status != "failed" {
		t.Fatalf("status %s after two failed runs", status)
	}
	f.applyPlan("j", 0, false, placementOn(a, 0))
	if len(f.store.Allocations) != 0 {
		t.Fatal("a third run was booked")
	}
}

func TestCheckpointGoesToTheNextRun(t *testing.T) {
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
			t.Fatalf("run %d starts from %q", run.Run, run.Checkpoint)
		}
	}
}

// TestCopiesOfAGangEndInOrder: two copies of a gang's task bear one run number;
// on one worker, each replica must end the same of them.
func TestCopiesOfAGangEndInOrder(t *testing.T) {
	for range 30 {
		f := newFixture(t)
		a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		f.submit("j", protocol.Step{TaskCount: 1, CPUUnits: 10, Gang: true, Speculative: true})
		f.applyPlan("j", 0, true, placementOn(a, 0), Placement{Copy: 1, Worker: "a", WorkerVersion: a.Version})
		if len(f.store.Allocations) != 2 {
			t.Fatal("the copies were not booked")
		}
		f.complete("a", "j.0.0.0", 1, "stopped")
		if len(f.store.Allocations) != 1 || f.store.Allocations[f.store.LastID] == nil {
			t.Fatal("the younger copy was ended")
		}
	}
}
