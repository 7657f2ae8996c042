// Package scheduler decides which task goes to which worker.
//
// A Planner runs on the leader. It reads the replicated state and never changes
// it: what it decides are plans (state.Plan), which take effect only when they
// are committed and applied like any other command. The package starts no
// goroutine and reads no clock; time is that of the state.
package scheduler

import (
	"tealpond/internal/state"
)

const (
	// maxTasksPerPlan is the number of tasks placed in one plan.
	maxTasksPerPlan = 600
	// unplacedStepCost is what a step that finds no room counts towards maxTasksPerPlan, in tasks.
	unplacedStepCost = 4
)

// A plan that lost a placement is planned again while it is applied, on each
// replica; the state can't import the scheduler, so the function is set here.
func init() { state.Replan = replan }

// Planner makes plans. Between them it remembers the urgent demand of the last
// seconds, the pace of workers, and how far estimates are off. The zero value is
// ready for use; a Planner is used by one goroutine at a time.
type Planner struct {
	// UnresponsiveWorkers are the workers that the leader hasn't heard of lately. They
	// get no tasks, and their runs get copies where that is allowed.
	UnresponsiveWorkers map[string]bool
	// UnhealthyWorkers are the workers whose agents report trouble, or whose
	// lease has expired. Their runs are checked for copies at once.
	UnhealthyWorkers map[string]bool
	// Slowdown is how many times as long as on the median worker tasks take, by
	// worker; workers that are missing count as 1.
	Slowdown map[string]float64
	// EstimateRatio is how many times as long as estimated tasks take on the
	// median worker; 0 if that isn't known.
	EstimateRatio float64
	// CheckpointIntervalMs is the most work, in milliseconds, that a run which
	// saves its progress loses when it is stopped.
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

// Plan makes plans for the tasks that wait, the most urgent first, as far as
// there is room and up to maxTasksPerPlan. Each plan holds tasks of one
// step.
func (p *Planner) Plan(store *state.Store) []state.Plan {
	p.forgetUnused(store)
	snap := newSnapshot(store, p)
	requests := append(pendingRequests(store), p.speculativeRequests(store)...)
	// This is reset even if nothing waits: what lacked room a round ago would
	// otherwise go on preempting other runs.
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
		// What doesn't fit counts little, whatever its size: work that fits
		// nowhere must not keep other work from being looked at.
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

// limitToLoan drops tasks of a peer cluster's job that don't fit into the room
// lent to that cluster. It returns false if none is left to place.
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

// replan plans a step again of which a placement can't be bound any more. It
// looks at every worker, since each replica must come to the same plan.
func replan(store *state.Store, plan state.Plan) (state.Plan, bool) {
	job := store.Jobs[plan.Job]
	if job == nil || plan.Instance >= len(job.Instances) {
		return plan, false
	}
	request := placementRequest{job: job, instance: job.Instances[plan.Instance], step: plan.Step}
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
