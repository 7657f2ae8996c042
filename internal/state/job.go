package state

import (
	"slices"
	"strconv"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
)

// Job is a job that was accepted. It is kept for a time after its end, see
// CollectGarbage.
type Job struct {
	_                 struct{} `cbor:",toarray"`
	ID                string
	Sequence          int64 // in the order of acceptance
	Route             string
	Service           string
	Priority          int     // 0 is the highest
	MaxAttempts       int     // failed runs of a task, or of a gang, that fail the job
	Stretch           float64 // see TargetTurnaroundMs
	TargetMs          int64   // see TargetTurnaroundMs
	Spec              string
	Steps             []protocol.Step
	PeriodicInstances int   // of a periodic job, how many instances it has; else 0
	FirstRunMs        int64 // on the wall clock
	IntervalMs        int64
	CreatedAt         int64
	NextInstance      int // number of the instance that is created next
	Instances         []*JobInstance
	Canceled          bool
	Failed            bool
	Started           bool // a run of it was allocated
	Done              bool
	EndedAt           int64 // 0 while it is open
	Transfer          JobTransfer
	tenant            JobTenant // see Store.JobTenants
}

// JobInstance is one execution of all steps of a job: a periodic job has one for
// each time that it falls due, any other has one.
type JobInstance struct {
	_         struct{} `cbor:",toarray"`
	Number    int
	CreatedAt int64
	StepsLeft int // that aren't done
	Failed    bool
	Steps     []StepState
}

// StepState is the progress of a step of an instance.
type StepState struct {
	_               struct{} `cbor:",toarray"`
	Ready           bool     // the steps that it depends on are done
	ReadyAt         int64    // when that was
	LastAllocatedAt int64    // when a run of it was last allocated
	CompletedAt     int64    // when its last task was done
	TasksLeft       int      // that aren't done
	GangFailures    int      // failed runs of the gang
	LastFailedRun   int      // the gang's run that failed last
	DoneRunsMs      int64    // total duration of its done runs, converted to that near their data
	DoneRuns        int64    // the number of these runs
	Tasks           []Task
}

// Task is the progress of a task of a step.
type Task struct {
	_           struct{} `cbor:",toarray"`
	LastRun     int      // the highest number of a run that was allocated
	Failures    int      // failed runs, of a task that isn't in a gang
	Done        bool
	Checkpoint  string   // the newest, for the next run
	Allocations []uint64 // of its runs; replaced as a whole, never written in place
}

// Statuses of jobs, as clients see them.
const (
	StatusPending  = "pending"
	StatusRunning  = "serving"
	StatusDone     = "done"
	StatusFailed   = "failed"
	StatusCanceled = "called_off"
)

// newJob makes a job of a route under the next sequence number.
func (s *Store) newJob(id string, route *clusterconfig.Route, job protocol.Job) *Job {
	s.LastJobSequence++
	j := &Job{ID: id, Sequence: s.LastJobSequence, Route: route.Name, Spec: job.Spec, Steps: job.Steps, CreatedAt: s.Clock}
	j.followRoute(route)
	return j
}

// followRoute copies a route's settings to a job.
func (j *Job) followRoute(route *clusterconfig.Route) {
	j.Service, j.Priority, j.MaxAttempts = route.TargetService, route.Priority, max(route.MaxAttempts, 1)
	j.Stretch, j.TargetMs = route.Stretch, route.TargetMs
}

func (j *Job) ended() bool { return j.EndedAt != 0 }

// Status is the job's status as clients see it.
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

// dueAt is when an instance of a periodic job falls due, on the wall clock.
func (j *Job) dueAt(instance int) int64 { return j.FirstRunMs + int64(instance)*j.IntervalMs }

// hasMoreInstances reports whether a periodic job has instances that aren't
// created yet.
func (j *Job) hasMoreInstances() bool {
	return j.PeriodicInstances > 0 && j.NextInstance < j.PeriodicInstances
}

// instance returns the instance of a number, or nil.
func (j *Job) instance(number int) *JobInstance {
	if number < len(j.Instances) {
		return j.Instances[number]
	}
	return nil
}

// IsGang reports whether a step's tasks run together: all at once or none.
func (j *Job) IsGang(step int) bool { return j.Steps[step].Gang }

// InFinalRuns reports whether every task that is left of a job has a run: the next
// change is the job's end, or a run that must be repeated.
func (j *Job) InFinalRuns() bool {
	if j.ended() || j.hasMoreInstances() || j.AtPeer() {
		return false
	}
	for _, instance := range j.Instances {
		if instance.Failed {
			continue
		}
		for i := range instance.Steps {
			if !instance.Steps[i].inFinalRuns() {
				return false
			}
		}
	}
	return true
}

// inFinalRuns reports whether each task of a step is done or runs.
func (s *StepState) inFinalRuns() bool {
	if s.TasksLeft == 0 {
		return true
	}
	return s.Ready && !slices.ContainsFunc(s.Tasks, func(task Task) bool { return !task.Done && len(task.Allocations) == 0 })
}

// lastRun is the highest number of a run of any of the step's tasks.
func (s *StepState) lastRun() int {
	last := 0
	for i := range s.Tasks {
		last = max(last, s.Tasks[i].LastRun)
	}
	return last
}

// hasRuns reports whether runs of an instance are allocated.
func (i *JobInstance) hasRuns() bool {
	for step := range i.Steps {
		if slices.ContainsFunc(i.Steps[step].Tasks, func(task Task) bool { return len(task.Allocations) > 0 }) {
			return true
		}
	}
	return false
}

// removeAllocation drops a run of the task. The list is replaced, since a
// Snapshot may share it.
func (t *Task) removeAllocation(id uint64) {
	if i := slices.Index(t.Allocations, id); i >= 0 {
		t.Allocations = append(t.Allocations[:i:i], t.Allocations[i+1:]...)
	}
}

// coreMs is the work of one instance of the job, in cores times ms.
func (j *Job) coreMs() float64 {
	sum := 0.0
	for _, step := range j.Steps {
		sum += float64(step.TaskCount) * float64(step.CPUUnits) / 1000 * float64(step.EstimateMs)
	}
	return sum
}

// CriticalPathMs is the length of the longest chain of steps that depend on one
// another, by their estimates.
func (j *Job) CriticalPathMs() int64 { return j.longestPathMs(func(int) bool { return true }) }

// RemainingCriticalPathMs is CriticalPathMs without the steps that are done.
func (j *Job) RemainingCriticalPathMs(instance *JobInstance) int64 {
	return j.longestPathMs(func(i int) bool { return instance.Steps[i].TasksLeft > 0 })
}

// TargetTurnaroundMs is how long an instance may take, from its creation to its
// end, and still meet its route's target.
func (j *Job) TargetTurnaroundMs() int64 {
	return int64(j.Stretch*float64(j.CriticalPathMs())) + j.TargetMs
}

// longestPathMs is the length of the longest chain, in which only some steps
// count. Steps depend on earlier ones only.
func (j *Job) longestPathMs(counts func(step int) bool) int64 {
	longest := int64(0)
	ends := make([]int64, len(j.Steps))
	for i, spec := range j.Steps {
		for _, dependency := range spec.DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		if counts(i) {
			ends[i] += spec.EstimateMs
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// taskNameParts is the number of parts of a task's name, see TaskName.
const taskNameParts = 4

// TaskName is the name that runners know a task by: the job's ID and the numbers
// of instance, step and task, with dots between.
func TaskName(job string, instance, step, index int) string {
	return job + "." + strconv.Itoa(instance) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}
