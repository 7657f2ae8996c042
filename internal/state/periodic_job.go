package state

import "math"

const (
	// maxDueTasksPerEntry is the number of tasks after which an entry adds no more instances of periodic
	// jobs. The leader proposes further entries while instances are due.
	maxDueTasksPerEntry = 10_000
	// maxInstanceBytes is the estimated size of an instance, in bytes, beyond which no server can hold it.
	maxInstanceBytes = 1 << 30
)

// dueInstances returns how many of the instances of a periodic job are due at a wall-clock time. The
// memory of submitted jobs is estimated by it, and instances are created by it.
func dueInstances(instances int, firstRunMs, intervalMs, wall int64) int {
	switch {
	case instances <= 0 || wall < firstRunMs:
		return 0
	case intervalMs <= 0:
		return instances
	}
	return int(min((wall-max(firstRunMs, 0))/intervalMs, int64(instances)-1)) + 1
}

// dueAt returns the wall-clock time at which an instance of a periodic job is due, at most
// math.MaxInt64.
func (j *Job) dueAt(instance int) int64 {
	return saturatingAdd(max(j.FirstRunMs, 0), saturatingMultiply(int64(instance), max(j.IntervalMs, 0)))
}

// isDue reports whether the next instance of a periodic job is due at a wall-clock time.
func (j *Job) isDue(wall int64) bool {
	return j.NextInstance < dueInstances(j.PeriodicInstances, j.FirstRunMs, j.IntervalMs, wall)
}

// hasMoreInstances reports whether a periodic job has instances that are not
// created yet.
func (j *Job) hasMoreInstances() bool {
	return j.PeriodicInstances > 0 && j.NextInstance < j.PeriodicInstances
}

// addDueInstances adds the instances of periodic jobs that are due, as many as one entry may.
func (s *Store) addDueInstances() {
	var due []*Job
	for _, job := range s.periodicJobs {
		if job.isDue(s.WallClock) {
			due = append(due, job)
		}
	}
	sortBySequence(due)
	tasksLeft := math.MaxInt
	if s.Format >= FormatBoundedJobs {
		tasksLeft = maxDueTasksPerEntry
	}
	for _, job := range due {
		tasksLeft = s.addDueInstancesOf(job, tasksLeft)
	}
}

// addDueInstancesOf adds due instances of a job until the tasks that are left for the entry are used
// up, and returns how many are left then.
func (s *Store) addDueInstancesOf(job *Job, tasksLeft int) int {
	if instanceBytes(job.Steps) > maxInstanceBytes {
		job.Failed = true
		s.endJob(job)
		return tasksLeft
	}
	for tasksLeft > 0 && job.isDue(s.WallClock) {
		s.addInstance(job)
		for i := range job.Steps {
			tasksLeft -= job.Steps[i].TaskCount
		}
	}
	if !job.hasMoreInstances() {
		delete(s.periodicJobs, job.ID)
	}
	return tasksLeft
}

// NextDueAt returns the wall-clock time at which the next instance of a periodic job
// falls due, or 0 if no further instance is due.
func (s *Store) NextDueAt() int64 {
	next := int64(0)
	for _, job := range s.periodicJobs {
		if due := job.dueAt(job.NextInstance); next == 0 || due < next {
			next = due
		}
	}
	return next
}
