package core

import (
	"fmt"
	"strings"
	"time"

	"tealpond/internal/store"
)

// logJob tells how a job went: each step as width, wait, placing and work.
func (c *Core) logJob(j *store.Job) {
	var b strings.Builder
	for _, in := range j.Insts {
		for i := range in.Steps {
			st := &in.Steps[i]
			fmt.Fprintf(&b, "%dx%d:%d+%d+%d ", j.Steps[i].TaskCount, j.Steps[i].CPUUnits, st.Since-in.Born, st.Full-st.Since, st.Over-st.Full)
		}
	}
	_ = c.log.Log("level", "debug", "event", "job.ended", "job", j.ID, "lane", j.Lane, "priority", j.Priority, "state", j.Word(),
		"took_ms", j.EndedAt-j.Born, "aim_ms", j.Aim(), "steps", strings.TrimSpace(b.String()))
}

// logRoom tells, once a second, how full the workers are.
func (c *Core) logRoom(now time.Time) {
	if now.Sub(c.roomAt) < time.Second {
		return
	}
	c.roomAt = now
	var cpu, used, mem, usedMem int64
	n := 0
	for _, w := range c.st.Workers {
		if w.Bookable() {
			n++
			cpu += w.Room.CPUUnits
			used += w.UsedCPU
			mem += w.Room.MemMb
			usedMem += w.UsedMem
		}
	}
	byPrio := map[int]int64{}
	for _, a := range c.st.Allocs {
		if j := c.st.Jobs[a.Job]; j != nil {
			byPrio[j.Priority] += a.CPU
		}
	}
	_ = c.log.Log("level", "debug", "event", "room", "workers", n, "cpu", cpu, "used", used, "mem", mem, "used_mem", usedMem,
		"waiting", c.st.WaitingWork()/1000, "p0", byPrio[0], "p1", byPrio[1], "p2", byPrio[2], "jobs", len(c.st.Open()))
}

// logRun tells how a run went.
func (c *Core) logRun(r store.Closed) {
	a := r.Alloc
	j, w := c.st.Jobs[a.Job], c.st.Workers[a.Worker]
	if j == nil || w == nil {
		return
	}
	st := j.Steps[a.Step]
	_ = c.log.Log("level", "debug", "event", "run.ended", "task", a.Task(), "run", a.Run, "copy", a.Copy, "how", r.How, "why", a.Why, "worker", w.Node,
		"waited_ms", a.From-j.Insts[a.K].Steps[a.Step].Since, "took_ms", r.At-a.From, "estimate_ms", st.EstimateMs, "far", w.FarFrom(st.NearTo), "priority", j.Priority, "cpu", a.CPU)
}
