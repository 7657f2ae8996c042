package state

import (
	"time"

	"tealpond/internal/protocol"
)

// DueInstancesHorizon is the time for which memory is set aside for the instances of a periodic job.
const DueInstancesHorizon = 10 * time.Minute

// Estimated sizes of the parts of an accepted job, in bytes: in the tables, and in the copies that the
// log and the newest snapshot hold.
const (
	jobBytes        = 2 << 10
	stepBytes       = 1 << 10
	taskBytes       = 512
	dependencyBytes = 16
)

// specBytes estimates the memory of a job without its instances.
func specBytes(spec string, steps []protocol.Step) float64 {
	bytes := float64(jobBytes + len(spec))
	for i := range steps {
		bytes += float64(dependencyBytes * len(steps[i].DependsOn))
	}
	return bytes
}

// instanceBytes estimates the memory of one instance of a job. It is a float64, since nothing bounds
// the number of tasks.
func instanceBytes(steps []protocol.Step) float64 {
	bytes := 0.0
	for i := range steps {
		bytes += stepBytes + taskBytes*float64(steps[i].TaskCount)
	}
	return bytes
}

// bytes estimates the memory of the job with its instances so far, or with those that may fall due
// within DueInstancesHorizon if these are more.
func (j *Job) bytes() float64 {
	instances := max(len(j.Instances), instancesWithinHorizon(j.PeriodicInstances, j.IntervalMs))
	return specBytes(j.Spec, j.Steps) + float64(instances)*instanceBytes(j.Steps)
}

// JobBytes estimates the memory that all jobs occupy, in bytes.
func (s *Store) JobBytes() float64 { return s.jobBytes }

// EstimatedBytes estimates the memory that a job will occupy once it is accepted at a wall-clock time, in
// bytes. Of a periodic job the instances count that are due within DueInstancesHorizon, or that will be
// within such a time if its first one is due later.
func EstimatedBytes(submitted *protocol.Job, wall int64) float64 {
	horizon := saturatingAdd(wall, DueInstancesHorizon.Milliseconds())
	due := dueInstances(submitted.PeriodicInstances, submitted.FirstRunMs, submitted.IntervalMs, horizon)
	instances := max(due, instancesWithinHorizon(submitted.PeriodicInstances, submitted.IntervalMs))
	return specBytes(submitted.Spec, submitted.Steps) + float64(instances)*instanceBytes(submitted.Steps)
}

// instancesWithinHorizon returns the most instances of a job that fall due within DueInstancesHorizon.
func instancesWithinHorizon(instances int, intervalMs int64) int {
	if instances <= 0 {
		return 1 // of a job that isn't periodic
	}
	return dueInstances(instances, 0, intervalMs, DueInstancesHorizon.Milliseconds())
}
