package state

import (
	"fmt"
	"testing"

	"tealpond/internal/protocol"
)

func TestDeadWorkerCannotRegisterAgain(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 1})
	f.applyPlan("j", 0, false, placementOn(a, 0))
	// This registration arrives late: its agent does not know of the newer worker a.
	late := f.apply(&RegisterWorker{ID: "a0", Node: "n-a", Service: "s", LeavesInMs: -1, ReplacesFence: a.Fence - 1})
	if late.Code != CodePreconditionFailed || late.Value != a.Fence || len(f.store.Allocations) != 1 || f.store.Workers["a0"] != nil {
		t.Fatalf("late registration ended or replaced a newer worker: code %d, value %d", late.Code, late.Value)
	}
	f.apply(&RegisterWorker{ID: "a2", Node: "n-a", Service: "s", LeavesInMs: -1, ReplacesFence: a.Fence})
	if len(f.store.Allocations) != 0 {
		t.Fatal("crashed worker still has runs")
	}
	if o := f.apply(&RegisterWorker{ID: "a", Node: "n-a", Service: "s", LeavesInMs: -1}); o.Code != CodeConflict {
		t.Fatalf("registration of a dead worker: code %d, want CodeConflict", o.Code)
	}
}

// TestCrashBackoffGrowsAndDecays checks that the backoff grows with each crash, stays short
// enough to end before a waiting job counts as lost, and decays over time.
func TestCrashBackoffGrowsAndDecays(t *testing.T) {
	f := newFixture(t)
	workers := 0
	crash := func() int64 {
		workers++
		id := fmt.Sprint("w", workers)
		f.apply(&RegisterWorker{
			ID:            id,
			Node:          "n",
			Service:       "s",
			Capacity:      protocol.Resources{CPUUnits: 10},
			LeavesInMs:    -1,
			ReplacesFence: int64(f.store.LastID),
		})
		return max(f.store.Workers[id].BackoffUntil-f.store.Clock, 0)
	}
	last := int64(-1)
	for i := range 8 {
		backoff := crash()
		if i < 2 && backoff != 0 {
			t.Errorf("worker %d has a backoff of %d ms, want none", i, backoff)
		}
		if backoff < last || backoff > 2500 {
			t.Errorf("worker %d has a backoff of %d ms, want at least %d and at most 2500", i, backoff, last)
		}
		last = backoff
		f.now += 500
	}
	if last < 1500 {
		t.Errorf("backoff after seven crashes is %d ms, want at least 1500", last)
	}
	f.now += 60000
	if backoff := crash(); backoff != 0 {
		t.Errorf("backoff of a crash one minute later is %d ms, want none", backoff)
	}
	f.now += 1000000
	f.apply(&CollectGarbage{})
	if len(f.store.CrashBackoffs) != 0 {
		t.Error("crash counts of nodes without recent crashes are not removed")
	}
}
