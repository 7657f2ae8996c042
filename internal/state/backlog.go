package state

import (
	"slices"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
)

// BacklogKey is by what the backlog is summed up.
type BacklogKey struct {
	Service  string
	Tenant   string // empty where there are no tenants
	Priority int
}

// Backlog is the work of all tasks that aren't done, running ones included, by their
// estimates, in thousandths of a core times ms. Long-running tasks have no end to wait for
// and don't count.
func (s *Store) Backlog() map[BacklogKey]int64 {
	backlog := map[BacklogKey]int64{}
	for _, job := range s.openJobs {
		key := BacklogKey{job.Service, job.Tenant(), job.Priority}
		for _, instance := range job.Instances {
			if !instance.Failed {
				backlog[key] += job.workLeft(instance)
			}
		}
	}
	return backlog
}

// workLeft is the work of an instance's tasks that aren't done.
func (j *Job) workLeft(instance *JobInstance) int64 {
	left := int64(0)
	for i := range instance.Steps {
		left += workOfTasks(&j.Steps[i], instance.Steps[i].TasksLeft)
	}
	return left
}

// workOfTasks is the work of so many tasks of a step.
func workOfTasks(spec *protocol.Step, count int) int64 {
	if spec.LongRunning {
		return 0
	}
	return int64(count) * spec.CPUUnits * max(spec.EstimateMs, 1)
}

// WorkOf is the work of a job that is yet to be submitted, as Backlog counts it.
func WorkOf(submitted *protocol.Job) int64 {
	work := int64(0)
	for i := range submitted.Steps {
		work += workOfTasks(&submitted.Steps[i], submitted.Steps[i].TaskCount)
	}
	return work
}

// TargetTurnaroundMs is how long a job that is yet to be submitted may take on a route and
// still meet the route's target, where so much CPU, in thousandths of a core, is the most
// that may run of it at once: a wider step runs in waves.
func TargetTurnaroundMs(route *clusterconfig.Route, submitted *protocol.Job, mostMilliCPU int64) int64 {
	job := Job{Steps: slices.Clone(submitted.Steps)}
	for i := range job.Steps {
		spec := &job.Steps[i]
		width := int64(spec.TaskCount) * spec.CPUUnits
		if mostMilliCPU > 0 && width > mostMilliCPU {
			spec.EstimateMs *= (width + mostMilliCPU - 1) / mostMilliCPU
		}
	}
	job.followRoute(route)
	return job.TargetTurnaroundMs()
}
