package state

// ApplyPlans allocates runs as the scheduler planned them. Plans are made outside the
// log, on a snapshot of the state, so each placement is checked again against the
// current rows.
type ApplyPlans struct {
	_     struct{} `cbor:",toarray"`
	Plans []Plan
}

// Plan is a set of placements for the tasks of one step of a job instance.
type Plan struct {
	_            struct{} `cbor:",toarray"`
	Job          string
	Instance     int
	Step         int
	AllOrNothing bool // for a gang: either all placements are applied or none
	Placements   []Placement
}

// Placement assigns one task, or one copy of it, to one worker.
type Placement struct {
	_             struct{} `cbor:",toarray"`
	TaskIndex     int
	Copy          int
	Worker        string
	WorkerVersion uint64 // version of the worker's row when the placement was planned
}

// Replan makes a new plan for a step after a placement of its plan was refused. It
// returns false if there is no other plan. The scheduler sets it. It runs within a
// command, so it must be deterministic.
var Replan func(s *Store, refused Plan) (Plan, bool)

// Apply applies each plan that still fits. If a placement is refused, the step is
// replanned in the same command, at most Limits.MaxReplans times. The outcome's Value
// is the number of plans that were not applied completely.
func (c *ApplyPlans) Apply(s *Store) Outcome {
	refused := 0
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
			refused++
		}
	}
	return Outcome{Code: CodeOK, Value: int64(refused)}
}

// applyPlan applies a plan and returns false if a placement was refused. A plan that is
// no longer needed, because its job has ended or was offered to a peer, counts as applied.
func (s *Store) applyPlan(plan Plan) bool {
	job := s.Jobs[plan.Job]
	if job == nil || job.Canceled || job.ended() || job.instance(plan.Instance) == nil || plan.Step >= len(job.Steps) {
		return true
	}
	instance := job.instance(plan.Instance)
	if instance.Failed || !instance.Steps[plan.Step].Ready || job.MayBeAtPeer() {
		return true
	}
	if plan.AllOrNothing {
		return s.savepoint(func() bool {
			run := instance.Steps[plan.Step].lastRun() + 1
			for _, placement := range plan.Placements {
				if !s.applyPlacement(job, instance, plan.Step, placement, run) {
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

// applyPlacement allocates one run with the given run number, or with the next one of
// its task if that is 0. It returns false if the placement is refused; the caller's
// savepoint then undoes the changes. A placement that is no longer needed, or that no
// other worker could take either, is skipped and counts as applied.
func (s *Store) applyPlacement(job *Job, instance *JobInstance, step int, placement Placement, run int) bool {
	spec := &job.Steps[step]
	if placement.TaskIndex >= len(instance.Steps[step].Tasks) {
		return true
	}
	task := &instance.Steps[step].Tasks[placement.TaskIndex]
	if task.Done || s.loanExhausted(job, spec.CPUUnits) {
		return true
	}
	worker := s.Workers[placement.Worker]
	if worker == nil || !s.withinQuota(job, spec) || !s.placementStillValid(job, instance, step, worker, placement) {
		return false
	}
	lock := s.Devices[taskLockID(TaskName(job.ID, instance.Number, step, placement.TaskIndex), placement.Copy)]
	if lock == nil {
		return true
	}
	s.LastID++
	id := s.LastID
	if !s.reserve(lock, id, s.Clock, OpenEnd) || !s.claimResources(worker, spec.CPUUnits, spec.MemoryMB) {
		return false
	}
	gpus, ok := s.reserveGPUs(worker, spec.GPUs, id)
	if !ok {
		return false
	}
	if run == 0 {
		run = task.LastRun + 1
	}
	allocation := &Allocation{
		ID:          id,
		Worker:      worker.ID,
		Job:         job.ID,
		Instance:    instance.Number,
		Step:        step,
		TaskIndex:   placement.TaskIndex,
		Copy:        placement.Copy,
		Run:         run,
		MilliCPU:    spec.CPUUnits,
		MemoryMB:    spec.MemoryMB,
		GPUs:        gpus,
		AllocatedAt: s.Clock,
	}
	// Only runs of steps with checkpoints resume from one.
	if spec.Checkpoints {
		allocation.Checkpoint = task.Checkpoint
	}
	s.addAllocation(job, instance, allocation)
	return true
}

// placementStillValid reports whether a placement is still allowed by its worker's
// current row. The row's version changes when the worker drains or its lease expires.
func (s *Store) placementStillValid(job *Job, instance *JobInstance, step int, worker *Worker, placement Placement) bool {
	if worker.Version != placement.WorkerVersion || !s.Feasible(job, step, worker) {
		return false
	}
	limit := job.Steps[step].MaxPerWorker
	return limit <= 0 || s.CountStepTasks(job.ID, instance.Number, step, worker.ID) < limit
}

// Feasible reports whether a worker is eligible to run tasks of a step, regardless of
// its free resources.
func (s *Store) Feasible(job *Job, step int, worker *Worker) bool {
	return worker.Eligible(s.ServiceForStep(job, step), &job.Steps[step])
}

// CountStepTasks returns the number of allocations of a step's tasks on a worker.
func (s *Store) CountStepTasks(job string, instance, step int, worker string) int {
	count := 0
	for _, allocation := range s.allocationsByWorker[worker] {
		if allocation.Job == job && allocation.Step == step && allocation.Instance == instance {
			count++
		}
	}
	return count
}
