package scheduler

import (
	"testing"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// TestNoPreemptionForCanceledJob guards against preemption for a job that was
// canceled: the unmet demand of a plan must be reset by the next one, even if
// nothing waits.
func TestNoPreemptionForCanceledJob(t *testing.T) {
	c := newTestCluster(t, 2)
	p := &Planner{}
	c.submit("/q/", protocol.Step{TaskCount: 4, CPUUnits: 7900, MemoryMB: 100, EstimateMs: 4000})
	c.planAndBind(p)
	id := c.submit("/p/", protocol.Step{TaskCount: 2, CPUUnits: 7900, MemoryMB: 100, EstimateMs: 300})
	c.advance(100)
	if c.planAndBind(p) != 0 || len(p.Preemptions(c.store)) == 0 {
		t.Fatal("no run preempted for waiting high-priority work")
	}
	c.apply(state.CommandCancelJob, &state.CancelJob{ID: id})
	c.planAndBind(p)
	if ids := p.Preemptions(c.store); len(ids) > 0 {
		t.Errorf("%d runs preempted for a canceled job", len(ids))
	}
}
