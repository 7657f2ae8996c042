package scheduler

import (
	"math"
	"math/rand"
	"testing"

	"tealpond/internal/protocol"
)

// TestPaceTellsASlowWorkerFromRoughEstimates: estimates are off by up to eight
// times either way, tasks of a step are alike but for a third, one worker is
// four times as slow.
func TestPaceTellsASlowWorkerFromRoughEstimates(t *testing.T) {
	c := newTestCluster(t, 6)
	p := &Planner{}
	random := rand.New(rand.NewSource(9))
	slow := workerID(2)
	for range 40 {
		c.submit("/p/", protocol.Step{TaskCount: 18, CPUUnits: 5000, MemoryMB: 10, EstimateMs: int64(200 * math.Exp(random.Float64()*4-2))})
		c.planAndBind(p)
		for i := 0; len(c.store.Allocations) > 0; i++ {
			for _, a := range c.store.Allocations {
				need := int64(200 * (0.7 + 0.6*float64(a.TaskIndex%7)/6))
				if a.Worker == slow {
					need *= 4
				}
				if a.AllocatedAt+need <= c.clock || i > 2000 {
					from := a.AllocatedAt
					c.complete(a)
					p.RecordCompletion(c.store, a, from+need)
					break
				}
			}
			c.clock += 5
		}
	}
	for i := range 6 {
		x, ok := p.Pace(workerID(i), c.store.Clock)
		switch {
		case workerID(i) == slow && (!ok || x < 2):
			t.Errorf("the slow worker's pace is %.1f (%v)", x, ok)
		case workerID(i) != slow && ok && x > 1.5:
			t.Errorf("%s is healthy and its pace is %.1f", workerID(i), x)
		}
	}
	if _, ok := p.Pace(slow, c.store.Clock+60000); ok {
		t.Error("a pace of a minute ago still counts")
	}
}
