package scheduler

import (
	"sort"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// preemptionDelay is how long work waits for free capacity before it may preempt other runs.
const preemptionDelay = 60 * time.Millisecond

// placementRequest is a step with tasks to place.
type placementRequest struct {
	job      *state.Job
	instance *state.JobInstance
	step     int
	service  string // whose workers run the tasks, see state.Store.ServiceForStep
	tasks    []state.Placement
	slackMs  int64 // from now to the target
	class    deadlineClass
	// latestStart is when the rest of the job must start at the latest to stay in its
	// class, in ms of the state clock.
	latestStart int64
	// heavyTenant is set if the tenant already uses a large part of its quota.
	heavyTenant bool
	// speculative requests are for copies of stragglers. No copy is placed on one of
	// excludedWorkers, where the original runs are.
	speculative     bool
	excludedWorkers map[string]bool
}

// newPlacementRequest returns a request without tasks.
func newPlacementRequest(store *state.Store, job *state.Job, instance *state.JobInstance, step int) placementRequest {
	return placementRequest{job: job, instance: instance, step: step, service: store.ServiceForStep(job, step)}
}

func (r *placementRequest) spec() *protocol.Step { return &r.job.Steps[r.step] }

func (r *placementRequest) isGang() bool { return r.job.IsGang(r.step) }

// isLong reports whether the tasks are estimated to take at least longTaskThreshold.
func (r *placementRequest) isLong() bool {
	return r.spec().EstimateMs >= longTaskThreshold.Milliseconds()
}

func (r *placementRequest) servicePriority() state.ServicePriority {
	return state.ServicePriority{Service: r.service, Priority: r.job.Priority}
}

// stepName identifies the step: it is the name of the step's first task.
func (r *placementRequest) stepName() string {
	return state.TaskName(r.job.ID, r.instance.Number, r.step, 0)
}

// mayPreempt reports whether tasks that don't fit may preempt lower-priority runs: they
// can still gain by an earlier start, and have waited for free capacity long enough.
func (r *placementRequest) mayPreempt(now int64) bool {
	return r.class < tooLate && !r.speculative && !r.job.BeyondShare() && now-r.instance.Steps[r.step].ReadyAt >= preemptionDelay.Milliseconds()
}

// deadlineClass is what a job can still achieve if the rest of it starts now.
type deadlineClass int

const (
	onTime  deadlineClass = iota // it can meet its target
	late                         // it can still count as late
	tooLate                      // an earlier start gains nothing
)

// lateFactor is the multiple of its target up to which a job's turnaround still counts
// as late, by the operators' rules.
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

// pendingRequests returns the steps with waiting tasks, the most urgent first. It
// examines only steps that the state lists as placeable.
func pendingRequests(store *state.Store) []placementRequest {
	var requests []placementRequest
	paths := criticalPaths{}
	store.EachPlaceableStep(func(job *state.Job, instance *state.JobInstance, step int) bool {
		stepState := &instance.Steps[step]
		if instance.Failed || instance.StepsLeft == 0 || !stepState.Ready || stepState.TasksLeft == 0 {
			return false
		}
		request := newPlacementRequest(store, job, instance, step)
		if request.isGang() {
			request.tasks = waitingGang(stepState)
		} else {
			request.tasks = waitingTasks(stepState)
		}
		if len(request.tasks) == 0 {
			return false
		}
		if job.MayBeAtPeer() {
			return true
		}
		path := paths.of(job, instance)
		request.slackMs = instance.CreatedAt + path.targetMs - store.Clock
		request.class, request.latestStart = classifyDeadline(store.Clock, instance.CreatedAt, path.targetMs, path.remainingMs)
		request.heavyTenant = isHeavyTenant(store, job.Tenant())
		requests = append(requests, request)
		return true
	})
	sort.Slice(requests, func(a, b int) bool { return requests[a].moreUrgent(&requests[b]) })
	return requests
}

// criticalPath is what the deadline of each step of an instance depends on.
type criticalPath struct {
	targetMs    int64 // see state.Job.TargetTurnaroundMs
	remainingMs int64 // see state.Job.RemainingCriticalPathMs
}

// criticalPaths holds the critical paths of instances. Each takes a pass over all steps of the job, so
// it must not be computed for each step again.
type criticalPaths map[*state.JobInstance]criticalPath

// of returns the critical path of an instance of a job.
func (c criticalPaths) of(job *state.Job, instance *state.JobInstance) criticalPath {
	path, ok := c[instance]
	if !ok {
		path = criticalPath{job.TargetTurnaroundMs(), job.RemainingCriticalPathMs(instance)}
		c[instance] = path
	}
	return path
}

// moreUrgent reports whether a request comes before another. Requests of tenants within
// their shares come first, whatever their priority. Within a priority, jobs that can
// still meet their target come first, since a job that is already late gains nothing
// from an earlier start.
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

// waitingTasks returns the tasks of a step that neither run nor are done.
func waitingTasks(stepState *state.StepState) []state.Placement {
	var waiting []state.Placement
	for i := range stepState.Tasks {
		if task := &stepState.Tasks[i]; !task.Done && len(task.Allocations) == 0 {
			waiting = append(waiting, state.Placement{TaskIndex: i})
		}
	}
	return waiting
}

// waitingGang returns all tasks of a gang, or none while one of them still has an
// allocation.
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
