package state

import (
	"testing"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
)

// TestTargetOfWideJobsCountsWaves: a step that is wider than what may run at once takes as
// many times its estimate.
func TestTargetOfWideJobsCountsWaves(t *testing.T) {
	route := &clusterconfig.Route{Stretch: 1.5, TargetMs: 250}
	job := protocol.Job{Steps: []protocol.Step{
		{TaskCount: 4, CPUUnits: 1000, EstimateMs: 100},
		{TaskCount: 1, CPUUnits: 1000, EstimateMs: 300, DependsOn: []int{0}},
	}}
	for most, want := range map[int64]int64{0: 850, 4000: 850, 3999: 1000, 1000: 1300} {
		if target := TargetTurnaroundMs(route, &job, most); target != want {
			t.Errorf("with %d at once: %d ms, want %d", most, target, want)
		}
	}
	if job.Steps[0].EstimateMs != 100 {
		t.Error("the submitted job was changed")
	}
}

// TestBacklogCountsWhatIsNotDone: by service, tenant and priority; long-running tasks and
// jobs that have ended don't count.
func TestBacklogCountsWhatIsNotDone(t *testing.T) {
	f := newTenantFixture(t, Quota{})
	worker := f.addWorker("w", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submitAs("t", "j", protocol.Step{TaskCount: 3, CPUUnits: 10, EstimateMs: 100}, protocol.Step{TaskCount: 1, CPUUnits: 20, EstimateMs: 50, DependsOn: []int{0}})
	f.submitAs("t", "k", protocol.Step{TaskCount: 1, CPUUnits: 10, EstimateMs: 100, LongRunning: true})
	f.submitAs("u", "l", protocol.Step{TaskCount: 1, CPUUnits: 10, EstimateMs: 100})
	key := BacklogKey{Service: "s", Tenant: "t"}
	require := func(when string, want int64) {
		t.Helper()
		if backlog := f.store.Backlog(); backlog[key] != want {
			t.Errorf("%s: %d wait, want %d", when, backlog[key], want)
		}
	}
	require("submitted", 3*10*100+20*50)
	f.applyPlan("j", 0, false, placementOn(worker, 0))
	require("one runs", 3*10*100+20*50)
	f.complete("w", TaskName("j", 0, 0, 0), 1, ResultDone)
	require("one is done", 2*10*100+20*50)
	f.apply(&CancelJob{ID: "j"})
	require("canceled", 0)
	if other := f.store.Backlog()[BacklogKey{Service: "s", Tenant: "u"}]; other != 1000 {
		t.Errorf("%d of the other tenant wait", other)
	}
}
