package server

import (
	"sort"
	"time"

	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// drainStopLead is added to the setting stopGraceMs. The sum is how long before a worker leaves
// its runs are stopped, so that their completions and checkpoints are reported in time.
const drainStopLead = 350 * time.Millisecond

// handleRegisterWorker registers a worker for an agent, under a new fencing token.
func (r *Replica) handleRegisterWorker(request *state.RegisterWorker, _ *transport.Stream, reply replyFunc) {
	r.enqueueCommand(state.CommandRegisterWorker, request, func(outcome state.Outcome, known bool) {
		if known && outcome.Code == state.CodeOK {
			if lease := r.leases[request.ID]; lease == nil || lease.expiring {
				// The new lease and its silence timeout begin now. No run of an earlier
				// lease can be left.
				r.leases[request.ID] = newWorkerLease(time.Now())
			}
			_ = r.log.Log("level", "info", "event", "worker.registered", "worker", request.ID, "node", request.Node, "fence", outcome.Value)
		}
		outcomeReply(reply)(outcome, known)
	})
}

// handleReportEligibility records an agent's report of whether a worker is draining, unhealthy or has
// signed off.
func (r *Replica) handleReportEligibility(request *state.ReportEligibility, _ *transport.Stream, reply replyFunc) {
	if r.state.Format < state.FormatOrderedReports {
		r.enqueueCommand(state.CommandSetEligibility, request.Unnumbered(), outcomeReply(reply))
		return
	}
	r.enqueueCommand(state.CommandReportEligibility, request, outcomeReply(reply))
}

// handleSetEligibility records whether a worker is draining, unhealthy or has signed off.
func (r *Replica) handleSetEligibility(request *state.SetEligibility, _ *transport.Stream, reply replyFunc) {
	r.enqueueCommand(state.CommandSetEligibility, request, outcomeReply(reply))
}

// handleReportCompletions records the completions of runs that an agent reports.
func (r *Replica) handleReportCompletions(request *state.ReportCompletions, _ *transport.Stream, reply replyFunc) {
	if lease := r.leases[request.Worker]; lease != nil {
		lease.lastContact = time.Now()
	}
	r.enqueueCommand(state.CommandReportCompletions, request, outcomeReply(reply))
}

// stopRunsOfLeavingWorkers stops the remaining runs on workers that are about to leave.
// Otherwise the runs would be killed there and their checkpoints lost.
func (r *Replica) stopRunsOfLeavingWorkers(now time.Time) {
	leadTime := r.settings.Bounds.StopGraceMs + drainStopLead.Milliseconds()
	var ids []uint64
	for _, worker := range r.state.Workers {
		leaving := worker.Draining && worker.LeavesAt != 0 && r.clock(now) >= worker.LeavesAt-leadTime
		if worker.Dead || worker.LeaseExpired || !leaving {
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
		r.enqueueCommand(state.CommandStopRuns, &state.StopRuns{Allocations: ids, Reason: "worker leaves"}, nil)
	}
}

// aggregatorAddresses returns the addresses of the aggregator of a worker's zone and
// of its standby; the first is empty if it is this server.
func (r *Replica) aggregatorAddresses(workerID string) (aggregator, standby string) {
	worker := r.state.Workers[workerID]
	if worker == nil {
		return "", ""
	}
	appointed := r.state.Aggregators[worker.Zone]
	if appointed.Member == r.self.ID {
		return "", appointed.StandbyAddress
	}
	return appointed.Address, appointed.StandbyAddress
}
