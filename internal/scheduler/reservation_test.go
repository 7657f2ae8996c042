package scheduler

import (
	"testing"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// TestIdleJobGetsATaskDespiteForeseenDemand: long tasks of a low priority are held back
// while much urgent work is foreseen, but no job of theirs stands still for longer than
// maxIdleTime beside room for it; its other tasks, and those of jobs that run
// already, wait on.
func TestIdleJobGetsATaskDespiteForeseenDemand(t *testing.T) {
	for _, gang := range []bool{false, true} {
		c := newTestCluster(t, 10)
		p := &Planner{}
		running := c.submit("/q/", protocol.Step{TaskCount: 20, CPUUnits: 2000, MemoryMB: 10, EstimateMs: 5000})
		c.planAndBind(p)
		total, _ := c.store.SchedulableCapacity("s")
		urgent := state.ServicePriority{Service: "s", Priority: 0}
		foresee := func() {
			p.demandPeaks[urgent] = &demandPeak{resources{float64(total.MilliCPU), float64(total.MemoryMB)}, c.store.Clock}
			p.heldResources = nil
		}
		// What is in use keeps the long tasks at their limit.
		for i := 0; i < 10; i++ {
			c.submit("/p/", protocol.Step{TaskCount: 10, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 900})
			c.planAndBind(p)
		}
		foresee()
		idle := c.submit("/q/", protocol.Step{TaskCount: 5, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 5000, Gang: gang})
		c.planAndBind(p)
		if n := c.runsOf(idle); n != 0 {
			t.Fatalf("gang %v: %d tasks are placed at once, although urgent demand is foreseen", gang, n)
		}
		c.advance(maxIdleTime.Milliseconds())
		foresee()
		c.planAndBind(p)
		want := 1
		if gang {
			want = 5
		}
		if n := c.runsOf(idle); n != want {
			t.Errorf("gang %v: %d tasks run after %v, want %d", gang, n, maxIdleTime, want)
		}
		if n := c.runsOf(running); n != 20 {
			t.Errorf("gang %v: %d tasks of the other job run", gang, n)
		}
		foresee()
		c.planAndBind(p)
		if n := c.runsOf(idle); n != want {
			t.Errorf("gang %v: %d tasks run a plan later", gang, n)
		}
	}
}

// runsOf counts the runs of a job.
func (c *testCluster) runsOf(id string) int {
	n := 0
	for _, allocation := range c.store.Allocations {
		if allocation.Job == id {
			n++
		}
	}
	return n
}
