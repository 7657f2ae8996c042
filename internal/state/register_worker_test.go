package state

import (
	"fmt"
	"testing"

	"tealpond/internal/protocol"
)

func TestDeadWorkerDoesNotComeBack(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 1})
	f.applyPlan("j", 0, false, placementOn(a, 0))
	// A registration arrives late: its agent doesn't know the newer worker a yet.
	late := f.apply(&RegisterWorker{ID: "a0", Node: "n-a", Service: "s", LeavesInMs: -1, ReplacesFence: a.Fence - 1})
	if late.Code != CodePreconditionFailed || late.Value != a.Fence || len(f.store.Allocations) != 1 || f.store.Workers["a0"] != nil {
		t.Fatalf("a late registration ended a newer worker: %d, value %d", late.Code, late.Value)
	}
	f.apply(&RegisterWorker{ID: "a2", Node: "n-a", Service: "s", LeavesInMs: -1, ReplacesFence: a.Fence})
	if len(f.store.Allocations) != 0 {
		t.Fatal("a crashed worker still has runs")
	}
	if o := f.apply(&RegisterWorker{ID: "a", Node: "n-a", Service: "s", LeavesInMs: -1}); o.Code != CodeConflict {
		t.Fatalf("a late heartbeat registered a dead worker: %d", o.Code)
	}
}

// TestCrashBackoffGrowsAndFades: the backoff grows with each crash, ends before a
// waiting job would count as lost, and fades.
func TestCrashBackoffGrowsAndFades(t *testing.T) {
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
			t.Errorf("worker %d waits %d ms", i, backoff)
		}
		if backoff < last || backoff > 2500 {
			t.Errorf("worker %d waits %d ms after %d", i, backoff, last)
		}
		last = backoff
		f.now += 500
	}
	if last < 1500 {
		t.Errorf("after seven crashes it waits %d ms", last)
	}
	f.now += 60000
	if backoff := crash(); backoff != 0 {
		t.Errorf("a minute later it waits %d ms", backoff)
	}
	f.now += 1000000
	f.apply(&CollectGarbage{})
	if len(f.store.CrashBackoffs) != 0 {
		t.Error("calm nodes are remembered for good")
	}
}
