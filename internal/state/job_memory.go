package state

import "tealpond/internal/protocol"

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

// bytes estimates the memory of the job with its instances so far.
func (j *Job) bytes() float64 {
	return specBytes(j.Spec, j.Steps) + float64(len(j.Instances))*instanceBytes(j.Steps)
}

// JobBytes estimates the memory that all jobs occupy, in bytes.
func (s *Store) JobBytes() float64 { return s.jobBytes }

// EstimatedBytes estimates the memory that a job will occupy once it is accepted, in bytes. Of a
// periodic job the instances count that are due by the wall-clock time dueBy.
func EstimatedBytes(submitted *protocol.Job, dueBy int64) float64 {
	instances := int64(1)
	if submitted.PeriodicInstances > 0 {
		instances = dueInstances(submitted, dueBy)
	}
	return specBytes(submitted.Spec, submitted.Steps) + float64(instances)*instanceBytes(submitted.Steps)
}

// dueInstances returns the number of instances of a periodic job that are due by a wall-clock time.
func dueInstances(submitted *protocol.Job, dueBy int64) int64 {
	all := int64(submitted.PeriodicInstances)
	switch {
	case dueBy < submitted.FirstRunMs:
		return 0
	case submitted.IntervalMs == 0:
		return all
	}
	return min((dueBy-submitted.FirstRunMs)/submitted.IntervalMs+1, all)
}
