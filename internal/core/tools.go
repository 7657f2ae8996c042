package core

import (
	"sort"
	"time"

	"tealpond/internal/rpc"
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
	reply(rpc.HandleTrace(c.trace, c.settings.NodeName, "edge", raw))
}

// askMembers lists the daemons that hold a membership lease, and the core.
func (c *Core) askMembers(_ []byte, _ *transport.Stream, reply replyFunc) {
	var out []rpc.MembershipLease
	for k, m := range c.memberLeases {
		if time.Since(m.at) > tune.ClaimTime {
			delete(c.memberLeases, k)
			continue
		}
		out = append(out, m.MembershipLease)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Node+out[a].Role < out[b].Node+out[b].Role })
	reply(rpc.Response{Code: 200, Body: transport.Encode(out)})
}

// askFleet gives the tables of this daemon's copy of the state. Any core
// daemon answers, so that queries need not trouble the leader.
func (c *Core) askFleet(_ []byte, reply replyFunc) {
	fleet := rpc.ClusterState{Node: c.settings.NodeName, Clock: c.state.Clock}
	if c.node != nil {
		fleet.IsLeader, fleet.AppliedIndex = c.node.IsLeader(), c.state.Applied
	}
	fleet.Tables = tables(c)
	reply(rpc.Response{Code: 200, Body: transport.Encode(fleet)})
}

var moveWords = map[byte]string{store.MoveNone: "home", store.MoveOffered: "offered", store.MoveTaken: "taken", store.MoveReleased: "released"}

// tables lays the state out, each table bounded.
func tables(c *Core) []rpc.Table {
	state := c.state
	add := func(t *rpc.Table, row ...any) {
		if len(t.Rows) >= tune.FleetRows {
			t.Truncated = true
			return
		}
		t.Rows = append(t.Rows, row)
	}
	daemons := rpc.Table{Name: "daemons", Columns: []string{"node", "role", "zone", "addr", "seen_ms"}}
	for _, m := range c.memberLeases {
		add(&daemons, m.Node, m.Role, m.Zone, m.Addr, time.Since(m.at).Milliseconds())
	}
	workers := rpc.Table{Name: "workers", Columns: []string{"id", "node", "service", "zone", "rack", "cpu", "cpu_used", "mem", "mem_used", "gpus", "fence", "draining", "sick", "lost", "dead"}}
	for _, worker := range state.Workers {
		add(&workers, worker.ID, worker.Node, worker.Service, worker.Zone, worker.Rack(), worker.Room.CPUUnits, worker.UsedCPU, worker.Room.MemoryMB, worker.UsedMem, worker.Room.GPUs, worker.Fence, worker.Draining, worker.Sick, worker.Lost, worker.Dead)
	}
	devices := rpc.Table{Name: "devices", Columns: []string{"id", "class", "worker", "healthy", "bookings"}}
	books := rpc.Table{Name: "bookings", Columns: []string{"device", "alloc", "from_ms", "to_ms"}}
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
	allocs := rpc.Table{Name: "allocs", Columns: []string{"id", "worker", "task", "run", "cpu", "mem", "gpus", "since_ms", "stopping", "why"}}
	for _, alloc := range state.Allocs {
		add(&allocs, alloc.ID, alloc.Worker, alloc.Task(), alloc.Run, alloc.CPU, alloc.Mem, len(alloc.GPUs), alloc.From, alloc.Stopping, alloc.Why)
	}
	inboxes := rpc.Table{Name: "inboxes", Columns: []string{"name", "host", "prefix", "service", "priority", "target_ms", "stretch", "max_rounds", "waiting"}}
	for _, l := range state.Desired.Routes {
		add(&inboxes, l.Name, l.HostName, l.PathPrefix, l.TargetService, l.Priority, l.TargetMs, l.Stretch, l.MaxAttempts, state.Waiting(l.Name))
	}
	jobs := rpc.Table{Name: "jobs", Columns: []string{"id", "inbox", "service", "priority", "state", "born_ms", "ended_ms", "steps", "run_times"}}
	for _, job := range state.Jobs {
		add(&jobs, job.ID, job.Lane, job.Service, job.Priority, job.Word(), job.Born, job.EndedAt, len(job.Steps), job.RunTimes)
	}
	moves := rpc.Table{Name: "moves", Columns: []string{"job", "inbox", "peer", "no", "state", "guest", "job_state", "born_ms", "ended_ms"}}
	for _, job := range state.Jobs {
		if job.Move.No > 0 {
			add(&moves, job.ID, job.Lane, job.Move.Peer, job.Move.No, moveWords[job.Move.State], job.Move.Guest, job.Word(), job.Born, job.EndedAt)
		}
	}
	rolls := rpc.Table{Name: "rollups", Columns: []string{"service", "cpu_total", "cpu_allocatable", "cpu_allocated", "mem_total", "mem_allocatable", "mem_allocated", "gpu_total", "gpu_allocated", "draining", "unreachable", "at_ms"}}
	for n, x := range state.Rollups {
		add(&rolls, n, x.CPUTotal, x.CPUFree, x.CPUUsed, x.MemTotal, x.MemFree, x.MemUsed, x.GPUTotal, x.GPUUsed, x.Draining, x.Unreachable, x.At)
	}
	duties := rpc.Table{Name: "duties", Columns: []string{"zone", "no", "holder", "addr", "next_addr"}}
	for _, duty := range state.Duties {
		add(&duties, duty.Zone, duty.No, duty.Disk, duty.Addr, duty.NextAddr)
	}
	return []rpc.Table{daemons, workers, devices, books, allocs, inboxes, jobs, moves, rolls, duties}
}
