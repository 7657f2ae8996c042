package state

import (
	"slices"
	"strconv"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
)

// Job is an accepted job. It is retained for some time after its end, see
// CollectGarbage.
type Job struct {
	_                 struct{} `cbor:",toarray"`
	ID                string
	Sequence          int64   // position in the order of acceptance
	Route             string  // key of its route, see Store.routeKey
	Service           string  // see Store.ServiceForStep
	Priority          int     // 0 is the highest
	MaxAttempts       int     // number of failed runs of a task, or of a gang, at which the job fails
	Stretch           float64 // see TargetTurnaroundMs
	TargetMs          int64   // see TargetTurnaroundMs
	Spec              string
	Steps             []protocol.Step
	PeriodicInstances int   // number of instances of a periodic job; 0 for other jobs
	FirstRunMs        int64 // due time of the first instance, on the wall clock
	IntervalMs        int64
	CreatedAt         int64
	NextInstance      int // number of the next instance to create
	Instances         []*JobInstance
	Canceled          bool
	Failed            bool
	Started           bool // whether any run of it was ever allocated
	Done              bool
	EndedAt           int64 // 0 while it is open
	Transfer          JobTransfer
	tenant            JobTenant            // see Store.JobTenants
	splitRoute        *clusterconfig.Route // its route if that divides jobs among services, else nil; see Store.splitRouteOf
}

// JobInstance is one execution of all steps of a job. A periodic job has one for each
// time that it is due, any other job has exactly one.
type JobInstance struct {
	_         struct{} `cbor:",toarray"`
	Number    int
	CreatedAt int64
	StepsLeft int // number of steps that are not done
	Failed    bool
	Steps     []StepState
}

// StepState is the progress of one step of a job instance.
type StepState struct {
	_               struct{} `cbor:",toarray"`
	Ready           bool     // whether all steps that it depends on are done
	ReadyAt         int64    // when the step became ready
	LastAllocatedAt int64    // when one of its runs was last allocated
	CompletedAt     int64    // when its last task completed
	TasksLeft       int      // number of tasks that are not done
	GangFailures    int      // number of failed runs of the gang
	LastFailedRun   int      // number of the gang's most recent failed run
	DoneRunsMs      int64    // total duration of successful runs, scaled to that of runs near their data
	DoneRuns        int64    // number of runs in DoneRunsMs
	Tasks           []Task
}

// Task is the progress of one task of a step.
type Task struct {
	_           struct{} `cbor:",toarray"`
	LastRun     int      // highest run number that was allocated
	Failures    int      // number of failed runs; a gang counts them in StepState.GangFailures
	Done        bool
	Checkpoint  string   // latest checkpoint, from which the next run resumes
	Allocations []uint64 // IDs of current allocations; the slice is copied on write since snapshots share it
}

// Job statuses, as shown to clients.
const (
	StatusPending  = "pending"
	StatusRunning  = "serving"
	StatusDone     = "done"
	StatusFailed   = "failed"
	StatusCanceled = "called_off"
)

// newJob creates a job on a route and gives it the next sequence number.
func (s *Store) newJob(id string, route *clusterconfig.Route, job protocol.Job) *Job {
	s.LastJobSequence++
	j := &Job{ID: id, Sequence: s.LastJobSequence, Route: s.routeKey(route), Spec: job.Spec, Steps: s.stepsOf(&job), CreatedAt: s.Clock}
	s.applyRoute(j, route)
	return j
}

// stepsOf returns the steps of a submitted job as they are kept.
func (s *Store) stepsOf(job *protocol.Job) []protocol.Step {
	if s.Format < FormatBoundedJobs {
		return job.Steps
	}
	return protocol.BoundedSteps(job.Steps)
}

// applyRouteSettings copies the route's scheduling settings to the job, but for the service.
func (j *Job) applyRouteSettings(route *clusterconfig.Route) {
	j.Priority, j.MaxAttempts = route.Priority, max(route.MaxAttempts, 1)
	j.Stretch, j.TargetMs = route.Stretch, route.TargetMs
}

func (j *Job) ended() bool { return j.EndedAt != 0 }

// Status returns the job's status as shown to clients.
func (j *Job) Status() string {
	switch {
	case j.Canceled:
		return StatusCanceled
	case j.Failed:
		return StatusFailed
	case j.Done:
		return StatusDone
	case j.Started || j.Transfer.State == TransferAccepted:
		return StatusRunning
	}
	return StatusPending
}

