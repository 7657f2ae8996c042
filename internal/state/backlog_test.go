package state

import (
	"testing"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
)

// TestTargetTurnaroundCountsWaves checks that a step that needs more CPU than may run at a
// time takes its estimate once for each wave.
func TestTargetTurnaroundCountsWaves(t *testing.T) {
	route := &clusterconfig.Route{Stretch: 1.5, TargetMs: 250}
	job := protocol.Job{Steps: []protocol.Step{
		{TaskCount: 4, CPUUnits: 1000, EstimateMs: 100},
		{TaskCount: 1, CPUUnits: 1000, EstimateMs: 300, DependsOn: []int{0}},
	}}
	for maxConcurrent, want := range map[int64]int64{0: 850, 4000: 850, 3999: 1000, 1000: 1300} {
		if target := TargetTurnaroundMs(route, &job, maxConcurrent); target != want {
			t.Errorf("with at most %d at a time: target %d ms, want %d", maxConcurrent, target, want)
		}
	}
	if job.Steps[0].EstimateMs != 100 {
		t.Error("submitted job was modified")
	}
}

// TestBacklogCountsUnfinishedTasks checks that the backlog counts unfinished tasks by service,
// tenant and priority, without long-running tasks and jobs that have ended.
func TestBacklogCountsUnfinishedTasks(t *testing.T) {
	f := newTenantFixture(t, Quota{})
	worker := f.addWorker("w", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submitAs("t", "j", protocol.Step{TaskCount: 3, CPUUnits: 10, EstimateMs: 100}, protocol.Step{TaskCount: 1, CPUUnits: 20, EstimateMs: 50, DependsOn: []int{0}})
	f.submitAs("t", "k", protocol.Step{TaskCount: 1, CPUUnits: 10, EstimateMs: 100, LongRunning: true})
	f.submitAs("u", "l", protocol.Step{TaskCount: 1, CPUUnits: 10, EstimateMs: 100})
	key := BacklogKey{Service: "s", Tenant: "t"}
	require := func(when string, want int64) {
		t.Helper()
		if backlog := f.store.Backlog(); backlog[key] != want {
			t.Errorf("%s: backlog %d, want %d", when, backlog[key], want)
		}
	}
	require("submitted", 3*10*100+20*50)
	f.applyPlan("j", 0, false, placementOn(worker, 0))
	require("one task runs", 3*10*100+20*50)
	f.reportCompletion("w", TaskName("j", 0, 0, 0), 1, ResultDone)
	require("one task is done", 2*10*100+20*50)
	f.apply(&CancelJob{ID: "j"})
	require("canceled", 0)
	if other := f.store.Backlog()[BacklogKey{Service: "s", Tenant: "u"}]; other != 1000 {
		t.Errorf("backlog of the other tenant is %d, want 1000", other)
	}
}
