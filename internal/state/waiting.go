package state

import (
	"slices"

	"tealpond/internal/clusterconfig"
)

// PendingJobCount returns the number of open jobs of a route of which no task is known to have begun.
func (s *Store) PendingJobCount(route *clusterconfig.Route) int {
	key, count := s.routeKey(route), 0
	for _, job := range s.openJobs {
		if job.Route == key && s.isWaiting(job) {
			count++
		}
	}
	return count
}

// isWaiting reports whether no task of an open job is known to have begun. A job that was placed and never
// begun waits again: its runs were refused, or were lost with their runner.
func (s *Store) isWaiting(job *Job) bool {
	if job.Failed || job.Transfer.State == TransferAccepted {
		return false
	}
	return !job.Started || !slices.ContainsFunc(job.Instances, s.hasBegun)
}

// hasBegun reports whether a task of the instance has ended, has saved a checkpoint, or has a run on a worker
// that may start it.
func (s *Store) hasBegun(instance *JobInstance) bool {
	for i := range instance.Steps {
		step := &instance.Steps[i]
		if step.DoneRuns > 0 || step.GangFailures > 0 || slices.ContainsFunc(step.Tasks, s.taskHasBegun) {
			return true
		}
	}
	return false
}

func (s *Store) taskHasBegun(task Task) bool {
	return task.Done || task.Failures > 0 || task.Checkpoint != "" || slices.ContainsFunc(task.Allocations, s.mayRun)
}

// mayRun reports whether the worker of an allocation may start it or is running it.
func (s *Store) mayRun(id uint64) bool {
	allocation := s.Allocations[id]
	if allocation == nil {
		return false
	}
	worker := s.Workers[allocation.Worker]
	return worker != nil && !worker.Unhealthy && !worker.LeaseExpired && !worker.Dead
}
