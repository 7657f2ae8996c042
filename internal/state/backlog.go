package state

import (
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
		if spec := &j.Steps[i]; !spec.LongRunning {
			left += int64(instance.Steps[i].TasksLeft) * spec.CPUUnits * max(spec.EstimateMs, 1)
		}
	}
	return left
}

// TargetTurnaroundMs is how long a job that is yet to be submitted may take on a route and
// still meet the route's target.
func TargetTurnaroundMs(route *clusterconfig.Route, submitted *protocol.Job) int64 {
	job := Job{Steps: submitted.Steps}
	job.followRoute(route)
	return job.TargetTurnaroundMs()
}
