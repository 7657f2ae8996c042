package server

import (
	"slices"
	"time"

	"tealpond/internal/scheduler"
	"tealpond/internal/state"
	"tealpond/internal/timing"
)

// preemptionInterval is the time between two preemptions, since stopping runs takes a moment.
const preemptionInterval = 250 * time.Millisecond

// planning is the leader's work with the scheduler.
type planning struct {
	planner       scheduler.Planner
	due           bool      // the state changed since the planner ran
	proposed      bool      // plans are proposed and not yet applied
	notBefore     time.Time // see notePlansApplied
	refusedInARow int       // times that all plans were refused
	preemptedAt   time.Time
}

// minRuntimeReports is how many workers must have reported the length of their runs
// before they are compared with each other.
const minRuntimeReports = 3

// percent turns a share in percent into one of 1.
const percent = 100

// schedule proposes the planner's plans and preemptions for what changed since it
// last ran. Only one set of plans is proposed at a time, since the planner sees the
// applied state alone and would place the same tasks again.
func (r *Replica) schedule(now time.Time) {
	if !r.planning.due || r.planning.proposed || r.applyBacklog || now.Before(r.planning.notBefore) {
		return
	}
	r.planning.due = false
	stopTimer := r.metrics.startTimer("plan")
	plans := r.planning.planner.Plan(r.state)
	stopTimer()
	if len(plans) > 0 {
		r.planning.proposed = true
		r.enqueueCommand(state.CommandApplyPlans, &state.ApplyPlans{Plans: plans},
			func(outcome state.Outcome, known bool) {
				r.planning.proposed = false
				r.notePlansApplied(known, known && outcome.Value == int64(len(plans)))
			})
	}
	if now.Sub(r.planning.preemptedAt) < preemptionInterval {
		return
	}
	if preempted := r.planning.planner.Preemptions(r.state); len(preempted) > 0 {
		r.planning.preemptedAt = now
		_ = r.log.Log("level", "debug", "event", "preemption.requested", "runs", len(preempted))
		r.enqueueCommand(state.CommandStopRuns, &state.StopRuns{Allocations: preempted, Reason: "pushed out"}, nil)
	}
}

// maxRefusedInARow is how many times in a row all plans may be refused before the next
// ones wait. One time is usual: a worker or a job changed while they were under way.
const maxRefusedInARow = 2

// notePlansApplied puts off the next plans if none could be applied several times in a
// row: the state changed by the attempts alone, and the same plans would be made and
// refused at each turn of the loop.
func (r *Replica) notePlansApplied(known, allRefused bool) {
	if !allRefused {
		r.planning.refusedInARow = 0
		return
	}
	r.planning.refusedInARow++
	if known && r.planning.refusedInARow >= maxRefusedInARow {
		r.planning.notBefore = time.Now().Add(scheduler.StragglerCheckInterval)
	}
}

// updatePlanner tells the planner which workers are silent or unhealthy, and how
// much slower than the others each is.
func (r *Replica) updatePlanner(now time.Time) {
	slowdown := map[string]float64{}
	if median, ok := medianRuntimePercent(r.leases); ok {
		r.planning.planner.EstimateRatio = median / percent
		for id, lease := range r.leases {
			if lease.runtimePercent > 0 {
				slowdown[id] = scheduler.DampSlowdown(float64(lease.runtimePercent) / median)
			}
		}
	}
	silent, unhealthy := map[string]bool{}, map[string]bool{}
	for id, lease := range r.leases {
		if pace, ok := r.planning.planner.Pace(id, r.state.Clock); ok {
			slowdown[id] = pace
		}
		if now.Sub(lease.lastContact) > timing.WorkerSilenceTimeout || lease.expiring {
			silent[id] = true
		}
		if worker := r.state.Workers[id]; worker != nil && (worker.Unhealthy || worker.LeaseExpired) {
			unhealthy[id] = true
		}
	}
	r.planning.planner.UnresponsiveWorkers, r.planning.planner.UnhealthyWorkers, r.planning.planner.Slowdown = silent, unhealthy, slowdown
}

// medianRuntimePercent is the median of what the workers report of the length of
// their runs, in percent of the estimates and at least 1; false if too few do.
func medianRuntimePercent(leases map[string]*workerLease) (float64, bool) {
	var reported []int64
	for _, lease := range leases {
		if lease.runtimePercent > 0 {
			reported = append(reported, lease.runtimePercent)
		}
	}
	if len(reported) < minRuntimeReports {
		return 0, false
	}
	slices.Sort(reported)
	return float64(max(reported[len(reported)/2], 1)), true
}
