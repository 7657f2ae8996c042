package server

import (
	"fmt"
	"strings"
	"time"

	"tealpond/internal/state"
)

// milliCPUPerCore converts work in millicores times ms to core-ms.
const milliCPUPerCore = 1000

// logJob logs a job that has ended. Each step is logged as tasks x millicores, followed by the ms
// until it was ready, until all of it was placed, and until it was complete.
func (r *Replica) logJob(job *state.Job) {
	var steps strings.Builder
	for _, instance := range job.Instances {
		for i := range instance.Steps {
			step := &instance.Steps[i]
			fmt.Fprintf(&steps, "%dx%d:%d+%d+%d ", job.Steps[i].TaskCount, job.Steps[i].CPUUnits,
				step.ReadyAt-instance.CreatedAt, step.LastAllocatedAt-step.ReadyAt, step.CompletedAt-step.LastAllocatedAt)
		}
	}
	_ = r.log.Log("level", "debug", "event", "job.ended", "job", job.ID, "route", r.state.RouteName(job), "priority", job.Priority, "state", job.Status(),
		"tenant", job.Tenant(), "beyond_share", job.BeyondShare(), "created_ms", job.CreatedAt,
		"took_ms", job.EndedAt-job.CreatedAt, "target_ms", job.TargetTurnaroundMs(), "steps", strings.TrimSpace(steps.String()))
}

// logCapacity logs the utilization of the workers, once a second.
func (r *Replica) logCapacity(now time.Time) {
	if now.Sub(r.maintenance.capacityLoggedAt) < time.Second {
		return
	}
	r.maintenance.capacityLoggedAt = now
	var totalCPU, usedCPU, totalMemory, usedMemory int64
	workers := 0
	for _, worker := range r.state.Workers {
		if worker.Schedulable() {
			workers++
			totalCPU += worker.Capacity.CPUUnits
			usedCPU += worker.UsedMilliCPU
			totalMemory += worker.Capacity.MemoryMB
			usedMemory += worker.UsedMemoryMB
		}
	}
	cpuByPriority := map[int]int64{}
	for _, allocation := range r.state.Allocations {
		if job := r.state.Jobs[allocation.Job]; job != nil {
			cpuByPriority[job.Priority] += allocation.MilliCPU
		}
	}
	waiting := int64(0)
	for _, work := range r.state.Backlog() {
		waiting += work
	}
	_ = r.log.Log("level", "debug", "event", "capacity.measured", "workers", workers,
		"cpu", totalCPU, "cpu_used", usedCPU, "mem", totalMemory, "mem_used", usedMemory,
		"waiting", waiting/milliCPUPerCore,
		"p0", cpuByPriority[0], "p1", cpuByPriority[1], "p2", cpuByPriority[2], "jobs", len(r.state.OpenJobs()))
}

// logRun logs a run that has ended.
func (r *Replica) logRun(completed state.EndedRun) {
	allocation := completed.Allocation
	job, worker := r.state.Jobs[allocation.Job], r.state.Workers[allocation.Worker]
	if job == nil || worker == nil {
		return
	}
	step := job.Steps[allocation.Step]
	readyAt := job.Instances[allocation.Instance].Steps[allocation.Step].ReadyAt
	_ = r.log.Log("level", "debug", "event", "run.completed", "task", allocation.TaskName(), "run", allocation.Run, "copy", allocation.Copy,
		"result", completed.Result, "reason", allocation.StopReason, "worker", worker.Node,
		"waited_ms", allocation.AllocatedAt-readyAt, "took_ms", completed.ClosedAt-allocation.AllocatedAt,
		"estimate_ms", step.EstimateMs, "remote", worker.RemoteFrom(step.PreferredRack), "priority", job.Priority, "cpu", allocation.MilliCPU)
}
