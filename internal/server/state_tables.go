package server

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

var moveStateNames = map[byte]string{state.TransferNone: "home", state.TransferOffered: "offered", state.TransferAccepted: "taken", state.TransferReleased: "released"}

// stateTables lays the state out, each table bounded.
func stateTables(r *Replica) []rpc.Table {
	store := r.state
	add := func(table *rpc.Table, row ...any) {
		if len(table.Rows) >= tuning.MaxQueryRows {
			table.Truncated = true
			return
		}
		table.Rows = append(table.Rows, row)
	}
	daemons := rpc.Table{Name: "daemons", Columns: []string{"node", "role", "zone", "addr", "seen_ms"}}
	for _, lease := range r.memberLeases {
		add(&daemons, lease.Node, lease.Role, lease.Zone, lease.Addr, time.Since(lease.renewedAt).Milliseconds())
	}
	workers := rpc.Table{Name: "workers", Columns: []string{"id", "node", "service", "zone", "rack", "cpu", "cpu_used", "mem", "mem_used", "gpus", "fence", "draining", "sick", "lost", "dead"}}
	for _, worker := range store.Workers {
		add(&workers, worker.ID, worker.Node, worker.Service, worker.Zone, worker.Rack(), worker.Capacity.CPUUnits, worker.UsedMilliCPU, worker.Capacity.MemoryMB, worker.UsedMemoryMB, worker.Capacity.GPUs, worker.Fence, worker.Draining, worker.Unhealthy, worker.LeaseExpired, worker.Dead)
	}
	devices := rpc.Table{Name: "devices", Columns: []string{"id", "class", "worker", "healthy", "bookings"}}
	bookings := rpc.Table{Name: "bookings", Columns: []string{"device", "alloc", "from_ms", "to_ms"}}
	for _, device := range store.Devices {
		add(&devices, device.ID, device.Class, device.Worker, device.Healthy, len(device.Reservations))
		for _, booking := range device.Reservations {
			var until any
			if booking.To != state.Forever {
				until = booking.To
			}
			add(&bookings, device.ID, booking.Allocation, booking.From, until)
		}
	}
	allocations := rpc.Table{Name: "allocs", Columns: []string{"id", "worker", "task", "run", "cpu", "mem", "gpus", "since_ms", "stopping", "why"}}
	for _, allocation := range store.Allocations {
		add(&allocations, allocation.ID, allocation.Worker, allocation.TaskName(), allocation.Run, allocation.MilliCPU, allocation.MemoryMB, len(allocation.GPUs), allocation.BookedAt, allocation.Stopping, allocation.StopReason)
	}
	routes := rpc.Table{Name: "inboxes", Columns: []string{"name", "host", "prefix", "service", "priority", "target_ms", "stretch", "max_rounds", "waiting"}}
	for _, route := range store.Configuration.Routes {
		add(&routes, route.Name, route.HostName, route.PathPrefix, route.TargetService, route.Priority, route.TargetMs, route.Stretch, route.MaxAttempts, store.PendingJobs(route.Name))
	}
	jobs := rpc.Table{Name: "jobs", Columns: []string{"id", "inbox", "service", "priority", "state", "born_ms", "ended_ms", "steps", "run_times"}}
	for _, job := range store.Jobs {
		add(&jobs, job.ID, job.Route, job.Service, job.Priority, job.Status(), job.CreatedAt, job.EndedAt, len(job.Steps), job.PeriodicInstances)
	}
	moves := rpc.Table{Name: "moves", Columns: []string{"job", "inbox", "peer", "no", "state", "guest", "job_state", "born_ms", "ended_ms"}}
	for _, job := range store.Jobs {
		if job.Transfer.OfferID > 0 {
			add(&moves, job.ID, job.Route, job.Transfer.Peer, job.Transfer.OfferID, moveStateNames[job.Transfer.State], job.Transfer.Incoming, job.Status(), job.CreatedAt, job.EndedAt)
		}
	}
	rollups := rpc.Table{Name: "rollups", Columns: []string{"service", "cpu_total", "cpu_allocatable", "cpu_allocated", "mem_total", "mem_allocatable", "mem_allocated", "gpu_total", "gpu_allocated", "draining", "unreachable", "at_ms"}}
	for name, rollup := range store.Rollups {
		add(&rollups, name, rollup.TotalMilliCPU, rollup.AllocatableMilliCPU, rollup.UsedMilliCPU, rollup.TotalMemoryMB, rollup.AllocatableMemoryMB, rollup.UsedMemoryMB, rollup.TotalGPUs, rollup.UsedGPUs, rollup.Draining, rollup.Unreachable, rollup.RebuiltAt)
	}
	aggregators := rpc.Table{Name: "duties", Columns: []string{"zone", "no", "holder", "addr", "next_addr"}}
	for _, aggregator := range store.Aggregators {
		add(&aggregators, aggregator.Zone, aggregator.Revision, aggregator.Member, aggregator.Address, aggregator.StandbyAddress)
	}
	return []rpc.Table{daemons, workers, devices, bookings, allocations, routes, jobs, moves, rollups, aggregators}
}
