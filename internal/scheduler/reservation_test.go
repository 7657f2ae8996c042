package scheduler

import (
	"testing"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// TestStarvedJobGetsTaskDespitePredictedDemand checks that long low-priority tasks are held back
// while much high-priority demand is predicted, but that a job without a running task gets one after
// maxStarvationTime if there is free capacity for it. Its other tasks, and those of jobs that already
// run, keep waiting.
func TestStarvedJobGetsTaskDespitePredictedDemand(t *testing.T) {
	for _, gang := range []bool{false, true} {
		c := newTestCluster(t, 10)
		p := &Planner{}
		running := c.submit("/q/", protocol.Step{TaskCount: 20, CPUUnits: 2000, MemoryMB: 10, EstimateMs: 5000})
		c.planAndBind(p)
		total, _ := c.store.SchedulableCapacity("s")
		urgent := state.ServicePriority{Service: "s", Priority: 0}
		predictPeak := func() {
			p.demandPeaks[urgent] = &demandPeak{resources{float64(total.MilliCPU), float64(total.MemoryMB)}, c.store.Clock}
			p.heldResources = nil
		}
		// Short tasks fill capacity, so that the long tasks are at their limit.
		for i := 0; i < 10; i++ {
			c.submit("/p/", protocol.Step{TaskCount: 10, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 900})
			c.planAndBind(p)
		}
		predictPeak()
		starved := c.submit("/q/", protocol.Step{TaskCount: 5, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 5000, Gang: gang})
		c.planAndBind(p)
		if n := c.runsOf(starved); n != 0 {
			t.Fatalf("gang %v: %d tasks run at once despite the predicted demand, want 0", gang, n)
		}
		c.advance(maxStarvationTime.Milliseconds())
		predictPeak()
		c.planAndBind(p)
		want := 1
		if gang {
			want = 5
		}
		if n := c.runsOf(starved); n != want {
			t.Errorf("gang %v: %d tasks run after %v, want %d", gang, n, maxStarvationTime, want)
		}
		if n := c.runsOf(running); n != 20 {
			t.Errorf("gang %v: %d tasks of the running job run, want 20", gang, n)
		}
		predictPeak()
		c.planAndBind(p)
		if n := c.runsOf(starved); n != want {
			t.Errorf("gang %v: %d tasks run after the next plan, want no more than before", gang, n)
		}
	}
}

// runsOf returns the number of allocations of a job.
func (c *testCluster) runsOf(id string) int {
	n := 0
	for _, allocation := range c.store.Allocations {
		if allocation.Job == id {
			n++
		}
	}
	return n
}
