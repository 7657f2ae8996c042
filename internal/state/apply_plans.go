package state

// Placement places one task on one worker, as seen on a row's version.
type Placement struct {
	_             struct{} `cbor:",toarray"`
	TaskIndex     int
	Copy          int
	Worker        string
	WorkerVersion uint64
}

// Plan places tasks of one step; Whole: all or none.
type Plan struct {
	_            struct{} `cbor:",toarray"`
	Job          string
	Instance     int
	Step         int
	AllOrNothing bool
	Placements   []Placement
}

// ApplyPlans writes allocations and bookings for plans made on an older view.
type ApplyPlans struct {
	_     struct{} `cbor:",toarray"`
	Plans []Plan
}

// Replan makes a new plan for a step that lost a row; the placer sets it.
var Replan func(s *Store, p Plan) (Plan, bool)

// Apply books each plan under a savepoint; one that lost a row is rolled
// back and planned anew in the same command, a set number of times.
func (c *ApplyPlans) Apply(s *Store) Outcome {
	lost := 0
	for _, plan := range c.Plans {
		if s.applyPlan(plan) {
			continue
		}
		applied := false
		for i := 0; i < s.Limits.MaxReplans && Replan != nil && !applied; i++ {
			next, ok := Replan(s, plan)
			if !ok {
				break
			}
			plan = next
			applied = s.applyPlan(plan)
		}
		if !applied {
			lost++
		}
	}
	return Outcome{Code: CodeOK, Value: int64(lost)}
}

func (s *Store) applyPlan(plan Plan) bool {
	job := s.Jobs[plan.Job]
	if job == nil || job.Canceled || job.ended() || job.instance(plan.Instance) == nil || plan.Step >= len(job.Steps) {
		return true
	}
	instance := job.instance(plan.Instance)
	if instance.Failed || !instance.Steps[plan.Step].Ready || job.atPeer() {
		return true
	}
	if plan.AllOrNothing {
		return s.savepoint(func() bool {
			run := 0
			for x := range instance.Steps[plan.Step].Tasks {
				run = max(run, instance.Steps[plan.Step].Tasks[x].LastRun)
			}
			for _, placement := range plan.Placements {
				if !s.applyPlacement(job, instance, plan.Step, placement, run+1) {
					return false
				}
			}
			return true
		})
	}
	all := true
	for _, placement := range plan.Placements {
		if !s.savepoint(func() bool { return s.applyPlacement(job, instance, plan.Step, placement, 0) }) {
			all = false
		}
	}
	return all
}

// Feasible is the part of eligibility that rests on the task and the worker.
func (s *Store) Feasible(job *Job, step int, worker *Worker) bool {
	if !worker.Schedulable() || worker.Service != job.Service {
		return false
	}
	for _, label := range job.Steps[step].RequiredLabels {
		if !worker.HasLabel(label) {
			return false
		}
	}
	return true
}

// CountStepTasks counts the step's tasks on a worker.
func (s *Store) CountStepTasks(job string, instance, step int, worker string) int {
	n := 0
	for _, a := range s.allocationsByWorker[worker] {
		if a.Job == job && a.Step == step && a.Instance == instance {
			n++
		}
	}
	return n
}

func (s *Store) applyPlacement(job *Job, instance *JobInstance, step int, placement Placement, run int) bool {
	spec := job.Steps[step]
	if placement.TaskIndex >= len(instance.Steps[step].Tasks) {
		return true
	}
	task := &instance.Steps[step].Tasks[placement.TaskIndex]
	if task.Done {
		return true
	}
	if left, ok := s.LoanRemaining(job); ok && (left <= 0 || left < spec.CPUUnits && s.loanUsed(job.Transfer.Loan) > 0) {
		// Why skipped and not lost: no other worker would do either.
		return true
	}
	worker := s.Workers[placement.Worker]
	// Why the version: drain and lapse wrote this row after the plan was made.
	if worker == nil || worker.Version != placement.WorkerVersion || !s.Feasible(job, step, worker) {
		return false
	}
	if spec.MaxPerWorker > 0 && s.CountStepTasks(job.ID, instance.Number, step, worker.ID) >= spec.MaxPerWorker {
		return false
	}
	lock := s.Devices[taskLockID(TaskName(job.ID, instance.Number, step, placement.TaskIndex), placement.Copy)]
	if lock == nil {
		return true
	}
	s.LastID++
	id := s.LastID
	if !s.reserve(lock, id, s.Clock, Forever) || !s.claimCapacity(worker, spec.CPUUnits, spec.MemoryMB) {
		return false
	}
	var gpus []string
	for i := 0; i < worker.Capacity.GPUs && len(gpus) < spec.GPUs; i++ {
		if gpu := gpuDeviceID(worker.ID, i); s.reserve(s.Devices[gpu], id, s.Clock, Forever) {
			gpus = append(gpus, gpu)
		}
	}
	if len(gpus) < spec.GPUs {
		return false
	}
	if run == 0 {
		run = task.LastRun + 1
	}
	allocation := &Allocation{ID: id, Worker: worker.ID, Job: job.ID, Instance: instance.Number, Step: step, TaskIndex: placement.TaskIndex, Copy: placement.Copy, Run: run,
		MilliCPU: spec.CPUUnits, MemoryMB: spec.MemoryMB, GPUs: gpus, BookedAt: s.Clock}
	// Why only as steps ask: a text must belong to the task.
	if spec.Checkpoints {
		allocation.Checkpoint = task.Checkpoint
	}
	lastRun, started := task.LastRun, job.Started
	task.LastRun = run
	task.Allocations = append(task.Allocations[:len(task.Allocations):len(task.Allocations)], id)
	job.Started = true
	instance.Steps[step].LastBookedAt = s.Clock
	s.Allocations[id] = allocation
	s.indexAllocation(allocation)
	s.adjustRollup(allocation, 1)
	s.addUsage(allocation)
	s.changedRuns = append(s.changedRuns, id)
	s.recordUndo(func() {
		task.LastRun, job.Started = lastRun, started
		task.Allocations = task.Allocations[:len(task.Allocations)-1]
		s.adjustRollup(allocation, -1)
		s.removeUsage(allocation)
		delete(s.Allocations, id)
		delete(s.allocationsByWorker[allocation.Worker], id)
	})
	return true
}
