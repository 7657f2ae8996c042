package core

import (
	"sort"
	"time"

	"tealpond/internal/link"
	"tealpond/internal/member"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// traced notes what became of a command before its caller hears of it.
func (c *Core) traced(id, what string, next func(store.Outcome, bool)) func(store.Outcome, bool) {
	return func(o store.Outcome, ok bool) {
		text := o.Text
		if !ok {
			text = "unclear"
		}
		c.trace.Add(id, what, int64(o.Code), text)
		next(o, ok)
	}
}

// askTrace answers from this daemon's own ring.
func (c *Core) askTrace(raw []byte, r reply) {
	r(member.AnswerTrace(c.trace, c.set.NodeName, "edge", raw))
}

// askMembers lists who holds a claim, and the core.
func (c *Core) askMembers(_ []byte, _ *link.Stream, r reply) {
	var out []member.Claim
	for k, m := range c.claims {
		if time.Since(m.at) > tune.ClaimTime {
			delete(c.claims, k)
			continue
		}
		out = append(out, m.Claim)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Node+out[a].Role < out[b].Node+out[b].Role })
	r(member.Answer{Code: 200, Body: link.Pack(out)})
}

// askFleet gives the tables of this daemon's copy of the state. Any core
// daemon answers, so that queries need not trouble the leader.
func (c *Core) askFleet(_ []byte, r reply) {
	f := member.Fleet{Node: c.set.NodeName, Clock: c.st.Clock}
	if c.node != nil {
		f.Leads, f.Applied = c.node.Leads(), c.st.Applied
	}
	f.Tables = tables(c)
	r(member.Answer{Code: 200, Body: link.Pack(f)})
}

var moveWords = map[byte]string{store.MoveNone: "home", store.MoveOffered: "offered", store.MoveTaken: "taken", store.MoveReleased: "released"}

// tables lays the state out, each table bounded.
func tables(c *Core) []member.Table {
	s := c.st
	add := func(t *member.Table, row ...any) {
		if len(t.Rows) >= tune.FleetRows {
			t.Cut = true
			return
		}
		t.Rows = append(t.Rows, row)
	}
	daemons := member.Table{Name: "daemons", Cols: []string{"node", "role", "zone", "addr", "seen_ms"}}
	for _, m := range c.claims {
		add(&daemons, m.Node, m.Role, m.Zone, m.Addr, time.Since(m.at).Milliseconds())
	}
	workers := member.Table{Name: "workers", Cols: []string{"id", "node", "service", "zone", "rack", "cpu", "cpu_used", "mem", "mem_used", "gpus", "fence", "draining", "sick", "lost", "dead"}}
	for _, w := range s.Workers {
		add(&workers, w.ID, w.Node, w.Service, w.Zone, w.Rack(), w.Room.CPUUnits, w.UsedCPU, w.Room.MemMb, w.UsedMem, w.Room.GPUs, w.Fence, w.Draining, w.Sick, w.Lost, w.Dead)
	}
	devices := member.Table{Name: "devices", Cols: []string{"id", "class", "worker", "healthy", "bookings"}}
	books := member.Table{Name: "bookings", Cols: []string{"device", "alloc", "from_ms", "to_ms"}}
	for _, d := range s.Devices {
		add(&devices, d.ID, d.Class, d.Worker, d.Healthy, len(d.Books))
		for _, b := range d.Books {
			var to any
			if b.To != store.Forever {
				to = b.To
			}
			add(&books, d.ID, b.Alloc, b.From, to)
		}
	}
	allocs := member.Table{Name: "allocs", Cols: []string{"id", "worker", "task", "run", "cpu", "mem", "gpus", "since_ms", "stopping", "why"}}
	for _, a := range s.Allocs {
		add(&allocs, a.ID, a.Worker, a.Task(), a.Run, a.CPU, a.Mem, len(a.GPUs), a.From, a.Stopping, a.Why)
	}
	inboxes := member.Table{Name: "inboxes", Cols: []string{"name", "host", "prefix", "service", "priority", "target_ms", "stretch", "max_rounds", "waiting"}}
	for _, l := range s.Desired.Lanes {
		add(&inboxes, l.Name, l.HostName, l.PathPrefix, l.TargetService, l.Priority, l.TargetMs, l.Stretch, l.MaxTries, s.Waiting(l.Name))
	}
	jobs := member.Table{Name: "jobs", Cols: []string{"id", "inbox", "service", "priority", "state", "born_ms", "ended_ms", "steps", "run_times"}}
	for _, j := range s.Jobs {
		add(&jobs, j.ID, j.Lane, j.Service, j.Priority, j.Word(), j.Born, j.EndedAt, len(j.Steps), j.RunTimes)
	}
	moves := member.Table{Name: "moves", Cols: []string{"job", "inbox", "peer", "no", "state", "guest", "job_state", "born_ms", "ended_ms"}}
	for _, j := range s.Jobs {
		if j.Move.No > 0 {
			add(&moves, j.ID, j.Lane, j.Move.Peer, j.Move.No, moveWords[j.Move.State], j.Move.Guest, j.Word(), j.Born, j.EndedAt)
		}
	}
	rolls := member.Table{Name: "rollups", Cols: []string{"service", "cpu_total", "cpu_allocatable", "cpu_allocated", "mem_total", "mem_allocatable", "mem_allocated", "gpu_total", "gpu_allocated", "draining", "unreachable", "at_ms"}}
	for n, x := range s.Rollups {
		add(&rolls, n, x.CPUTotal, x.CPUFree, x.CPUUsed, x.MemTotal, x.MemFree, x.MemUsed, x.GPUTotal, x.GPUUsed, x.Draining, x.Unreachable, x.At)
	}
	duties := member.Table{Name: "duties", Cols: []string{"zone", "no", "holder", "addr", "next_addr"}}
	for _, d := range s.Duties {
		add(&duties, d.Zone, d.No, d.Disk, d.Addr, d.NextAddr)
	}
	return []member.Table{daemons, workers, devices, books, allocs, inboxes, jobs, moves, rolls, duties}
}
