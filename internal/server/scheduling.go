package server

import (
	"slices"
	"time"

	"tealpond/internal/scheduler"
	"tealpond/internal/state"
	"tealpond/internal/timing"
)

// preemptionInterval is the minimum time between two preemptions: the runs stopped by one need
// time to end.
const preemptionInterval = 250 * time.Millisecond

// planning is the state of the leader's scheduling.
type planning struct {
	planner             scheduler.Planner
	due                 bool      // the state has changed since the planner ran
	proposed            bool      // plans are proposed and not yet applied
	notBefore           time.Time // no plans before this time, see recordPlanOutcome
	consecutiveRefusals int       // consecutive times that no plan was applied completely
	preemptedAt         time.Time
}

// minRuntimeReports is the number of workers that must have reported the duration of their
// runs before they are compared with each other.
const minRuntimeReports = 3

// percent converts a percentage to a fraction.
const percent = 100

// schedule proposes the planner's plans and preemptions if the state has changed since it
// last ran. Only one set of plans is in flight at a time, since the planner sees only the
// applied state and would place the same tasks again.
func (r *Replica) schedule(now time.Time) {
	if !r.planning.due || r.planning.proposed || r.hasUnappliedEntries || now.Before(r.planning.notBefore) {
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
				r.recordPlanOutcome(known, known && outcome.Value == int64(len(plans)))
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

// maxConsecutiveRefusals is the number of consecutive times that no plan was applied completely
// after which the next plans are delayed. A single time is usual: a worker or a job changed while
// the plans were in the log.
const maxConsecutiveRefusals = 2

// recordPlanOutcome delays the next plans if several times in a row no plan was applied
// completely: the state then changed by the attempts only, and the same plans would be made and
// refused in each loop iteration.
func (r *Replica) recordPlanOutcome(known, noneComplete bool) {
	if !noneComplete {
		r.planning.consecutiveRefusals = 0
		return
	}
	r.planning.consecutiveRefusals++
	if known && r.planning.consecutiveRefusals >= maxConsecutiveRefusals {
		r.planning.notBefore = time.Now().Add(scheduler.StragglerCheckInterval)
	}
}

// updatePlanner updates the planner's sets of silent and of unhealthy workers, and how much
// slower than the others each worker is.
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

// medianRuntimePercent returns the median of the run durations that the workers report, in
// percent of the estimates and at least 1. It returns false if fewer than minRuntimeReports
// workers report any.
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
