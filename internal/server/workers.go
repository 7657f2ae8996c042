package server

import (
	"sort"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// handleRegisterWorker gives a worker to a side daemon, under a new fence.
func (r *Replica) handleRegisterWorker(raw []byte, stream *transport.Stream, reply replyFunc) {
	var request state.RegisterWorker
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	r.enqueueCommand("takeup", &request, func(outcome state.Outcome, ok bool) {
		if ok && outcome.Code == 200 {
			lease := r.leases[request.ID]
			if lease == nil || lease.expiring {
				// The lease begins now: no run of an earlier one can be left,
				// and silence is counted from here.
				lease = &workerLease{grantedAt: time.Now(), heardAt: time.Now()}
				r.leases[request.ID] = lease
			}
			_ = r.log.Log("level", "info", "event", "worker.takeup", "worker", request.ID, "node", request.Node, "fence", outcome.Value)
		}
		outcomeReply(reply)(outcome, ok)
	})
}

// handleSetEligibility takes a worker's draining, sickness or sign-off.
func (r *Replica) handleSetEligibility(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request state.SetEligibility
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	r.enqueueCommand("eligible", &request, outcomeReply(reply))
}

// handleReportCompletions takes the ends of runs that a side daemon reports.
func (r *Replica) handleReportCompletions(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request state.ReportCompletions
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	if lease := r.leases[request.Worker]; lease != nil {
		lease.heardAt = time.Now()
	}
	r.enqueueCommand("ends", &request, outcomeReply(reply))
}

// stopRunsOfLeavingWorkers stops what still runs on workers that are about to leave: it would
// die there, and its text would be lost.
func (r *Replica) stopRunsOfLeavingWorkers(now time.Time) {
	leadTime := r.settings.Bounds.StopGraceMs + tuning.DrainStopLead.Milliseconds()
	var ids []uint64
	for _, worker := range r.state.Workers {
		if worker.Dead || worker.LeaseExpired || !worker.Draining || worker.LeavesAt == 0 || r.clock(now) < worker.LeavesAt-leadTime {
			continue
		}
		for _, allocation := range r.state.AllocationsOn(worker.ID) {
			if !allocation.Stopping {
				ids = append(ids, allocation.ID)
			}
		}
	}
	if len(ids) > 0 {
		sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
		r.enqueueCommand("halt", &state.StopRuns{Allocations: ids, Reason: "worker leaves"}, nil)
	}
}

// aggregatorAddresses gives the addresses of the aggregator of a worker's zone and of its
// standby; the first is empty if it is this daemon.
func (r *Replica) aggregatorAddresses(workerID string) (string, string) {
	worker := r.state.Workers[workerID]
	if worker == nil {
		return "", ""
	}
	aggregator := r.state.Aggregators[worker.Zone]
	if aggregator.Member == r.self.ID {
		return "", aggregator.StandbyAddress
	}
	return aggregator.Address, aggregator.StandbyAddress
}
