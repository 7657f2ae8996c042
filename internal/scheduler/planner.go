// Package scheduler plans which task goes to which worker. It reads the store and
// never changes it.
package scheduler

import (
	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

func init() { state.Replan = replan }

// Planner makes plans and remembers, between them, how much room the urgent
// needed lately.
type Planner struct {
	// SilentWorkers workers get nothing new; Speed is how many times as long work
	// takes on a worker as usual; Usual is that against the estimates.
	SilentWorkers map[string]bool
	// UnhealthyWorkers workers are those whose side daemons say so.
	UnhealthyWorkers map[string]bool
	Slowdown         map[string]float64
	EstimateRatio    float64
	demandPeaks      map[state.ServicePriority]*demandPeak
	unmetDemand      map[state.ServicePriority]resources
	heldResources    map[state.ServicePriority]resources
	// CheckpointIntervalMs is how much work a run that saves its progress loses at most.
	CheckpointIntervalMs int64
	stragglers           stragglerQueue
	stragglerFactors     map[string]float64      // by route, see Learn
	paces                map[string]paceEstimate // by worker
}

// Plan makes plans for what waits, as far as there is room.
func (p *Planner) Plan(store *state.Store) []state.Plan {
	snap := newSnapshot(store, p)
	requests := append(pendingRequests(store), p.speculativeRequests(store)...)
	// Why also when nothing waits: what lacked room a round ago would go on
	// pushing others out.
	p.unmetDemand = map[state.ServicePriority]resources{}
	if len(requests) == 0 {
		return nil
	}
	held, all := demand(store, requests)
	p.heldResources = held
	p.updatePeaks(store.Clock, all)
	var plans []state.Plan
	left := tuning.MaxTasksPerPlan
	for _, request := range requests {
		if left <= 0 {
			break
		}
		if snap.knownUnplaceable(&request) {
			left--
			continue
		}
		kind := state.ServicePriority{Service: request.job.Service, Priority: request.job.Priority}
		spec := request.job.Steps[request.step]
		if left, ok := store.LoanRemaining(request.job); ok && len(request.tasks) > 0 {
			n := int(left / max(cpuPerTask(request), 1))
			if n == 0 && left > 0 {
				n = 1
			}
			if n < len(request.tasks) && request.job.IsGang(request.step) || n == 0 {
				continue
			}
			request.tasks = request.tasks[:min(n, len(request.tasks))]
		}
		if limit, ok := p.longTaskLimit(store, request, held); ok {
			// Why fewer tasks and not none: what fits under the share runs.
			n := len(request.tasks)
			if spec.CPUUnits > 0 {
				n = min(n, int((limit.cpu-held[kind].cpu)/float64(spec.CPUUnits)))
			}
			if spec.MemoryMB > 0 {
				n = min(n, int((limit.memory-held[kind].memory)/float64(spec.MemoryMB)))
			}
			if held[kind].cpu == 0 {
				n = max(n, 1)
			}
			if n <= 0 || n < len(request.tasks) && request.job.IsGang(request.step) && held[kind].cpu > 0 {
				continue
			}
			if n < len(request.tasks) && !request.job.IsGang(request.step) {
				request.tasks = request.tasks[:n]
			}
		}
		plan := snap.placeStep(request)
		// Why not by what waits: work that fits nowhere must not keep what
		// would fit from being looked at.
		left -= max(len(plan.Placements), tuning.UnplacedStepCost)
		if len(plan.Placements) > 0 {
			plans = append(plans, plan)
			held[kind] = held[kind].add(spec.CPUUnits, spec.MemoryMB, len(plan.Placements))
		}
		if n := len(request.tasks) - len(plan.Placements); n > 0 && request.deadlineClass < 2 && !request.speculative && store.Clock-request.instance.Steps[request.step].ReadyAt >= tuning.PreemptionDelay.Milliseconds() {
			p.unmetDemand[kind] = p.unmetDemand[kind].add(spec.CPUUnits, spec.MemoryMB, n)
		}
	}
	return plans
}

func cpuPerTask(request placementRequest) int64 { return request.job.Steps[request.step].CPUUnits }

func replan(store *state.Store, plan state.Plan) (state.Plan, bool) {
	job := store.Jobs[plan.Job]
	if job == nil || plan.Instance >= len(job.Instances) {
		return plan, false
	}
	request := placementRequest{job: job, instance: job.Instances[plan.Instance], step: plan.Step}
	for _, item := range plan.Placements {
		task := &request.instance.Steps[plan.Step].Tasks[item.TaskIndex]
		if !task.Done && (len(task.Allocations) == 0 || item.Copy > 0) {
			request.tasks = append(request.tasks, state.Placement{TaskIndex: item.TaskIndex, Copy: item.Copy})
		}
	}
	replanned := newExhaustiveSnapshot(store).placeStep(request)
	return replanned, len(replanned.Placements) > 0
}
