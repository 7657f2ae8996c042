package scheduler

import (
	"math"
	"time"

	"tealpond/internal/state"
)

const (
	// healthyWorkerDelayFactor multiplies the straggler factor of runs on healthy workers.
	healthyWorkerDelayFactor = 3.0
	// minStragglerFactor is the lower bound of a route's straggler factor. A straggler factor is the
	// ratio to its usual duration from which a run gets a speculative copy, if its step allows that.
	minStragglerFactor = 2.0
	// initialStragglerFactor is the straggler factor of a route without completed runs. It applies
	// to durations for which only a rough estimate is known.
	initialStragglerFactor = 4.0
	// maxStragglerFactor is the upper bound of a route's straggler factor.
	maxStragglerFactor = 12.0
	// stragglerFraction is the fraction of a route's runs that exceed its learned straggler factor.
	stragglerFraction = 0.03
	// StragglerCheckInterval is the minimum time between two checks of a run that isn't about to become
	// overdue.
	StragglerCheckInterval = 80 * time.Millisecond
	// minStragglerCheckInterval is the minimum time between two checks of a run that is about to become
	// overdue.
	minStragglerCheckInterval = 10 * time.Millisecond
)

// minEstimateRatio is the lower bound of Planner.EstimateRatio where that corrects
// estimates. It is also the default while the ratio is unknown.
const minEstimateRatio = 0.5

// speculativeRequests returns requests for copies of stragglers whose steps allow
// speculative execution. A task has at most one copy.
func (p *Planner) speculativeRequests(store *state.Store) []placementRequest {
	p.stragglers.enqueueNew(store)
	suspect := map[string]bool{}
	for worker := range p.UnresponsiveWorkers {
		suspect[worker] = true
	}
	for worker := range p.UnhealthyWorkers {
		suspect[worker] = true
	}
	var requests []placementRequest
	indexByStep := map[string]int{}
	for _, id := range p.stragglers.takeDue(store, suspect) {
		allocation := store.Allocations[id]
		if allocation == nil {
			delete(p.stragglers.nextCheck, id)
			continue
		}
		job := store.Jobs[allocation.Job]
		if job == nil || job.Canceled || job.Failed {
			continue
		}
		instance := job.Instances[allocation.Instance]
		task := &instance.Steps[allocation.Step].Tasks[allocation.TaskIndex]
		straggles, checkAt := p.isStraggler(store, allocation, job)
		p.stragglers.schedule(id, checkAt)
		if task.Done || len(task.Allocations) != 1 || !straggles {
			continue
		}
		stepName := state.TaskName(allocation.Job, allocation.Instance, allocation.Step, 0)
		index, found := indexByStep[stepName]
		if !found {
			index = len(requests)
			indexByStep[stepName] = index
			request := newPlacementRequest(store, job, instance, allocation.Step)
			request.speculative, request.excludedWorkers = true, map[string]bool{}
			requests = append(requests, request)
		}
		requests[index].excludedWorkers[allocation.Worker] = true
		requests[index].tasks = append(requests[index].tasks, state.Placement{TaskIndex: allocation.TaskIndex, Copy: 1 - allocation.Copy})
	}
	return requests
}

// isStraggler reports whether a run is lost or overdue, and when to check it again. A run
// is lost if its worker is gone, unresponsive or unschedulable without draining, or if it
// is being stopped. It is overdue if it takes much longer than usual.
func (p *Planner) isStraggler(store *state.Store, allocation *state.Allocation, job *state.Job) (bool, int64) {
	expectedMs, factor := p.expectedDuration(store, allocation, job)
	switch p.classifyPace(allocation.Worker, store.Clock) {
	case paceHealthy:
		// Runs on this worker take their usual time, so the task itself is long. A
		// copy would take as long.
		factor *= healthyWorkerDelayFactor
	case paceSlow:
		factor = min(factor, minStragglerFactor)
	case paceUnknown:
	}
	ageMs := float64(store.Clock - allocation.AllocatedAt)
	worker := store.Workers[allocation.Worker]
	lost := worker == nil || !worker.Schedulable() && !worker.Draining || p.UnresponsiveWorkers[allocation.Worker] || allocation.Stopping
	slow := p.Slowdown[allocation.Worker] > slowWorkerFactor
	overdue := ageMs > float64(minStragglerAge.Milliseconds()) && (ageMs > factor*expectedMs || slow && ageMs < expectedMs)
	return lost || overdue, store.Clock + checkPause(ageMs, factor*expectedMs)
}

