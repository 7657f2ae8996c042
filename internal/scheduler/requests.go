package scheduler

import (
	"sort"

	"tealpond/internal/state"
)

// placementRequest is one step that has tasks to place.
type placementRequest struct {
	job           *state.Job
	instance      *state.JobInstance
	step          int
	tasks         []state.Placement
	slack         int64 // to the aim
	deadlineClass int   // 0: can meet its aim, 1: can still be late, 2: too late
	latestStart   int64
	// speculative of runs in trouble go to none of the workers in not.
	speculative     bool
	excludedWorkers map[string]bool
}

// pendingRequests lists what waits, the most urgent first. It looks only at steps that
// changed so that something of them may wait.
func pendingRequests(store *state.Store) []placementRequest {
	var out []placementRequest
	store.EachPlaceableStep(func(job *state.Job, instance *state.JobInstance, step int) bool {
		stepState := &instance.Steps[step]
		if instance.Failed || instance.StepsLeft == 0 || !stepState.Ready || stepState.TasksLeft == 0 {
			return false
		}
		request := placementRequest{job: job, instance: instance, step: step}
		if job.IsGang(step) {
			request.tasks = gangTasks(stepState)
		} else {
			for x := range stepState.Tasks {
				if t := &stepState.Tasks[x]; !t.Done && len(t.Allocations) == 0 {
					request.tasks = append(request.tasks, state.Placement{TaskIndex: x})
				}
			}
		}
		if len(request.tasks) == 0 {
			return false
		}
		if job.AtPeer() {
			return true
		}
		aim := job.TargetTurnaroundMs()
		request.slack = instance.CreatedAt + aim - store.Clock
		request.deadlineClass, request.latestStart = classifyDeadline(store.Clock, instance.CreatedAt, aim, job.RemainingCriticalPathMs(instance))
		out = append(out, request)
		return true
	})
	sort.Slice(out, func(a, b int) bool {
		x, y := &out[a], &out[b]
		switch {
		case x.job.Priority != y.job.Priority:
			return x.job.Priority < y.job.Priority
		case x.deadlineClass != y.deadlineClass:
			return x.deadlineClass < y.deadlineClass
		case x.latestStart != y.latestStart:
			return x.latestStart < y.latestStart
		case x.job.Sequence != y.job.Sequence:
			return x.job.Sequence < y.job.Sequence
		case x.instance.Number != y.instance.Number:
			return x.instance.Number < y.instance.Number
		}
		return x.step < y.step
	})
	return out
}

// classifyDeadline tells what a job can still earn, and by when. Why first those that
// can meet their aim: one that is late already gains nothing by being sooner.
func classifyDeadline(now, submittedAt, target, remaining int64) (int, int64) {
	switch {
	case now+remaining <= submittedAt+target:
		return 0, submittedAt + target - remaining
	case now+remaining <= submittedAt+lateFactor*target:
		return 1, submittedAt + lateFactor*target - remaining
	}
	return 2, submittedAt
}

// lateFactor is how many times its aim a job may take and still count as late
// (the rules' own figure).
const lateFactor = 3

// gangTasks are all of a gang, or none while a member still holds its room.
func gangTasks(stepState *state.StepState) []state.Placement {
	var items []state.Placement
	for x := range stepState.Tasks {
		if len(stepState.Tasks[x].Allocations) > 0 {
			return nil
		}
		items = append(items, state.Placement{TaskIndex: x})
	}
	return items
}
