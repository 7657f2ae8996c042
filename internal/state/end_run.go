package state

// Results of runs, as the protocol with runners names them. With any other result,
// such as that of a stopped run, the task is to run again.
const (
	ResultDone    = "done"
	ResultFailed  = "failed"  // the task itself failed
	ResultRefused = "refused" // the runner did not start it
	// ResultLeaseExpired and ResultCrashed are set by the state itself for runs of a
	// worker whose leases expired or whose runner crashed.
	ResultLeaseExpired = "lapsed"
	ResultCrashed      = "crashed"
)

// EndedRun is a run that ended, recorded for traces. It is not part of the replicated state.
type EndedRun struct {
	Allocation *Allocation
	Result     string
	ClosedAt   int64
}

// TakeEndedRuns returns the runs that ended since the last call.
func (s *Store) TakeEndedRuns() []EndedRun { return takeAll(&s.endedRuns) }

// endRunsOn ends all runs on a worker, the oldest first.
func (s *Store) endRunsOn(worker *Worker, result string) {
	for _, allocation := range s.AllocationsOn(worker.ID) {
		s.endRun(allocation, result, "")
	}
}

// endRun ends a run. It saves the checkpoint, releases the run's resources and updates the
// job according to the result.
func (s *Store) endRun(allocation *Allocation, result, checkpoint string) {
	s.saveCheckpoint(allocation, checkpoint)
	s.removeAllocation(allocation)
	s.endedRuns = append(s.endedRuns, EndedRun{allocation, result, s.Clock})
	job := s.Jobs[allocation.Job]
	if job == nil {
		return
	}
	instance := job.instance(allocation.Instance)
	switch result {
	case ResultDone:
		s.recordSuccess(job, instance, allocation)
	case ResultFailed:
		s.recordFailure(job, instance, allocation)
	}
	if job.IsGang(allocation.Step) && result != ResultDone {
		s.stopGang(instance, allocation, "member "+result)
	}
}

// stopGang stops the other members of a gang's run, which cannot continue without the
// given member.
func (s *Store) stopGang(instance *JobInstance, member *Allocation, reason string) {
	for i := range instance.Steps[member.Step].Tasks {
		for _, id := range instance.Steps[member.Step].Tasks[i].Allocations {
			if other := s.Allocations[id]; other != nil && other.Run == member.Run {
				s.stopRun(other, reason)
			}
		}
	}
}

// saveCheckpoint stores a run's checkpoint for the next run of its task. In a gang it is
// stored for all tasks, since a checkpoint of any member is valid for the whole gang.
func (s *Store) saveCheckpoint(allocation *Allocation, checkpoint string) {
	job := s.Jobs[allocation.Job]
	if job == nil || checkpoint == "" {
		return
	}
	stepState := &job.instance(allocation.Instance).Steps[allocation.Step]
	if !job.IsGang(allocation.Step) {
		stepState.Tasks[allocation.TaskIndex].Checkpoint = checkpoint
		return
	}
	for i := range stepState.Tasks {
		stepState.Tasks[i].Checkpoint = checkpoint
	}
}

// recordSuccess completes the task of a successful run, or all tasks of its gang. Unless
// the run resumed from a checkpoint, its duration enters the run-time statistics on which
// estimates are based, scaled to that of a run near its data.
func (s *Store) recordSuccess(job *Job, instance *JobInstance, allocation *Allocation) {
	spec := &job.Steps[allocation.Step]
	if spec.LongRunning || instance.Failed || job.Canceled {
		return
	}
	stepState := &instance.Steps[allocation.Step]
	if allocation.Checkpoint == "" {
		tookMs := float64(s.Clock - allocation.AllocatedAt)
		if worker := s.Workers[allocation.Worker]; worker != nil && worker.RemoteFrom(spec.PreferredRack) {
			tookMs /= s.RemoteFactor()
		}
		stepState.DoneRunsMs += int64(tookMs)
		stepState.DoneRuns++
	}
	if !spec.Gang {
		s.completeTask(job, instance, allocation.Step, allocation.TaskIndex)
		return
	}
	for i := range stepState.Tasks {
		s.completeTask(job, instance, allocation.Step, i)
	}
}

// recordFailure counts a failed run; the members of a gang's run count as one failure.
func (s *Store) recordFailure(job *Job, instance *JobInstance, allocation *Allocation) {
	stepState := &instance.Steps[allocation.Step]
	if job.Canceled || stepState.Tasks[allocation.TaskIndex].Done {
		return
	}
	if job.IsGang(allocation.Step) {
		if stepState.LastFailedRun == allocation.Run {
			return
		}
		stepState.LastFailedRun = allocation.Run
	}
	s.countFailure(job, instance, allocation.Step, allocation.TaskIndex)
}
