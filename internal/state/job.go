package state

import (
	"tealpond/internal/protocol"
)

// Task is one task of a step.
type Task struct {
	_           struct{} `cbor:",toarray"`
	LastRun     int      // the highest run that was booked
	Failures    int
	Done        bool
	Checkpoint  string
	Allocations []uint64
}

// StepState is one step of an instance.
type StepState struct {
	_             struct{} `cbor:",toarray"`
	Ready         bool
	ReadyAt       int64 // on the store clock, when its turn came
	LastBookedAt  int64 // when a task of it was last booked
	CompletedAt   int64 // when its last task ended
	TasksLeft     int   // tasks not done
	GangFailures  int   // of the gang
	LastFailedRun int   // the gang's run that failed last
	DoneRunsMs    int64 // how long its done runs took together, as near their data
	DoneRuns      int64
	Tasks         []Task
}

// JobInstance is one of a job's times.
type JobInstance struct {
	_         struct{} `cbor:",toarray"`
	Number    int
	CreatedAt int64
	StepsLeft int // steps not done
	Failed    bool
	Steps     []StepState
}

// Job is one job.
type Job struct {
	_                 struct{} `cbor:",toarray"`
	ID                string
	Sequence          int64
	Route             string
	Service           string
	Priority          int
	MaxAttempts       int
	Stretch           float64
	TargetMs          int64
	Spec              string
	Steps             []protocol.Step
	PeriodicInstances int
	FirstRunMs        int64
	IntervalMs        int64
	CreatedAt         int64
	NextInstance      int
	Instances         []*JobInstance
	Canceled          bool
	Failed            bool
	Started           bool
	Done              bool
	EndedAt           int64
	Transfer          JobTransfer
}

func (j *Job) ended() bool { return j.EndedAt != 0 }

// Status is what senders are shown.
func (j *Job) Status() string {
	switch {
	case j.Canceled:
		return "called_off"
	case j.Failed:
		return "failed"
	case j.Done:
		return "done"
	case j.Started || j.Transfer.State == TransferAccepted:
		return "serving"
	}
	return "pending"
}

func (j *Job) dueAt(instance int) int64 { return j.FirstRunMs + int64(instance)*j.IntervalMs }

func (j *Job) instance(number int) *JobInstance {
	if number < len(j.Instances) {
		return j.Instances[number]
	}
	return nil
}

// IsGang tells whether a step's tasks run jointly.
func (j *Job) IsGang(step int) bool { return j.Steps[step].Gang }

func (s *Store) addInstance(job *Job) {
	instance := &JobInstance{Number: job.NextInstance, CreatedAt: s.Clock, StepsLeft: len(job.Steps), Steps: make([]StepState, len(job.Steps))}
	for i, step := range job.Steps {
		instance.Steps[i] = StepState{TasksLeft: step.TaskCount, Tasks: make([]Task, step.TaskCount)}
	}
	job.Instances = append(job.Instances, instance)
	job.NextInstance++
	s.readySteps(job, instance)
}

// readySteps makes the turns of steps whose earlier steps are done.
func (s *Store) readySteps(job *Job, instance *JobInstance) {
	for i := range instance.Steps {
		stepState := &instance.Steps[i]
		if stepState.Ready {
			continue
		}
		ready := true
		for _, dependency := range job.Steps[i].DependsOn {
			if instance.Steps[dependency].TasksLeft > 0 {
				ready = false
			}
		}
		if !ready {
			continue
		}
		stepState.Ready, stepState.ReadyAt = true, s.Clock
		for x := range stepState.Tasks {
			s.addTaskLocks(job, instance.Number, i, x)
		}
		s.markPlaceable(job.ID, instance, i)
	}
}

func (s *Store) addTaskLocks(job *Job, instance, step, index int) {
	copies := 1
	if job.Steps[step].Speculative {
		copies = 2
	}
	for c := 0; c < copies; c++ {
		id := taskLockID(TaskName(job.ID, instance, step, index), c)
		s.Devices[id] = &Device{ID: id, Class: ClassTaskLock, Healthy: true}
	}
}

// dropTaskLocks makes a task's right to run unhealthy; it goes with its last booking.
func (s *Store) dropTaskLocks(job *Job, instance, step, index int) {
	for c := 0; c < 2; c++ {
		delete(s.Devices, taskLockID(TaskName(job.ID, instance, step, index), c))
	}
}

func (s *Store) dropInstanceLocks(job *Job, instance *JobInstance) {
	for i := range instance.Steps {
		for x := range instance.Steps[i].Tasks {
			s.dropTaskLocks(job, instance.Number, i, x)
		}
	}
}

