package state

import (
	"slices"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
)

// BacklogKey is the combination of attributes by which the backlog is grouped.
type BacklogKey struct {
	Service  string
	Tenant   string // empty for jobs without a tenant
	Priority int
}

// Backlog returns the estimated work of all unfinished tasks, including running ones, in
// millicores times ms. Long-running tasks are not counted, since they are not expected to end.
func (s *Store) Backlog() map[BacklogKey]int64 {
	backlog := map[BacklogKey]int64{}
	for _, job := range s.openJobs {
		s.addRemainingWork(backlog, job)
	}
	return backlog
}

// addRemainingWork adds the estimated work of a job's unfinished tasks to a backlog.
func (s *Store) addRemainingWork(backlog map[BacklogKey]int64, job *Job) {
	key, remaining := BacklogKey{job.Service, job.Tenant(), job.Priority}, int64(0)
	for _, instance := range job.Instances {
		if instance.Failed {
			continue
		}
		for i := range instance.Steps {
			work := taskWork(&job.Steps[i], instance.Steps[i].TasksLeft)
			if service := s.ServiceForStep(job, i); service != job.Service {
				key := BacklogKey{service, job.Tenant(), job.Priority}
				backlog[key] = saturatingAdd(backlog[key], work)
				continue
			}
			remaining = saturatingAdd(remaining, work)
		}
	}
	backlog[key] = saturatingAdd(backlog[key], remaining)
}

// taskWork returns the estimated work of a number of tasks of a step, in millicores times ms.
func taskWork(spec *protocol.Step, count int) int64 {
	if spec.LongRunning {
		return 0
	}
	return saturatingMultiply(saturatingMultiply(int64(count), spec.CPUUnits), max(spec.EstimateMs, 1))
}

// EstimatedWork returns the estimated work of a job that has not been submitted yet, as Backlog
// counts it.
func EstimatedWork(submitted *protocol.Job) int64 {
	work := int64(0)
	for i := range submitted.Steps {
		work = saturatingAdd(work, taskWork(&submitted.Steps[i], submitted.Steps[i].TaskCount))
	}
	return work
}

// TargetTurnaroundMs returns the turnaround within which a job that has not been submitted
// yet meets its route's target, if at most maxConcurrentMilliCPU of it can run at a time. A
// step that needs more than that runs in waves. A maximum of 0 means no limit.
func TargetTurnaroundMs(route *clusterconfig.Route, submitted *protocol.Job, maxConcurrentMilliCPU int64) int64 {
	job := Job{Steps: slices.Clone(submitted.Steps)}
	for i := range job.Steps {
		spec := &job.Steps[i]
		width := saturatingMultiply(int64(spec.TaskCount), spec.CPUUnits)
		if maxConcurrentMilliCPU > 0 && width > maxConcurrentMilliCPU {
			waves := (width-1)/maxConcurrentMilliCPU + 1
			spec.EstimateMs = saturatingMultiply(spec.EstimateMs, waves)
		}
	}
	job.applyRouteSettings(route)
	return job.TargetTurnaroundMs()
}
