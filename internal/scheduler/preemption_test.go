package scheduler

import (
	"fmt"
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

// TestPreemptionFreesTheServiceOfTheRun guards against urgent work that waits behind runs whose route
// was changed to another service, and against preempting runs that free nothing for it: a run uses its
// worker's service, whatever its job's service is now.
func TestPreemptionFreesTheServiceOfTheRun(t *testing.T) {
	c := newSplitCluster(t)
	c.raiseFormat()
	configure := func(low, urgent string) {
		route := `{"name":"%s","hostName":"h","pathPrefix":"/%s/","timeoutMs":1000,"targetMs":100,"priority":%d,"targetService":"%s","maxTries":2,"stretch":3}`
		raw := fmt.Sprintf(`{"configVersion":%d,"routeList":[`+route+`,`+route+`],"serviceList":[{"name":"s"},{"name":"t"}]}`,
			c.version+1, "low", "q", 2, low, "urgent", "p", 0, urgent)
		c.apply(state.CommandReplaceConfiguration, &state.ReplaceConfiguration{BaseVersion: c.version, Raw: []byte(raw)})
		c.version++
	}
	configure("s", "s")
	c.submit("/q/", protocol.Step{TaskCount: 4, CPUUnits: 3900, MemoryMB: 100, EstimateMs: 4000})
	c.planAndBind(&c.planner)
	configure("t", "s")
	c.submit("/p/", protocol.Step{TaskCount: 2, CPUUnits: 3900, MemoryMB: 100, EstimateMs: 300})
	c.advance(100)
	if placed, preempted := c.planAndBind(&c.planner), c.planner.Preemptions(c.store); placed != 0 || len(preempted) == 0 {
		t.Errorf("urgent work of the runs' service: %d tasks placed and %d runs preempted, want some preempted", placed, len(preempted))
	}
	configure("t", "t")
	c.submit("/p/", protocol.Step{TaskCount: 8, CPUUnits: 3900, MemoryMB: 100, EstimateMs: 300})
	c.advance(100)
	if placed, preempted := c.planAndBind(&c.planner), c.planner.Preemptions(c.store); placed == 0 || len(preempted) != 0 {
		t.Errorf("urgent work of the other service: %d tasks placed and %d runs preempted, want none preempted", placed, len(preempted))
	}
}
