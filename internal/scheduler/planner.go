// Package scheduler decides which task goes to which worker.
//
// A Planner runs on the leader. It reads the replicated state and never changes
// it. Its decisions are plans (state.Plan), which take effect only when they are
// committed and applied like any other command. The package starts no goroutines
// and reads no system clock; it uses the clock of the replicated state.
package scheduler

import (
	"tealpond/internal/state"
)

const (
	// maxTasksPerPlan is the number of placed tasks after which Plan considers no more steps.
	maxTasksPerPlan = 600
	// unplacedStepCost is the number of tasks that a step which doesn't fit counts toward
	// maxTasksPerPlan.
	unplacedStepCost = 4
)

// A plan with a placement that can no longer be bound is replanned while it is
// applied, on each replica. Package state can't import the scheduler, so the
// function is registered here.
func init() { state.Replan = replan }

// Planner makes plans. Between plans it keeps recent peaks of demand by priority,
// the pace of workers, and how far estimates of run durations are off. The zero
// value is ready for use. A Planner isn't safe for concurrent use.
type Planner struct {
	// UnresponsiveWorkers are the workers that the leader hasn't heard from recently.
	// They get no tasks, and their runs get speculative copies where the step allows
	// that.
	UnresponsiveWorkers map[string]bool
	// UnhealthyWorkers are the workers whose agents report problems, or whose lease
	// has expired. Their runs are checked at once for whether they need a speculative
	// copy.
	UnhealthyWorkers map[string]bool
	// Slowdown is the ratio of task durations on a worker to those on the median
	// worker, by worker. Workers without an entry count as 1.
	Slowdown map[string]float64
	// EstimateRatio is the ratio of actual to estimated task durations on the median
	// worker; 0 if it is unknown.
	EstimateRatio float64
	// CheckpointIntervalMs is the maximum work, in milliseconds, that a run with
	// checkpoints loses when it is stopped.
	CheckpointIntervalMs int64

	demandPeaks      map[state.ServicePriority]*demandPeak
	tenantPeaks      map[string]map[int]*demandPeak      // by tenant and priority
	unmetDemand      map[state.ServicePriority]resources // of the last plan
	heldResources    map[state.ServicePriority]resources // as of the last plan
	stragglers       stragglerQueue
	stragglerFactors map[string]float64      // by route, see stragglerFactor
	siblingFactors   map[string]float64      // by route, see siblingFactor
	routePaces       map[string]routePace    // by route
	paces            map[string]paceEstimate // by worker
}

// Plan makes plans for waiting tasks, the most urgent first, as far as there is
// free capacity and up to about maxTasksPerPlan tasks. Each plan holds tasks of
// one step.
func (p *Planner) Plan(store *state.Store) []state.Plan {
	p.pruneStale(store)
	snap := newSnapshot(store, p)
	requests := append(pendingRequests(store), p.speculativeRequests(store)...)
	// Reset this even if nothing waits. Otherwise the unmet demand of the previous
	// plan would go on preempting other runs.
	p.unmetDemand = map[state.ServicePriority]resources{}
	if len(requests) == 0 {
		return nil
	}
	held, demand := currentDemand(store, requests)
	p.heldResources = held
	p.updatePeaks(store.Clock, demand)
	p.updateTenantPeaks(store, requests)
	var plans []state.Plan
	quotas := newQuotaTally(store, p)
	left := maxTasksPerPlan
	for _, request := range requests {
		if left <= 0 {
			break
		}
		if !quotas.limitToQuota(&request) {
			continue
		}
		if snap.knownUnplaceable(&request) {
			left--
			continue
		}
		if !limitToLoan(store, &request) || !p.limitLongTasks(store, &request, held) {
			continue
		}
		plan := snap.placeStep(request)
		placed := len(plan.Placements)
		// A step that doesn't fit has a low fixed cost whatever its size, so that
		// unplaceable work can't use up the limit and block other work.
		left -= max(placed, unplacedStepCost)
		kind, spec := request.servicePriority(), request.spec()
		if placed > 0 {
			plans = append(plans, plan)
			held[kind] = held[kind].add(spec.CPUUnits, spec.MemoryMB, placed)
			quotas.add(&request, placed)
		}
		if missing := len(request.tasks) - placed; missing > 0 && request.mayPreempt(store.Clock) {
			p.unmetDemand[kind] = p.unmetDemand[kind].add(spec.CPUUnits, spec.MemoryMB, missing)
		}
	}
	return plans
}

// limitToLoan removes tasks of a peer cluster's job that exceed the capacity lent
// to that cluster. It returns false if no task may be placed.
func limitToLoan(store *state.Store, request *placementRequest) bool {
	milliCPU, ok := store.LoanRemaining(request.job)
	if !ok || len(request.tasks) == 0 {
		return true
	}
	n := int(milliCPU / max(request.spec().CPUUnits, 1))
	if n == 0 && milliCPU > 0 {
		n = 1
	}
	if n == 0 || n < len(request.tasks) && request.isGang() {
		return false
	}
	request.tasks = request.tasks[:min(n, len(request.tasks))]
	return true
}

// replan makes a new plan for a step with a placement that can no longer be bound.
// It considers every worker, since each replica must compute the same plan. It
// returns false if it finds no placement.
func replan(store *state.Store, plan state.Plan) (state.Plan, bool) {
	job := store.Jobs[plan.Job]
	if job == nil || plan.Instance >= len(job.Instances) {
		return plan, false
	}
	request := newPlacementRequest(store, job, job.Instances[plan.Instance], plan.Step)
	for _, placement := range plan.Placements {
		task := &request.instance.Steps[plan.Step].Tasks[placement.TaskIndex]
		if !task.Done && (len(task.Allocations) == 0 || placement.Copy > 0) {
			request.tasks = append(request.tasks, state.Placement{TaskIndex: placement.TaskIndex, Copy: placement.Copy})
		}
	}
	if !newQuotaTally(store, nil).limitToQuota(&request) {
		return plan, false
	}
	replanned := newExhaustiveSnapshot(store).placeStep(request)
	return replanned, len(replanned.Placements) > 0
}
