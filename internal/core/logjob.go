package core

import (
	"fmt"
	"strings"
	"time"

	"tealpond/internal/store"
)

// logJob tells how a job went: each step as width, wait, placing and work.
func (c *Core) logJob(job *store.Job) {
	var text strings.Builder
	for _, instance := range job.Insts {
		for i := range instance.Steps {
			step := &instance.Steps[i]
			fmt.Fprintf(&text, "%dx%d:%d+%d+%d ", job.Steps[i].TaskCount, job.Steps[i].CPUUnits, step.Since-instance.Born, step.Full-step.Since, step.Over-step.Full)
		}
	}
	_ = c.log.Log("level", "debug", "event", "job.ended", "job", job.ID, "lane", job.Lane, "priority", job.Priority, "state", job.Word(),
		"took_ms", job.EndedAt-job.Born, "aim_ms", job.Aim(), "steps", strings.TrimSpace(text.String()))
}

// logRoom tells, once a second, how full the workers are.
func (c *Core) logRoom(now time.Time) {
	if now.Sub(c.roomLoggedAt) < time.Second {
		return
	}
	c.roomLoggedAt = now
	var cpu, used, mem, usedMem int64
	n := 0
	for _, worker := range c.state.Workers {
		if worker.Bookable() {
			n++
			cpu += worker.Room.CPUUnits
			used += worker.UsedCPU
			mem += worker.Room.MemoryMB
			usedMem += worker.UsedMem
		}
	}
	byPrio := map[int]int64{}
	for _, alloc := range c.state.Allocs {
		if job := c.state.Jobs[alloc.Job]; job != nil {
			byPrio[job.Priority] += alloc.CPU
		}
	}
	_ = c.log.Log("level", "debug", "event", "room", "workers", n, "cpu", cpu, "used", used, "mem", mem, "used_mem", usedMem,
		"waiting", c.state.WaitingWork()/1000, "p0", byPrio[0], "p1", byPrio[1], "p2", byPrio[2], "jobs", len(c.state.Open()))
}

// logRun tells how a run went.
func (c *Core) logRun(r store.Closed) {
	alloc := r.Alloc
	job, worker := c.state.Jobs[alloc.Job], c.state.Workers[alloc.Worker]
	if job == nil || worker == nil {
		return
	}
	step := job.Steps[alloc.Step]
	_ = c.log.Log("level", "debug", "event", "run.ended", "task", alloc.Task(), "run", alloc.Run, "copy", alloc.Copy, "how", r.How, "why", alloc.Why, "worker", worker.Node,
		"waited_ms", alloc.From-job.Insts[alloc.K].Steps[alloc.Step].Since, "took_ms", r.At-alloc.From, "estimate_ms", step.EstimateMs, "far", worker.FarFrom(step.PreferredRack), "priority", job.Priority, "cpu", alloc.CPU)
}
