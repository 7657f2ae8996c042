package server

import (
	"strings"
	"time"

	"tealpond/internal/registry"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/tally"
)

// The functions below build the tables of the state that operators query. The names of tables
// and columns are part of that interface; some are older than the names in the code. Each table
// is truncated at rpc.MaxQueryRows.

func newTable(name string, columns ...string) rpc.Table {
	return rpc.Table{Name: name, Columns: columns}
}

// addRow adds a row, or marks the table as truncated if it is full.
func addRow(table *rpc.Table, row ...any) {
	if len(table.Rows) >= rpc.MaxQueryRows {
		table.Truncated = true
		return
	}
	table.Rows = append(table.Rows, row)
}

// daemonTable lists the daemons with a membership lease.
func daemonTable(leases map[string]memberLease) rpc.Table {
	table := newTable("daemons", "node", "role", "zone", "addr", "seen_ms")
	for _, lease := range leases {
		addRow(&table, lease.Node, lease.Role, lease.Zone, lease.Addr, time.Since(lease.renewedAt).Milliseconds())
	}
	return table
}

// runnerTable lists the runners of a gateway's platform, with their health as observed in the
// requests of all daemons. Only the leader has the list; it is nil elsewhere.
func runnerTable(list *registry.Table) rpc.Table {
	table := newTable("runners", "id", "service", "zone", "addr", "slots", "draining", "latency_ms", "failed_pct")
	if list == nil {
		return table
	}
	for _, runner := range list.Runners() {
		addRow(&table, runner.ID, runner.Service, runner.Zone, runner.Address, runner.Slots, runner.Draining, runner.Health.LatencyMs, runner.Health.FailedPct)
	}
	return table
}

// stateTables returns the tables of the replicated state.
func stateTables(store *state.Store) []rpc.Table {
	devices, bookings := deviceTables(store)
	return []rpc.Table{
		workerTable(store), devices, bookings, allocationTable(store), routeTable(store), jobTable(store),
		transferTable(store), serviceUsageTable(store), aggregatorTable(store), tenantTable(store),
		lockTable(store), numberTable(store), keyTable(store), zoneTable(store),
	}
}

func workerTable(store *state.Store) rpc.Table {
	table := newTable("workers", "id", "node", "service", "zone", "rack", "cpu", "cpu_used", "mem", "mem_used", "gpus",
		"fence", "draining", "sick", "lost", "dead")
	for _, worker := range store.Workers {
		addRow(&table, worker.ID, worker.Node, worker.Service, worker.Zone, worker.Rack(),
			worker.Capacity.CPUUnits, worker.UsedMilliCPU, worker.Capacity.MemoryMB, worker.UsedMemoryMB, worker.Capacity.GPUs,
			worker.Fence, worker.Draining, worker.Unhealthy, worker.LeaseExpired, worker.Dead)
	}
	return table
}

// deviceTables lists the devices and their reservations.
func deviceTables(store *state.Store) (devices, reservations rpc.Table) {
	devices = newTable("devices", "id", "class", "worker", "healthy", "bookings")
	reservations = newTable("bookings", "device", "alloc", "from_ms", "to_ms")
	for _, device := range store.Devices {
		addRow(&devices, device.ID, device.Class, device.Worker, device.Healthy, len(device.Reservations))
		for _, reservation := range device.Reservations {
			var until any
			if reservation.To != state.OpenEnd {
				until = reservation.To
			}
			addRow(&reservations, device.ID, reservation.Allocation, reservation.From, until)
		}
	}
	return devices, reservations
}

func allocationTable(store *state.Store) rpc.Table {
	table := newTable("allocs", "id", "worker", "task", "run", "cpu", "mem", "gpus", "since_ms", "stopping", "why")
	for _, allocation := range store.Allocations {
		addRow(&table, allocation.ID, allocation.Worker, allocation.TaskName(), allocation.Run,
			allocation.MilliCPU, allocation.MemoryMB, len(allocation.GPUs), allocation.AllocatedAt, allocation.Stopping, allocation.StopReason)
	}
	return table
}

func routeTable(store *state.Store) rpc.Table {
	table := newTable("inboxes", "name", "host", "prefix", "service", "priority", "target_ms", "stretch", "max_rounds", "waiting")
	for _, route := range store.Configuration.Routes {
		addRow(&table, route.Name, route.HostName, route.PathPrefix, strings.Join(route.Services(), " "), route.Priority,
			route.TargetMs, route.Stretch, route.MaxAttempts, store.PendingJobCount(&route))
	}
	return table
}

func jobTable(store *state.Store) rpc.Table {
	table := newTable("jobs", "id", "inbox", "service", "priority", "state", "born_ms", "ended_ms", "steps", "run_times")
	for _, job := range store.Jobs {
		addRow(&table, job.ID, store.RouteName(job), job.Service, job.Priority, job.Status(), job.CreatedAt, job.EndedAt,
			len(job.Steps), job.PeriodicInstances)
	}
	return table
}

// transferStateNames are the names of the states of a job's transfer between clusters, as
// shown in the table.
var transferStateNames = map[byte]string{
	state.TransferNone:     "home",
	state.TransferOffered:  "offered",
	state.TransferAccepted: "taken",
	state.TransferReleased: "released",
}

// transferTable lists the jobs that were offered to or by another cluster.
func transferTable(store *state.Store) rpc.Table {
	table := newTable("moves", "job", "inbox", "peer", "no", "state", "guest", "job_state", "born_ms", "ended_ms")
	for _, job := range store.Jobs {
		if job.Transfer.OfferID > 0 {
			addRow(&table, job.ID, store.RouteName(job), job.Transfer.Peer, job.Transfer.OfferID, transferStateNames[job.Transfer.State], job.Transfer.Incoming,
				job.Status(), job.CreatedAt, job.EndedAt)
		}
	}
	return table
}

