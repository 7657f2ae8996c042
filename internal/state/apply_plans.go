package state

// ApplyPlans allocates runs as the scheduler planned them. Plans are made outside the
// log, on a snapshot of the state, so each placement is checked again against the
// present rows.
type ApplyPlans struct {
	_     struct{} `cbor:",toarray"`
	Plans []Plan
}

// Plan places tasks of one step of a job's instance.
type Plan struct {
	_            struct{} `cbor:",toarray"`
	Job          string
	Instance     int
	Step         int
	AllOrNothing bool // of a gang: either all placements are applied or none
	Placements   []Placement
}

// Placement places one task, or one copy of it, on one worker.
type Placement struct {
	_             struct{} `cbor:",toarray"`
	TaskIndex     int
	Copy          int
	Worker        string
	WorkerVersion uint64 // the version of the worker's row that it was planned on
}

// Replan makes a new plan for a step of whose plan a placement was refused;
// false if there is none. The scheduler sets it. It runs within a command, so
// it must be deterministic.
var Replan func(s *Store, p Plan) (Plan, bool)

// Apply applies each plan that still fits. One of which a placement is refused is
// replanned in the same command, Limits.MaxReplans times at most. The outcome's
// Value is the number of plans that were not applied completely.
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

// applyPlan applies a plan; false if a placement was refused. A plan that is no
// longer wanted, since its job has ended or gone to a peer, counts as applied.
func (s *Store) applyPlan(plan Plan) bool {
	job := s.Jobs[plan.Job]
	if job == nil || job.Canceled || job.ended() || job.instance(plan.Instance) == nil || plan.Step >= len(job.Steps) {
		return true
	}
	instance := job.instance(plan.Instance)
	if instance.Failed || !instance.Steps[plan.Step].Ready || job.AtPeer() {
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

// applyPlacement allocates one run, under the given number or, if that is 0, the
// next of its task. It returns false if the placement is refused; the caller's
// savepoint then undoes what was changed. A placement that is no longer wanted, or
// that no other worker could take either, is skipped and counts as applied.
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
	if !s.reserve(lock, id, s.Clock, Forever) || !s.claimResources(worker, spec.CPUUnits, spec.MemoryMB) {
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
	// A run starts from a checkpoint only if its step has checkpoints.
	if spec.Checkpoints {
		allocation.Checkpoint = task.Checkpoint
	}
	s.addAllocation(job, instance, allocation)
	return true
}

// placementStillValid reports whether a placement fits its worker's present row. The
// row's version changes when the worker drains or its lease expires.
func (s *Store) placementStillValid(job *Job, instance *JobInstance, step int, worker *Worker, placement Placement) bool {
	if worker.Version != placement.WorkerVersion || !s.Feasible(job, step, worker) {
		return false
	}
	limit := job.Steps[step].MaxPerWorker
	return limit <= 0 || s.CountStepTasks(job.ID, instance.Number, step, worker.ID) < limit
}

// Feasible reports whether a worker may run tasks of a step at all, whatever it
// has free.
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

// CountStepTasks counts the runs of a step's tasks on a worker.
func (s *Store) CountStepTasks(job string, instance, step int, worker string) int {
	n := 0
	for _, a := range s.allocationsByWorker[worker] {
		if a.Job == job && a.Step == step && a.Instance == instance {
			n++
		}
	}
	return n
}
