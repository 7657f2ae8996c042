package state

// Allocation is one run of one task on one worker, with the resources reserved for
// it. It exists from the time its plan is applied until the run is known to have ended:
// by a completion, an expired lease or a crash of the runner.
type Allocation struct {
	_               struct{} `cbor:",toarray"`
	ID              uint64
	Worker          string
	Job             string
	Instance        int
	Step            int
	TaskIndex       int
	Copy            int // 0, or 1 for the speculative copy of a task
	Run             int // number of the run within its task, starting at 1
	MilliCPU        int64
	MemoryMB        int64
	GPUs            []string // device IDs
	AllocatedAt     int64
	Stopping        bool
	StopReason      string
	Checkpoint      string // the checkpoint that the run resumes from; empty if it starts afresh
	counted         bool   // whether the scheduling index includes its resources
	servicePriority ServicePriority
	tenant          string // the job's tenant
}

// TaskName returns the name by which runners identify the allocation's task.
func (a *Allocation) TaskName() string { return TaskName(a.Job, a.Instance, a.Step, a.TaskIndex) }

// addAllocation adds an allocation to the tables and indexes. Its devices and its
// worker's CPU and memory must have been reserved before.
func (s *Store) addAllocation(job *Job, instance *JobInstance, allocation *Allocation) {
	task := &instance.Steps[allocation.Step].Tasks[allocation.TaskIndex]
	lastRun, started := task.LastRun, job.Started
	task.LastRun = allocation.Run
	task.Allocations = append(task.Allocations[:len(task.Allocations):len(task.Allocations)], allocation.ID)
	job.Started = true
	instance.Steps[allocation.Step].LastAllocatedAt = s.Clock
	s.Allocations[allocation.ID] = allocation
	s.indexAllocation(allocation)
	s.adjustServiceUsage(allocation, 1)
	s.addUsage(allocation)
	s.changedRuns = append(s.changedRuns, allocation.ID)
	s.recordUndo(func() {
		task.LastRun, job.Started = lastRun, started
		task.Allocations = task.Allocations[:len(task.Allocations)-1]
		s.adjustServiceUsage(allocation, -1)
		s.removeUsage(allocation)
		delete(s.Allocations, allocation.ID)
		delete(s.allocationsByWorker[allocation.Worker], allocation.ID)
	})
}

// removeAllocation removes an allocation and releases all its resources. Its task can
// be placed again unless it is done.
func (s *Store) removeAllocation(allocation *Allocation) {
	if worker := s.Workers[allocation.Worker]; worker != nil {
		worker.UsedMilliCPU -= allocation.MilliCPU
		worker.UsedMemoryMB -= allocation.MemoryMB
		s.reindexWorker(worker)
	}
	for _, gpu := range allocation.GPUs {
		if device := s.Devices[gpu]; device != nil {
			device.releaseReservations(allocation.ID)
		}
	}
	if lock := s.Devices[taskLockID(allocation.TaskName(), allocation.Copy)]; lock != nil {
		lock.releaseReservations(allocation.ID)
	}
	s.adjustServiceUsage(allocation, -1)
	s.removeUsage(allocation)
	delete(s.Allocations, allocation.ID)
	delete(s.allocationsByWorker[allocation.Worker], allocation.ID)
	if job := s.Jobs[allocation.Job]; job != nil {
		instance := job.instance(allocation.Instance)
		task := &instance.Steps[allocation.Step].Tasks[allocation.TaskIndex]
		task.removeAllocation(allocation.ID)
		if !task.Done {
			s.markPlaceable(job.ID, instance, allocation.Step)
		}
	}
}

// stopRun marks a run as stopping, upon which its agent stops it. The run keeps its
// resources and its task's lock until its end is known.
func (s *Store) stopRun(allocation *Allocation, reason string) {
	if allocation.Stopping {
		return
	}
	allocation.Stopping, allocation.StopReason = true, reason
	s.changedRuns = append(s.changedRuns, allocation.ID)
}

// stopTaskRuns marks all runs of a task as stopping.
func (s *Store) stopTaskRuns(task *Task, reason string) {
	for _, id := range task.Allocations {
		if allocation := s.Allocations[id]; allocation != nil {
			s.stopRun(allocation, reason)
		}
	}
}
