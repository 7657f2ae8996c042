package server

import (
	"context"
	"time"

	"tealpond/internal/monitoring"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// requestGauges is the kind of this process's request for its gauges.
const requestGauges = "gauges"

// Gauges returns the gauges of this replica, as read by its loop; none if the context ends
// first. It is safe for concurrent use.
func (r *Replica) Gauges(ctx context.Context) []monitoring.Gauge {
	received := make(chan rpc.Response, 1)
	request := &localRequest{request: rpc.Request{Kind: requestGauges}, reply: func(response rpc.Response) { received <- response }}
	if !r.post(ctx, loopEvent{request: request}) {
		return nil
	}
	var gauges []monitoring.Gauge
	select {
	case response := <-received:
		_ = transport.Decode(response.Body, &gauges) // encoded by this process
	case <-ctx.Done():
	}
	return gauges
}

// gauges returns the gauges of this replica. It must be called in the loop.
func (r *Replica) gauges(now time.Time) []monitoring.Gauge {
	gauges := []monitoring.Gauge{
		{Name: "tealpond_storage_open", Value: monitoring.BoolValue(r.StorageOpened())},
		{Name: "tealpond_loop_events_waiting", Value: float64(len(r.events))},
		{Name: "tealpond_storage_writes_in_flight", Value: float64(r.writesInFlight)},
	}
	if r.node == nil {
		return gauges
	}
	gauges = append(gauges, r.raftGauges(now)...)
	gauges = append(gauges, r.stateGauges()...)
	if r.leading {
		gauges = append(gauges, r.leaderGauges(now)...)
	}
	return gauges
}

// raftGauges returns the gauges of the consensus node.
func (r *Replica) raftGauges(now time.Time) []monitoring.Gauge {
	return []monitoring.Gauge{
		{Name: "tealpond_raft_term", Value: float64(r.node.Term())},
		{Name: "tealpond_raft_last_index", Value: float64(r.node.LastIndex())},
		{Name: "tealpond_raft_commit_index", Value: float64(r.node.CommitIndex())},
		{Name: "tealpond_raft_applied_index", Value: float64(r.state.AppliedIndex)},
		{Name: "tealpond_raft_snapshot_index", Value: float64(r.lastSnapshotIndex)},
		{Name: "tealpond_raft_voters", Value: float64(len(r.node.Voters()))},
		{Name: "tealpond_raft_votes", Value: monitoring.BoolValue(r.node.IsVoter(r.self.ID))},
		{Name: "tealpond_raft_leader", Value: monitoring.BoolValue(r.leadsWithLease(now))},
		{Name: "tealpond_raft_leader_known", Value: monitoring.BoolValue(r.node.Leader() != "")},
	}
}

// stateGauges returns the gauges of the replicated state.
func (r *Replica) stateGauges() []monitoring.Gauge {
	schedulable := 0
	for _, worker := range r.state.Workers {
		if worker.Schedulable() {
			schedulable++
		}
	}
	gauges := []monitoring.Gauge{
		{Name: "tealpond_config_version", Value: float64(r.state.Configuration.Version)},
		{Name: "tealpond_workers", Value: float64(len(r.state.Workers))},
		{Name: "tealpond_workers_schedulable", Value: float64(schedulable)},
		{Name: "tealpond_jobs", Value: float64(len(r.state.Jobs))},
		{Name: "tealpond_jobs_open", Value: float64(len(r.state.OpenJobs()))},
		{Name: "tealpond_runs", Value: float64(len(r.state.Allocations))},
		{Name: "tealpond_sessions", Value: float64(len(r.sessions))},
	}
	if tables := r.state.Coordination; tables != nil {
		gauges = append(gauges,
			monitoring.Gauge{Name: "tealpond_locks", Value: float64(len(tables.Locks))},
			monitoring.Gauge{Name: "tealpond_numbers", Value: float64(len(tables.Counters))},
			monitoring.Gauge{Name: "tealpond_key_groups", Value: float64(len(tables.Groups))})
	}
	if replica := r.tallies.replica; replica != nil {
		gauges = append(gauges,
			monitoring.Gauge{Name: "tealpond_tally_adds", Value: float64(replica.AddCount())},
			monitoring.Gauge{Name: "tealpond_tally_file_share", Value: replica.FileUsage()})
	}
	return gauges
}

// leaderGauges returns the gauges that only the leader has.
func (r *Replica) leaderGauges(now time.Time) []monitoring.Gauge {
	return []monitoring.Gauge{
		{Name: "tealpond_leader_for_seconds", Value: now.Sub(r.leadingSince).Seconds()},
		{Name: "tealpond_worker_leases", Value: float64(len(r.leases))},
		{Name: "tealpond_workers_silent", Value: float64(len(r.planning.planner.UnresponsiveWorkers))},
		{Name: "tealpond_members", Value: float64(len(r.memberLeases))},
		{Name: "tealpond_learners", Value: float64(len(r.membership.candidates))},
		{Name: "tealpond_commands_waiting", Value: float64(len(r.commands))},
		{Name: "tealpond_entries_pending", Value: float64(len(r.pending))},
		{Name: "tealpond_key_watches", Value: float64(r.keyWatchers.count())},
	}
}