// instance returns the instance with the given number, or nil if it is not created yet.
func (j *Job) instance(number int) *JobInstance {
	if number < len(j.Instances) {
		return j.Instances[number]
	}
	return nil
}

// IsGang reports whether a step is gang scheduled: its tasks run all at once or not at all.
func (j *Job) IsGang(step int) bool { return j.Steps[step].Gang }

// AllTasksRunning reports whether every unfinished task of a job has a run, so that the next
// change is either the job's end or a run that must be repeated.
func (j *Job) AllTasksRunning() bool {
	if j.ended() || j.hasMoreInstances() || j.MayBeAtPeer() {
		return false
	}
	for _, instance := range j.Instances {
		if instance.Failed {
			continue
		}
		for i := range instance.Steps {
			if !instance.Steps[i].allTasksRunning() {
				return false
			}
		}
	}
	return true
}

// allTasksRunning reports whether each task of a step is done or has a run.
func (s *StepState) allTasksRunning() bool {
	if s.TasksLeft == 0 {
		return true
	}
	return s.Ready && !slices.ContainsFunc(s.Tasks, func(task Task) bool { return !task.Done && len(task.Allocations) == 0 })
}

// lastRun returns the highest run number of any of the step's tasks.
func (s *StepState) lastRun() int {
	last := 0
	for i := range s.Tasks {
		last = max(last, s.Tasks[i].LastRun)
	}
	return last
}

// hasRuns reports whether any task of the instance has an allocation.
func (i *JobInstance) hasRuns() bool {
	for step := range i.Steps {
		if slices.ContainsFunc(i.Steps[step].Tasks, func(task Task) bool { return len(task.Allocations) > 0 }) {
			return true
		}
	}
	return false
}

// removeAllocation removes an allocation from the task's list. The slice is copied, not
// modified in place, since a Snapshot may share it.
func (t *Task) removeAllocation(id uint64) {
	if i := slices.Index(t.Allocations, id); i >= 0 {
		t.Allocations = append(t.Allocations[:i:i], t.Allocations[i+1:]...)
	}
}

// coreMs returns the estimated work of one instance of the job, in cores times ms.
func (j *Job) coreMs() float64 {
	sum := 0.0
	for _, step := range j.Steps {
		sum += float64(step.TaskCount) * float64(step.CPUUnits) / 1000 * float64(step.EstimateMs)
	}
	return sum
}

// CriticalPathMs returns the length of the critical path: the longest chain of dependent
// steps, by their estimated durations.
func (j *Job) CriticalPathMs() int64 { return j.longestPathMs(func(int) bool { return true }) }

// RemainingCriticalPathMs returns the length of the critical path of the steps that are not
// done.
func (j *Job) RemainingCriticalPathMs(instance *JobInstance) int64 {
	return j.longestPathMs(func(i int) bool { return instance.Steps[i].TasksLeft > 0 })
}

// TargetTurnaroundMs returns the longest time from an instance's creation to its end that
// meets its route's target, at most protocol.MaxQuantity.
func (j *Job) TargetTurnaroundMs() int64 {
	stretched := min(max(j.Stretch*float64(j.CriticalPathMs()), 0), protocol.MaxQuantity)
	return min(saturatingAdd(int64(stretched), max(j.TargetMs, 0)), protocol.MaxQuantity)
}

// longestPathMs returns the length of the longest chain of dependent steps; only the
// steps for which counts returns true contribute. Steps depend on earlier steps only, so
// one pass in order is enough.
func (j *Job) longestPathMs(counts func(step int) bool) int64 {
	longest := int64(0)
	ends := make([]int64, len(j.Steps))
	for i, spec := range j.Steps {
		for _, dependency := range spec.DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		if counts(i) {
			ends[i] = saturatingAdd(ends[i], spec.EstimateMs)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// taskNameParts is the number of dot-separated parts of a task name, see TaskName.
const taskNameParts = 4

// TaskName returns the name by which runners identify a task: the job's ID and the numbers
// of instance, step and task, separated by dots.
func TaskName(job string, instance, step, index int) string {
	return job + "." + strconv.Itoa(instance) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}
