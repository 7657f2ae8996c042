package state

// Allocation is one run of one task on one worker, with its claims.
type Allocation struct {
	_               struct{} `cbor:",toarray"`
	ID              uint64
	Worker          string
	Job             string
	Instance        int
	Step            int
	TaskIndex       int
	Copy            int
	Run             int
	MilliCPU        int64
	MemoryMB        int64
	GPUs            []string
	BookedAt        int64
	Stopping        bool
	StopReason      string
	Checkpoint      string
	servicePriority ServicePriority
}

// TaskName is the protocol's name of its task.
func (a *Allocation) TaskName() string { return TaskName(a.Job, a.Instance, a.Step, a.TaskIndex) }

// recordUndo remembers how to take a change back, while a savepoint is open.
func (s *Store) recordUndo(undo func()) {
	if s.undoLog != nil {
		*s.undoLog = append(*s.undoLog, undo)
	}
}

// savepoint runs f and takes all its changes back if it returns false.
func (s *Store) savepoint(change func() bool) bool {
	outer := s.undoLog
	var inner []func()
	s.undoLog = &inner
	ok := change()
	s.undoLog = outer
	if !ok {
		for i := len(inner) - 1; i >= 0; i-- {
			inner[i]()
		}
	} else if outer != nil {
		*outer = append(*outer, inner...)
	}
	return ok
}

// closeRun ends the bookings and gives the room back.
func (s *Store) closeRun(allocation *Allocation) {
	if worker := s.Workers[allocation.Worker]; worker != nil {
		worker.UsedMilliCPU -= allocation.MilliCPU
		worker.UsedMemoryMB -= allocation.MemoryMB
		s.reindexWorker(worker)
	}
	for _, g := range allocation.GPUs {
		if device := s.Devices[g]; device != nil {
			s.releaseReservations(device, allocation.ID)
		}
	}
	if device := s.Devices[taskLockID(allocation.TaskName(), allocation.Copy)]; device != nil {
		s.releaseReservations(device, allocation.ID)
	}
	s.adjustRollup(allocation, -1)
	s.removeUsage(allocation)
	delete(s.Allocations, allocation.ID)
	delete(s.allocationsByWorker[allocation.Worker], allocation.ID)
	if job := s.Jobs[allocation.Job]; job != nil {
		task := &job.instance(allocation.Instance).Steps[allocation.Step].Tasks[allocation.TaskIndex]
		for i, id := range task.Allocations {
			if id == allocation.ID {
				task.Allocations = append(task.Allocations[:i:i], task.Allocations[i+1:]...)
				break
			}
		}
		if !task.Done {
			s.markPlaceable(job.ID, job.instance(allocation.Instance), allocation.Step)
		}
	}
}

// stopRun marks an allocation as to be stopped; it keeps its room and turn.
func (s *Store) stopRun(a *Allocation, reason string) {
	if a.Stopping {
		return
	}
	a.Stopping, a.StopReason = true, reason
	s.changedRuns = append(s.changedRuns, a.ID)
}