// expectedDuration returns the expected duration of a run, in ms, and the straggler
// factor that applies to it.
func (p *Planner) expectedDuration(store *state.Store, allocation *state.Allocation, job *state.Job) (ms, factor float64) {
	spec := &job.Steps[allocation.Step]
	ms, factor = float64(spec.EstimateMs)*max(p.EstimateRatio, minEstimateRatio), p.stragglerFactor(job.Route)
	if stepState := &job.Instances[allocation.Instance].Steps[allocation.Step]; stepState.DoneRuns >= 2 {
		// Tasks of one step are alike, while estimates are rough.
		ms, factor = float64(stepState.DoneRunsMs)/float64(stepState.DoneRuns), p.siblingFactor(job.Route)
	}
	if worker := store.Workers[allocation.Worker]; worker != nil && worker.RemoteFrom(spec.PreferredRack) {
		ms *= store.RemoteFactor()
	}
	return ms, factor
}

// checkPause returns the time until a run's next check, in ms. The longer a run has
// been running, the less often it is checked, but a check is due when it becomes
// overdue.
func checkPause(ageMs, overdueMs float64) int64 {
	pause := max(StragglerCheckInterval.Milliseconds(), int64(ageMs)/8)
	if left := int64(overdueMs-ageMs) + 1; left > 0 {
		pause = min(pause, max(left, minStragglerCheckInterval.Milliseconds()))
	}
	return pause
}

// RecordCompletion updates the statistics with a run that completed successfully at
// endedAt, in ms of the state clock: the pace of its worker and, for its route, how
// much tasks of a step differ and how rough the estimates are.
func (p *Planner) RecordCompletion(store *state.Store, allocation *state.Allocation, endedAt int64) {
	job := store.Jobs[allocation.Job]
	if job == nil {
		return
	}
	spec := &job.Steps[allocation.Step]
	// A run that resumed from a checkpoint did only part of its task.
	if allocation.Checkpoint != "" || spec.EstimateMs <= 0 || spec.LongRunning {
		return
	}
	expectedMs := float64(spec.EstimateMs) * max(p.EstimateRatio, minEstimateRatio)
	tookMs := float64(endedAt - allocation.AllocatedAt)
	localMs := tookMs // as if it had run near its data
	if worker := store.Workers[allocation.Worker]; worker != nil && worker.RemoteFrom(spec.PreferredRack) {
		expectedMs *= store.RemoteFactor()
		localMs /= store.RemoteFactor()
	}
	stepState := &job.Instances[allocation.Instance].Steps[allocation.Step]
	logRatio, compared := p.recordPace(allocation, stepState, job.Route, localMs, endedAt)
	if compared && p.classifyPace(allocation.Worker, endedAt) != paceSlow {
		// Runs on a slow worker say nothing about the differences between tasks.
		p.siblingFactors = updateFactor(p.siblingFactors, job.Route, p.siblingFactor(job.Route), math.Exp(logRatio))
	}
	p.stragglerFactors = updateFactor(p.stragglerFactors, job.Route, p.stragglerFactor(job.Route), tookMs/expectedMs)
}

// updateFactor tracks the factor that stragglerFraction of a route's runs exceed. It
// raises the factor slightly if a run exceeded it, and otherwise lowers it by less.
func updateFactor(factors map[string]float64, route string, factor, ratio float64) map[string]float64 {
	if ratio > factor {
		factor *= 1 + learningRate
	} else {
		factor *= 1 - learningRate*stragglerFraction
	}
	if factors == nil {
		factors = map[string]float64{}
	}
	factors[route] = min(max(factor, minStragglerFactor), maxStragglerFactor)
	return factors
}

// stragglerFactor returns the ratio to its estimated duration from which a run of a route
// is overdue.
func (p *Planner) stragglerFactor(route string) float64 {
	if factor := p.stragglerFactors[route]; factor > 0 {
		return factor
	}
	return initialStragglerFactor
}

// siblingFactor returns the ratio to the mean duration of the completed runs of its step
// from which a run of a route is overdue.
func (p *Planner) siblingFactor(route string) float64 {
	if factor := p.siblingFactors[route]; factor > 0 {
		return factor
	}
	return minStragglerFactor
}