func serviceUsageTable(store *state.Store) rpc.Table {
	table := newTable("rollups", "service", "cpu_total", "cpu_allocatable", "cpu_allocated", "mem_total", "mem_allocatable", "mem_allocated",
		"gpu_total", "gpu_allocated", "draining", "unreachable", "at_ms")
	for service, serviceUsage := range store.ServiceUsages {
		addRow(&table, service, serviceUsage.TotalMilliCPU, serviceUsage.AllocatableMilliCPU, serviceUsage.UsedMilliCPU,
			serviceUsage.TotalMemoryMB, serviceUsage.AllocatableMemoryMB, serviceUsage.UsedMemoryMB, serviceUsage.TotalGPUs, serviceUsage.UsedGPUs,
			serviceUsage.Draining, serviceUsage.Unreachable, serviceUsage.RebuiltAt)
	}
	return table
}

// tenantTable lists the tenants with their limits and their usage, in the units of the
// configuration; a limit of 0 means no limit. API keys are never in a table.
func tenantTable(store *state.Store) rpc.Table {
	table := newTable("tenants", "name", "share_milli", "cpu_limit", "cpu_used", "mem_limit", "mem_used", "gpu_limit", "gpu_used",
		"runs", "open_jobs", "waiting_jobs", "beyond_share", "waits_for")
	type jobCounts struct{ open, waiting, beyondShare int }
	counts := map[string]jobCounts{}
	for _, job := range store.OpenJobs() {
		count := counts[job.Tenant()]
		count.open++
		if job.Status() == state.StatusPending {
			count.waiting++
		}
		if job.BeyondShare() {
			count.beyondShare++
		}
		counts[job.Tenant()] = count
	}
	for name, quota := range store.Quotas {
		use, count := store.TenantUse(name), counts[name]
		addRow(&table, name, quota.MilliShare, quota.MilliCPU, use.MilliCPU, quota.MemoryMB, use.MemoryMB, quota.GPUs, use.GPUs,
			use.Runs, count.open, count.waiting, count.beyondShare, waitsFor(quota, use, count.waiting))
	}
	return table
}

// quotaFullPercent is the usage of a quota, in percent, from which its tenant's pending jobs
// are shown as waiting for the quota.
const quotaFullPercent = 90

// waitsFor returns what the pending jobs of a tenant wait for; empty if there are none.
func waitsFor(quota state.Quota, use state.TenantUse, waiting int) string {
	nearLimit := func(limit, used int64) bool { return limit > 0 && used*percent >= limit*quotaFullPercent }
	switch {
	case waiting == 0:
		return ""
	case nearLimit(quota.MilliCPU, use.MilliCPU), nearLimit(quota.MemoryMB, use.MemoryMB), nearLimit(int64(quota.GPUs), int64(use.GPUs)):
		return "quota"
	}
	return "room"
}

func aggregatorTable(store *state.Store) rpc.Table {
	table := newTable("duties", "zone", "no", "holder", "addr", "next_addr")
	for _, aggregator := range store.Aggregators {
		addRow(&table, aggregator.Zone, aggregator.Revision, aggregator.Member, aggregator.Address, aggregator.StandbyAddress)
	}
	return table
}

// zoneTable lists the zones for which there was an evacuation order.
func zoneTable(store *state.Store) rpc.Table {
	table := newTable("zones", "zone", "evacuated", "revision", "since_ms")
	for zone, evacuation := range store.Evacuations {
		addRow(&table, zone, evacuation.Evacuated, evacuation.Revision, store.Clock-evacuation.ChangedAt)
	}
	return table
}

// tallyTables lists this replica's tallies and the other replicas of them: for each, the time
// since the last contact (-1 if there was none), and how many of the adds stored here it is not
// known to have. The replica is nil where there are no tallies.
func tallyTables(replica *tally.Replica, now time.Time) []rpc.Table {
	tallies, peers := newTable("tallies", "name", "total"), newTable("tally_peers", "id", "silent_ms", "lacks")
	if replica == nil {
		return []rpc.Table{tallies, peers}
	}
	for name, total := range replica.Totals() {
		addRow(&tallies, name, total)
	}
	for _, peer := range replica.Peers() {
		silent := int64(-1)
		if !peer.LastContact.IsZero() {
			silent = now.Sub(peer.LastContact).Milliseconds()
		}
		addRow(&peers, peer.ID, silent, peer.Lacks)
	}
	return []rpc.Table{tallies, peers}
}

// lockTable lists the locks that are held or have recently expired: left_ms is negative once
// the next caller may acquire the lock.
func lockTable(store *state.Store) rpc.Table {
	table := newTable("locks", "name", "holder", "fence", "held_ms", "left_ms")
	if store.Coordination == nil {
		return table
	}
	for name, lock := range store.Coordination.Locks {
		addRow(&table, name, lock.Holder, lock.Fence, store.Clock-lock.AcquiredAt, lock.ExpiresAt-store.Clock)
	}
	return table
}

func numberTable(store *state.Store) rpc.Table {
	table := newTable("numbers", "name", "value")
	if store.Coordination == nil {
		return table
	}
	for name, value := range store.Coordination.Counters {
		addRow(&table, name, value)
	}
	return table
}

func keyTable(store *state.Store) rpc.Table {
	table := newTable("keys", "name", "group_name", "value", "revision")
	if store.Coordination == nil {
		return table
	}
	for name, group := range store.Coordination.Groups {
		for key, value := range group.Keys {
			addRow(&table, key, name, value.Value, value.Revision)
		}
	}
	return table
}
