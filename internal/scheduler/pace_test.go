package scheduler

import (
	"math"
	"math/rand"
	"testing"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// TestPaceTellsASlowWorkerFromRoughEstimates: estimates are off by up to eight
// times either way, tasks of a step are alike but for a third, one worker is
// four times as slow.
func TestPaceTellsASlowWorkerFromRoughEstimates(t *testing.T) {
	f := newTestCluster(6)
	p := &Planner{}
	rnd := rand.New(rand.NewSource(9))
	slow := workerID(2)
	for range 40 {
		f.submit("/p/", protocol.Step{TaskCount: 18, CPUUnits: 5000, MemoryMB: 10, EstimateMs: int64(200 * math.Exp(rnd.Float64()*4-2))})
		f.planAndBind(p)
		for i := 0; len(f.store.Allocations) > 0; i++ {
			for _, a := range f.store.Allocations {
				need := int64(200 * (0.7 + 0.6*float64(a.TaskIndex%7)/6))
				if a.Worker == slow {
					need *= 4
				}
				if a.BookedAt+need <= f.clock || i > 2000 {
					from := a.BookedAt
					f.complete(a, "done")
					p.RecordCompletion(f.store, a, from+need)
					break
				}
			}
			f.clock += 5
		}
	}
	for i := range 6 {
		x, ok := p.Pace(workerID(i), f.store.Clock)
		switch {
		case workerID(i) == slow && (!ok || x < 2):
			t.Errorf("the slow worker's pace is %.1f (%v)", x, ok)
		case workerID(i) != slow && ok && x > 1.5:
			t.Errorf("%s is sound and its pace is %.1f", workerID(i), x)
		}
	}
	if _, ok := p.Pace(slow, f.store.Clock+60000); ok {
		t.Error("a pace of a minute ago still counts")
	}
}

// TestLongRunOnAHealthyWorkerGetsNoCopy: tasks of a step may differ by ten times,
// and a copy of a long one takes as long.
func TestLongRunOnAHealthyWorkerGetsNoCopy(t *testing.T) {
	for _, sound := range []bool{true, false} {
		f := newTestCluster(4)
		p := &Planner{}
		f.submit("/p/", protocol.Step{TaskCount: 8, CPUUnits: 3000, MemoryMB: 10, EstimateMs: 300, Speculative: true})
		f.planAndBind(p)
		long := f.anyAllocation()
		p.paces = map[string]paceEstimate{}
		f.clock += 300
		for _, a := range f.store.Allocations {
			if a != long {
				f.complete(a, "done")
			}
		}
		f.clock += 600
		f.apply("sweep", &state.CollectGarbage{})
		for i := range 4 {
			if x := workerID(i); sound || x != long.Worker {
				p.paces[x] = paceEstimate{weight: 5, updatedAt: f.clock}
			}
		}
		if n := f.planAndBind(p); (n == 0) != sound {
			t.Errorf("worker known to be sound: %v, copies %d", sound, n)
		}
	}
}
