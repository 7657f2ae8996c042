package scheduler

import (
	"sort"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// preemptionDelay is how long urgent work waits before it preempts other runs.
const preemptionDelay = 60 * time.Millisecond

// placementRequest is one step that has tasks to place.
type placementRequest struct {
	job      *state.Job
	instance *state.JobInstance
	step     int
	tasks    []state.Placement
	slackMs  int64 // from now to the target
	class    deadlineClass
	// latestStart is when the rest of the job must start to stay in its class, in
	// ms of the state's clock.
	latestStart int64
	// heavyTenant: the tenant uses a large part of its quota already.
	heavyTenant bool
	// speculative requests are for copies of runs in trouble; none goes to one of
	// excludedWorkers, where those run.
	speculative     bool
	excludedWorkers map[string]bool
}

func (r *placementRequest) spec() *protocol.Step { return &r.job.Steps[r.step] }

func (r *placementRequest) isGang() bool { return r.job.IsGang(r.step) }

// isLong reports whether the tasks take so long that they leave room to more urgent ones.
func (r *placementRequest) isLong() bool {
	return r.spec().EstimateMs >= longTaskThreshold.Milliseconds()
}

func (r *placementRequest) servicePriority() state.ServicePriority {
	return state.ServicePriority{Service: r.job.Service, Priority: r.job.Priority}
}

// stepName is a name for the step, the same for all its tasks.
func (r *placementRequest) stepName() string {
	return state.TaskName(r.job.ID, r.instance.Number, r.step, 0)
}

// mayPreempt reports whether tasks that find no room may preempt less urgent runs:
// they still gain by it, and have waited long enough for room to come free.
func (r *placementRequest) mayPreempt(now int64) bool {
	return r.class < tooLate && !r.speculative && !r.job.BeyondShare() && now-r.instance.Steps[r.step].ReadyAt >= preemptionDelay.Milliseconds()
}

// deadlineClass is what a job can still achieve if the rest of it starts now.
type deadlineClass int

const (
	onTime  deadlineClass = iota // it can meet its target
	late                         // it can still count as late
	tooLate                      // it gains nothing by being sooner
)

// lateFactor is how many times its target a job may take to still count as late,
// by the operators' rules.
const lateFactor = 3

// classifyDeadline returns a job's class and the latest start that keeps it in that
// class. All arguments are in milliseconds; remaining is the critical path of what
// is left.
func classifyDeadline(now, submittedAt, target, remaining int64) (deadlineClass, int64) {
	switch {
	case now+remaining <= submittedAt+target:
		return onTime, submittedAt + target - remaining
	case now+remaining <= submittedAt+lateFactor*target:
		return late, submittedAt + lateFactor*target - remaining
	}
	return tooLate, submittedAt
}

// pendingRequests lists the steps whose tasks wait, the most urgent first. It looks
// only at steps that changed in a way that may let something wait.
func pendingRequests(store *state.Store) []placementRequest {
	var requests []placementRequest
	store.EachPlaceableStep(func(job *state.Job, instance *state.JobInstance, step int) bool {
		stepState := &instance.Steps[step]
		if instance.Failed || instance.StepsLeft == 0 || !stepState.Ready || stepState.TasksLeft == 0 {
			return false
		}
		request := placementRequest{job: job, instance: instance, step: step}
		if request.isGang() {
			request.tasks = waitingGang(stepState)
		} else {
			request.tasks = waitingTasks(stepState)
		}
		if len(request.tasks) == 0 {
			return false
		}
		if job.AtPeer() {
			return true
		}
		target := job.TargetTurnaroundMs()
		request.slackMs = instance.CreatedAt + target - store.Clock
		request.class, request.latestStart = classifyDeadline(store.Clock, instance.CreatedAt, target, job.RemainingCriticalPathMs(instance))
		request.heavyTenant = usesMuchOfQuota(store, job.Tenant())
		requests = append(requests, request)
		return true
	})
	sort.Slice(requests, func(a, b int) bool { return requests[a].moreUrgent(&requests[b]) })
	return requests
}

// moreUrgent orders requests. Those of tenants within their shares come first,
// whatever their priority. Within a priority, jobs that can meet their target come
// first: one that is late already gains nothing by being sooner.
func (r *placementRequest) moreUrgent(other *placementRequest) bool {
	switch {
	case r.job.BeyondShare() != other.job.BeyondShare():
		return other.job.BeyondShare()
	case r.job.Priority != other.job.Priority:
		return r.job.Priority < other.job.Priority
	case r.class != other.class:
		return r.class < other.class
	case r.heavyTenant != other.heavyTenant:
		return other.heavyTenant
	case r.latestStart != other.latestStart:
		return r.latestStart < other.latestStart
	case r.job.Sequence != other.job.Sequence:
		return r.job.Sequence < other.job.Sequence
	case r.instance.Number != other.instance.Number:
		return r.instance.Number < other.instance.Number
	}
	return r.step < other.step
}

// waitingTasks are the tasks of a step that neither run nor are done.
func waitingTasks(stepState *state.StepState) []state.Placement {
	var waiting []state.Placement
	for i := range stepState.Tasks {
		if task := &stepState.Tasks[i]; !task.Done && len(task.Allocations) == 0 {
			waiting = append(waiting, state.Placement{TaskIndex: i})
		}
	}
	return waiting
}

// waitingGang are all tasks of a gang, or none while one of them still holds room.
func waitingGang(stepState *state.StepState) []state.Placement {
	var waiting []state.Placement
	for i := range stepState.Tasks {
		if len(stepState.Tasks[i].Allocations) > 0 {
			return nil
		}
		waiting = append(waiting, state.Placement{TaskIndex: i})
	}
	return waiting
}
