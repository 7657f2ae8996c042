package state

import (
	"fmt"
	"testing"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
)

// TestCriticalPathFollowsDependencies checks that the critical path is the longest chain of
// steps and not the sum of all, and that the remaining one leaves out steps that are done.
func TestCriticalPathFollowsDependencies(t *testing.T) {
	diamond := []protocol.Step{
		{EstimateMs: 10},
		{EstimateMs: 30, DependsOn: []int{0}},
		{EstimateMs: 20, DependsOn: []int{0}},
		{EstimateMs: 5, DependsOn: []int{1, 2}},
	}
	for _, c := range []struct {
		name            string
		steps           []protocol.Step
		done            []int
		path, remaining int64
	}{
		{"no steps", nil, nil, 0, 0},
		{"independent steps", []protocol.Step{{EstimateMs: 10}, {EstimateMs: 30}, {EstimateMs: 20}}, nil, 30, 30},
		{"chain", []protocol.Step{{EstimateMs: 10}, {EstimateMs: 30, DependsOn: []int{0}}}, nil, 40, 40},
		{"diamond", diamond, nil, 45, 45},
		{"diamond, first done", diamond, []int{0}, 45, 35},
		{"diamond, longer side done", diamond, []int{0, 1}, 45, 25},
		{"diamond, all done", diamond, []int{0, 1, 2, 3}, 45, 0},
	} {
		job := &Job{Steps: c.steps, Stretch: 2, TargetMs: 100}
		instance := &JobInstance{Steps: make([]StepState, len(c.steps))}
		for i := range instance.Steps {
			instance.Steps[i].TasksLeft = 1
		}
		for _, i := range c.done {
			instance.Steps[i].TasksLeft = 0
		}
		if path, remaining := job.CriticalPathMs(), job.RemainingCriticalPathMs(instance); path != c.path || remaining != c.remaining {
			t.Errorf("%s: critical path %d ms, remaining %d ms; want %d and %d", c.name, path, remaining, c.path, c.remaining)
		}
		if turnaround := job.TargetTurnaroundMs(); turnaround != 2*c.path+100 {
			t.Errorf("%s: target turnaround %d ms, want %d", c.name, turnaround, 2*c.path+100)
		}
	}
}

// TestAllTasksRunning checks that all tasks of a job count as running only if each unfinished task
// has a run and no step or instance is still to start.
func TestAllTasksRunning(t *testing.T) {
	running, waiting, done := Task{Allocations: []uint64{1}}, Task{}, Task{Done: true}
	step := func(ready bool, left int, tasks ...Task) StepState {
		return StepState{Ready: ready, TasksLeft: left, Tasks: tasks}
	}
	for _, c := range []struct {
		name string
		job  Job
		want bool
	}{
		{"all run", Job{Instances: []*JobInstance{{Steps: []StepState{step(true, 2, running, running)}}}}, true},
		{"one waits", Job{Instances: []*JobInstance{{Steps: []StepState{step(true, 2, running, waiting)}}}}, false},
		{"one is done, one runs", Job{Instances: []*JobInstance{{Steps: []StepState{step(true, 1, done, running)}}}}, true},
		{"a step is not ready", Job{Instances: []*JobInstance{{Steps: []StepState{step(true, 1, running), step(false, 1, waiting)}}}}, false},
		{"a failed instance does not count", Job{Instances: []*JobInstance{{Failed: true, Steps: []StepState{step(false, 1, waiting)}}}}, true},
		{"an instance is still to be created", Job{PeriodicInstances: 2, NextInstance: 1, Instances: []*JobInstance{{Steps: []StepState{step(true, 1, running)}}}}, false},
		{"a peer may have the job", Job{Transfer: JobTransfer{State: TransferOffered}}, false},
		{"the job has ended", Job{EndedAt: 1}, false},
	} {
		if got := c.job.AllTasksRunning(); got != c.want {
			t.Errorf("%s: in final runs %v, want the opposite", c.name, got)
		}
	}
}

// TestPendingJobCountCountsUnstartedJobs checks that a route's pending jobs are those of which no
// run was allocated, without canceled jobs and jobs of other routes.
func TestPendingJobCountCountsUnstartedJobs(t *testing.T) {
	f := newFixture(t)
	for i := range 5 {
		f.submit(fmt.Sprint("j", i), protocol.Step{TaskCount: 1, CPUUnits: 100, MemoryMB: 1})
	}
	if n := f.store.PendingJobCount(&clusterconfig.Route{Name: "a"}); n != 5 {
		t.Fatalf("%d jobs are pending, want 5", n)
	}
	worker := f.addWorker("w", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	f.applyPlan("j0", 0, false, Placement{Worker: "w", WorkerVersion: worker.Version})
	f.apply(&CancelJob{ID: "j1"})
	if n := f.store.PendingJobCount(&clusterconfig.Route{Name: "a"}); n != 3 {
		t.Errorf("%d jobs are pending after one started and one was canceled, want 3", n)
	}
	if n := f.store.PendingJobCount(&clusterconfig.Route{Name: "another"}); n != 0 {
		t.Errorf("%d jobs are pending on another route, want 0", n)
	}
}