func (s *Store) completeTask(job *Job, instance *JobInstance, step, index int) {
	stepState := &instance.Steps[step]
	task := &stepState.Tasks[index]
	if task.Done {
		return
	}
	task.Done = true
	stepState.TasksLeft--
	s.dropTaskLocks(job, instance.Number, step, index)
	for _, id := range task.Allocations {
		if allocation := s.Allocations[id]; allocation != nil && !job.IsGang(step) {
			s.stopRun(allocation, "other copy done")
		}
	}
	if stepState.TasksLeft > 0 {
		return
	}
	instance.StepsLeft--
	delete(s.index.placeableSteps, StepRef{job.ID, instance.Number, step})
	stepState.CompletedAt = s.Clock
	if instance.StepsLeft > 0 {
		s.readySteps(job, instance)
		return
	}
	s.endJobIfComplete(job)
}

// endJobIfComplete closes a job all of whose times are over.
func (s *Store) endJobIfComplete(job *Job) {
	if job.ended() || job.PeriodicInstances > 0 && job.NextInstance < job.PeriodicInstances {
		return
	}
	for _, instance := range job.Instances {
		if instance.StepsLeft > 0 && !instance.Failed {
			return
		}
	}
	if !job.Failed {
		job.Done = true
	}
	s.endJob(job)
}

func (s *Store) endJob(j *Job) {
	j.EndedAt = max(s.Clock, 1)
	s.endedJobs = append(s.endedJobs, j)
	delete(s.openJobs, j.ID)
	delete(s.periodicJobs, j.ID)
	s.unmarkPlaceable(j)
}

// recordFailure counts a run that ended by the task's own fault.
func (s *Store) recordFailure(job *Job, instance *JobInstance, step, index int) {
	stepState := &instance.Steps[step]
	if job.Steps[step].LongRunning {
		return
	}
	failures := 0
	if job.IsGang(step) {
		stepState.GangFailures++
		failures = stepState.GangFailures
	} else {
		stepState.Tasks[index].Failures++
		failures = stepState.Tasks[index].Failures
	}
	if failures < job.MaxAttempts || instance.Failed {
		return
	}
	instance.Failed = true
	job.Failed = true
	s.dropInstanceLocks(job, instance)
	s.stopInstance(job, instance, "job failed")
	s.endJobIfComplete(job)
}

func (s *Store) stopInstance(job *Job, instance *JobInstance, reason string) {
	for i := range instance.Steps {
		for x := range instance.Steps[i].Tasks {
			for _, id := range instance.Steps[i].Tasks[x].Allocations {
				if allocation := s.Allocations[id]; allocation != nil {
					s.stopRun(allocation, reason)
				}
			}
		}
	}
}

// PendingWork is the work not yet begun, in thousandths of a core times ms.
func (s *Store) PendingWork() int64 {
	sum := int64(0)
	for _, job := range s.openJobs {
		for _, instance := range job.Instances {
			for i := range instance.Steps {
				stepState := &instance.Steps[i]
				if instance.Failed || stepState.TasksLeft == 0 {
					continue
				}
				sum += int64(stepState.TasksLeft) * job.Steps[i].CPUUnits * max(job.Steps[i].EstimateMs, 1)
			}
		}
	}
	return sum
}

// InFinalRuns tells whether all that is left of a job is under way: its next
// change is its end, or a run that must be repeated.
func (j *Job) InFinalRuns() bool {
	if j.ended() || j.NextInstance < j.PeriodicInstances || j.atPeer() {
		return false
	}
	for _, instance := range j.Instances {
		if instance.Failed {
			continue
		}
		for i := range instance.Steps {
			stepState := &instance.Steps[i]
			if stepState.TasksLeft > 0 && !stepState.Ready {
				return false
			}
			if stepState.TasksLeft == 0 {
				continue
			}
			for x := range stepState.Tasks {
				if !stepState.Tasks[x].Done && len(stepState.Tasks[x].Allocations) == 0 {
					return false
				}
			}
		}
	}
	return true
}

// coreMs is what one time of the job asks for, in cores times ms.
func (j *Job) coreMs() float64 {
	sum := 0.0
	for _, step := range j.Steps {
		sum += float64(step.TaskCount) * float64(step.CPUUnits) / 1000 * float64(step.EstimateMs)
	}
	return sum
}

// CriticalPathMs is the longest chain of estimates, Rest that of what is not yet done.
func (j *Job) CriticalPathMs() int64 { return j.longestPathMs(func(int) bool { return true }) }

// RemainingCriticalPathMs is Chain without the steps that are done.
func (j *Job) RemainingCriticalPathMs(instance *JobInstance) int64 {
	return j.longestPathMs(func(i int) bool { return instance.Steps[i].TasksLeft > 0 })
}

// TargetTurnaroundMs is the time a job may take and still count in full.
func (j *Job) TargetTurnaroundMs() int64 {
	return int64(j.Stretch*float64(j.CriticalPathMs())) + j.TargetMs
}

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
