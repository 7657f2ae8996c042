package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"tealpond/internal/raft"
	"tealpond/internal/state"
	"tealpond/internal/storage"
	"tealpond/internal/transport"
)

// tableDump is a text dump of a data folder, one line per row. Its labels are
// independent of the names in the code, so that renaming these does not change the
// dump.
type tableDump struct{ strings.Builder }

// row writes a line: the name of the table, followed by alternating labels and values.
func (x *tableDump) row(table string, cells ...any) {
	x.WriteString(table)
	for i := 0; i < len(cells); i += 2 {
		format := " %s=%v"
		switch cells[i+1].(type) {
		case string, []byte, []string:
			format = " %s=%q"
		}
		_, _ = fmt.Fprintf(x, format, cells[i], cells[i+1]) // a strings.Builder never fails
	}
	x.WriteByte('\n')
}

// sorted returns the rows of a table in the order of their keys.
func sorted[K cmp.Ordered, V any](table map[K]V) func(yield func(K, V) bool) {
	return func(yield func(K, V) bool) {
		for _, key := range slices.Sorted(maps.Keys(table)) {
			if !yield(key, table[key]) {
				return
			}
		}
	}
}

// dumpDataFolder returns the dump of a data folder: its persisted Raft state, and the
// tables after the whole log was applied to the snapshot.
func dumpDataFolder(t *testing.T, folder string) string {
	t.Helper()
	opened, contents, err := storage.Open(folder)
	quarantineReason := contents.QuarantineReason
	if err != nil || quarantineReason != "" {
		t.Fatalf("open data folder: error %v, quarantine reason %q", err, quarantineReason)
	}
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	var x tableDump
	x.row("identity", "disk", contents.ID, "fresh", contents.NewIdentity)
	x.row("hard-state", "term", contents.HardState.Term, "vote", contents.HardState.Vote)
	x.voters("founder", contents.Founders)
	x.row("snapshot", "index", contents.Snapshot.Index, "term", contents.Snapshot.Term)
	x.voters("snapshot-voter", contents.Snapshot.Voters)
	x.voters("snapshot-old-voter", contents.Snapshot.OutgoingVoters)
	store, err := state.DecodeSnapshot(contents.Snapshot.Data, state.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	if err := store.BindSnapshotIndex(contents.Snapshot.Index); err != nil {
		t.Fatal(err)
	}
	for _, entry := range contents.Entries {
		x.entry(t, store, entry)
	}
	x.state(store)
	return x.String()
}

func (x *tableDump) voters(name string, voters []raft.Member) {
	for _, voter := range voters {
		x.row(name, "node", voter.Node, "disk", voter.ID, "address", voter.Addr)
	}
}

// entry applies a log entry and writes its contents and outcome.
func (x *tableDump) entry(t *testing.T, store *state.Store, entry raft.Entry) {
	t.Helper()
	x.row("entry", "index", entry.Index, "term", entry.Term, "kind", entry.Kind)
	if entry.Kind != raft.EntryNormal {
		store.SkipEntry(entry.Index)
	}
	switch entry.Kind {
	case raft.EntryConfChange:
		voters, old, err := raft.DecodeConfChange(entry.Data)
		if err != nil {
			t.Fatal(err)
		}
		x.voters(" voter", voters)
		x.voters(" old-voter", old)
	case raft.EntryNormal:
		var batch state.Batch
		if err := transport.Decode(entry.Data, &batch); err != nil {
			t.Fatal(err)
		}
		outcomes := store.ApplyEntry(entry.Index, entry.Data)
		for i, command := range batch.Commands {
			x.row(" command", "kind", command.Name, "clock", batch.Clock, "wall", batch.WallClock, "code", outcomes[i].Code, "text", outcomes[i].Text, "number", outcomes[i].Value)
		}
	}
}

// state writes all tables.
func (x *tableDump) state(s *state.Store) {
	x.row("counters", "applied", s.AppliedIndex, "clock", s.Clock, "wall", s.WallClock, "origin", s.Origin, "last-id", s.LastID, "last-job", s.LastJobSequence,
		"epoch", s.Epoch, "chain", s.DigestChain, "chain-from", s.DigestChainFrom)
	x.row("limits", "keep-job-ms", s.Limits.JobRetentionMs, "replans", s.Limits.MaxReplans, "far", s.Limits.RemoteFactor)
	x.configurations(s)
	x.machines(s)
	x.jobs(s)
	x.tenants(s)
	x.transfers(s)
}

// configurations writes the configuration in force and the history of accepted and
// refused ones.
func (x *tableDump) configurations(s *state.Store) {
	limits := s.Configuration.Limits
	x.row("configuration", "version", s.Configuration.Version, "text", s.Configuration.Raw)
	x.row("configuration-limits", "header-bytes", limits.MaxHeaderBytes, "body-bytes", limits.MaxBodyBytes, "header-ms", limits.HeaderTimeoutMs, "idle-ms", limits.IdleTimeoutMs)
	for _, route := range s.Configuration.Routes {
		x.row("configuration-route", "name", route.Name, "host", route.HostName, "prefix", route.PathPrefix)
	}
	for _, service := range s.Configuration.Services {
		x.row("configuration-service", "name", service.Name, "guards", service.EnforcesResources)
	}
	for name, route := range sorted(s.Routes) {
		x.row("route", "key", name, "name", route.Name, "host", route.HostName, "prefix", route.PathPrefix, "kind", route.Kind, "timeout-ms", route.TimeoutMs,
			"target-ms", route.TargetMs, "priority", route.Priority, "service", route.TargetService, "tries", route.MaxAttempts, "stretch", route.Stretch)
	}
	for name, service := range sorted(s.Services) {
		x.row("service", "key", name, "name", service.Name, "guards", service.EnforcesResources)
	}
	for _, accepted := range s.ConfigurationHistory.Accepted {
		x.row("accepted", "base", accepted.BaseVersion, "version", accepted.Version, "digest", fmt.Sprintf("%x", accepted.Digest[:]))
	}
	for _, refused := range s.ConfigurationHistory.Refused {
		x.row("refused", "base", refused.BaseVersion, "version", refused.Version, "digest", fmt.Sprintf("%x", refused.Digest[:]))
	}
}

// machines writes workers, devices, allocations, and the aggregates derived from them.
func (x *tableDump) machines(s *state.Store) {
	for key, w := range sorted(s.Workers) {
		x.row("worker", "key", key, "id", w.ID, "node", w.Node, "service", w.Service, "zone", w.Zone, "labels", w.Labels,
			"cpu", w.Capacity.CPUUnits, "memory", w.Capacity.MemoryMB, "gpus", w.Capacity.GPUs, "cpu-used", w.UsedMilliCPU, "memory-used", w.UsedMemoryMB, "fence", w.Fence, "life", w.AgentProcessID,
			"draining", w.Draining, "leaves-at", w.LeavesAt, "sick", w.Unhealthy, "lost", w.LeaseExpired, "dead", w.Dead, "version", w.Version, "seen", w.LastCompletion, "shun-until", w.BackoffUntil)
	}
	for key, d := range sorted(s.Devices) {
		x.row("device", "key", key, "id", d.ID, "class", d.Class, "worker", d.Worker, "healthy", d.Healthy)
		for _, booking := range d.Reservations {
			x.row(" booking", "allocation", booking.Allocation, "from", booking.From, "to", booking.To)
		}
	}
	for key, a := range sorted(s.Allocations) {
		x.row("allocation", "key", key, "id", a.ID, "worker", a.Worker, "job", a.Job, "instance", a.Instance, "step", a.Step, "index", a.TaskIndex, "copy", a.Copy, "run", a.Run,
			"cpu", a.MilliCPU, "memory", a.MemoryMB, "gpus", a.GPUs, "from", a.AllocatedAt, "stopping", a.Stopping, "why", a.StopReason, "saved", a.Checkpoint)
	}
	for service, r := range sorted(s.ServiceUsages) {
		x.row("rollup", "service", service, "cpu-total", r.TotalMilliCPU, "cpu-free", r.AllocatableMilliCPU, "cpu-used", r.UsedMilliCPU, "memory-total", r.TotalMemoryMB, "memory-free", r.AllocatableMemoryMB,
			"memory-used", r.UsedMemoryMB, "gpu-total", r.TotalGPUs, "gpu-used", r.UsedGPUs, "draining", r.Draining, "unreachable", r.Unreachable, "at", r.RebuiltAt)
	}
	for zone, aggregator := range sorted(s.Aggregators) {
		x.row("aggregator", "key", zone, "zone", aggregator.Zone, "number", aggregator.Revision, "disk", aggregator.Member, "address", aggregator.Address, "next", aggregator.Standby, "next-address", aggregator.StandbyAddress)
	}
	for node, backoff := range sorted(s.CrashBackoffs) {
		x.row("flaps", "node", node, "count", backoff.Crashes, "at", backoff.UpdatedAt)
	}
}

// jobs writes the jobs with their instances, steps and tasks.
func (x *tableDump) jobs(s *state.Store) {
	for key, j := range sorted(s.Jobs) {
		x.row("job", "key", key, "id", j.ID, "sequence", j.Sequence, "route", j.Route, "service", j.Service, "priority", j.Priority, "tries", j.MaxAttempts, "stretch", j.Stretch,
			"target-ms", j.TargetMs, "spec", j.Spec, "times", j.PeriodicInstances, "first-ms", j.FirstRunMs, "interval-ms", j.IntervalMs, "born", j.CreatedAt, "next-instance", j.NextInstance,
			"canceled", j.Canceled, "failed", j.Failed, "begun", j.Started, "done", j.Done, "ended", j.EndedAt, "state", j.Status())
		x.row(" move", "peer", j.Transfer.Peer, "number", j.Transfer.OfferID, "state", j.Transfer.State, "cancel", j.Transfer.CancelRequested, "guest", j.Transfer.Incoming, "loan", j.Transfer.Loan, "offers", j.Transfer.OfferCount)
		for _, step := range j.Steps {
			x.row(" step", "tasks", step.TaskCount, "cpu", step.CPUUnits, "memory", step.MemoryMB, "gpus", step.GPUs, "estimate-ms", step.EstimateMs, "depends-on", step.DependsOn,
				"checkpoints", step.Checkpoints, "all-together", step.Gang, "same-rack", step.SameRack, "labels", []string(step.RequiredLabels), "near", step.PreferredRack,
				"apart", step.MaxPerWorker, "twice", step.Speculative, "long-running", step.LongRunning)
		}
		for _, instance := range j.Instances {
			x.row(" instance", "number", instance.Number, "born", instance.CreatedAt, "steps-left", instance.StepsLeft, "failed", instance.Failed)
			for _, step := range instance.Steps {
				x.row("  step", "ready", step.Ready, "since", step.ReadyAt, "booked", step.LastAllocatedAt, "over", step.CompletedAt, "tasks-left", step.TasksLeft, "fails", step.GangFailures, "failed-run", step.LastFailedRun,
					"took", step.DoneRunsMs, "runs", step.DoneRuns)
				for _, task := range step.Tasks {
					x.row("   task", "run", task.LastRun, "fails", task.Failures, "done", task.Done, "saved", task.Checkpoint, "allocations", task.Allocations)
				}
			}
		}
	}
}

// tenants writes the quotas of tenants and the tenant of each job.
func (x *tableDump) tenants(s *state.Store) {
	for name, quota := range sorted(s.Quotas) {
		x.row("quota", "tenant", name, "cpu", quota.MilliCPU, "memory", quota.MemoryMB, "gpus", quota.GPUs, "share", quota.MilliShare)
	}
	for id, job := range sorted(s.JobTenants) {
		x.row("job-tenant", "job", id, "tenant", job.Tenant, "beyond-share", job.BeyondShare)
	}
}

// transfers writes the state of peers, withdrawn offers, loans, and demand.
func (x *tableDump) transfers(s *state.Store) {
	for name, peer := range sorted(s.Peers) {
		x.row("peer", "name", name, "epoch", peer.Epoch, "index", peer.Index)
	}
	for key, number := range sorted(s.WithdrawnOffers) {
		x.row("void", "key", key, "number", number)
	}
	for key, loan := range sorted(s.Loans) {
		x.row("loan", "key", key, "id", loan.ID, "peer", loan.Peer, "service", loan.Service, "slices", loan.Slices, "cpu", loan.MilliCPU, "from", loan.From, "to", loan.To)
	}
	for route, buckets := range sorted(s.Demand) {
		for bucket, work := range sorted(buckets) {
			x.row("demand", "route", route, "bucket", bucket, "work", work)
		}
	}
}
