package core

import (
	"sort"
	"time"

	"tealpond/internal/member"
	"tealpond/internal/store"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// traced notes what became of a command before its caller hears of it.
func (c *Core) traced(id, what string, next func(store.Outcome, bool)) func(store.Outcome, bool) {
	return func(outcome store.Outcome, ok bool) {
		text := outcome.Text
		if !ok {
			text = "unclear"
		}
		c.trace.Record(id, what, int64(outcome.Code), text)
		next(outcome, ok)
	}
}

// askTrace answers from this daemon's own ring.
func (c *Core) askTrace(raw []byte, reply replyFunc) {
	reply(member.AnswerTrace(c.trace, c.settings.NodeName, "edge", raw))
}

// askMembers lists the daemons that hold a membership lease, and the core.
func (c *Core) askMembers(_ []byte, _ *transport.Stream, reply replyFunc) {
	var out []member.Claim
	for k, m := range c.memberLeases {
		if time.Since(m.at) > tune.ClaimTime {
			delete(c.memberLeases, k)
			continue
		}
		out = append(out, m.Claim)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Node+out[a].Role < out[b].Node+out[b].Role })
	reply(member.Answer{Code: 200, Body: transport.Encode(out)})
}

// askFleet gives the tables of this daemon's copy of the state. Any core
// daemon answers, so that queries need not trouble the leader.
func (c *Core) askFleet(_ []byte, reply replyFunc) {
	fleet := member.Fleet{Node: c.settings.NodeName, Clock: c.state.Clock}
	if c.node != nil {
		fleet.Leads, fleet.Applied = c.node.IsLeader(), c.state.Applied
	}
	fleet.Tables = tables(c)
	reply(member.Answer{Code: 200, Body: transport.Encode(fleet)})
}

var moveWords = map[byte]string{store.MoveNone: "home", store.MoveOffered: "offered", store.MoveTaken: "taken", store.MoveReleased: "released"}

// tables lays the state out, each table bounded.
func tables(c *Core) []member.Table {
	state := c.state
	add := func(t *member.Table, row ...any) {
		if len(t.Rows) >= tune.FleetRows {
			t.Cut = true
			return
		}
		t.Rows = append(t.Rows, row)
	}
	daemons := member.Table{Name: "daemons", Cols: []string{"node", "role", "zone", "addr", "seen_ms"}}
	for _, m := range c.memberLeases {
		add(&daemons, m.Node, m.Role, m.Zone, m.Addr, time.Since(m.at).Milliseconds())
	}
	workers := member.Table{Name: "workers", Cols: []string{"id", "node", "service", "zone", "rack", "cpu", "cpu_used", "mem", "mem_used", "gpus", "fence", "draining", "sick", "lost", "dead"}}
	for _, worker := range state.Workers {
		add(&workers, worker.ID, worker.Node, worker.Service, worker.Zone, worker.Rack(), worker.Room.CPUUnits, worker.UsedCPU, worker.Room.MemoryMB, worker.UsedMem, worker.Room.GPUs, worker.Fence, worker.Draining, worker.Sick, worker.Lost, worker.Dead)
	}
	devices := member.Table{Name: "devices", Cols: []string{"id", "class", "worker", "healthy", "bookings"}}
	books := member.Table{Name: "bookings", Cols: []string{"device", "alloc", "from_ms", "to_ms"}}
	for _, d := range state.Devices {
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
	for _, alloc := range state.Allocs {
		add(&allocs, alloc.ID, alloc.Worker, alloc.Task(), alloc.Run, alloc.CPU, alloc.Mem, len(alloc.GPUs), alloc.From, alloc.Stopping, alloc.Why)
	}
	inboxes := member.Table{Name: "inboxes", Cols: []string{"name", "host", "prefix", "service", "priority", "target_ms", "stretch", "max_rounds", "waiting"}}
	for _, l := range state.Desired.Routes {
		add(&inboxes, l.Name, l.HostName, l.PathPrefix, l.TargetService, l.Priority, l.TargetMs, l.Stretch, l.MaxAttempts, state.Waiting(l.Name))
	}
	jobs := member.Table{Name: "jobs", Cols: []string{"id", "inbox", "service", "priority", "state", "born_ms", "ended_ms", "steps", "run_times"}}
	for _, job := range state.Jobs {
		add(&jobs, job.ID, job.Lane, job.Service, job.Priority, job.Word(), job.Born, job.EndedAt, len(job.Steps), job.RunTimes)
	}
	moves := member.Table{Name: "moves", Cols: []string{"job", "inbox", "peer", "no", "state", "guest", "job_state", "born_ms", "ended_ms"}}
	for _, job := range state.Jobs {
		if job.Move.No > 0 {
			add(&moves, job.ID, job.Lane, job.Move.Peer, job.Move.No, moveWords[job.Move.State], job.Move.Guest, job.Word(), job.Born, job.EndedAt)
		}
	}
	rolls := member.Table{Name: "rollups", Cols: []string{"service", "cpu_total", "cpu_allocatable", "cpu_allocated", "mem_total", "mem_allocatable", "mem_allocated", "gpu_total", "gpu_allocated", "draining", "unreachable", "at_ms"}}
	for n, x := range state.Rollups {
		add(&rolls, n, x.CPUTotal, x.CPUFree, x.CPUUsed, x.MemTotal, x.MemFree, x.MemUsed, x.GPUTotal, x.GPUUsed, x.Draining, x.Unreachable, x.At)
	}
	duties := member.Table{Name: "duties", Cols: []string{"zone", "no", "holder", "addr", "next_addr"}}
	for _, duty := range state.Duties {
		add(&duties, duty.Zone, duty.No, duty.Disk, duty.Addr, duty.NextAddr)
	}
	return []member.Table{daemons, workers, devices, books, allocs, inboxes, jobs, moves, rolls, duties}
}
