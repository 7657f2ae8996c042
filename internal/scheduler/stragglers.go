package scheduler

import (
	"math"
	"time"

	"tealpond/internal/state"
)

const (
	// healthyWorkerDelayFactor is how many times as late a run on a healthy worker must be before it
	// gets a copy.
	healthyWorkerDelayFactor = 3.0
	// minStragglerFactor is how many times its usual duration a run may take before it gets a copy,
	// where its step allows that.
	minStragglerFactor = 2.0
	// initialStragglerFactor is the straggler factor of a route of which nothing was learnt, while
	// only a rough estimate of the duration is known.
	initialStragglerFactor = 4.0
	// maxStragglerFactor is the upper bound of a route's learnt factor.
	maxStragglerFactor = 12.0
	// stragglerFraction is the part of a route's runs that are above its learnt straggler factor.
	stragglerFraction = 0.03
	// StragglerCheckInterval is the least time between two checks of a run that isn't about to be
	// late.
	StragglerCheckInterval = 80 * time.Millisecond
	// minStragglerCheckInterval is the least time between two checks of a run that is about to be
	// late.
	minStragglerCheckInterval = 10 * time.Millisecond
)

// minEstimateRatio bounds Planner.EstimateRatio from below where it corrects
// estimates; it also stands in while that ratio isn't known.
const minEstimateRatio = 0.5

// speculativeRequests asks for copies of runs in trouble, where their steps allow
// that: the worker is silent or unhealthy, or the run takes much longer than usual.
// A task has at most one copy.
func (p *Planner) speculativeRequests(store *state.Store) []placementRequest {
	p.stragglers.enqueueNew(store)
	troubled := map[string]bool{}
	for worker := range p.UnresponsiveWorkers {
		troubled[worker] = true
	}
	for worker := range p.UnhealthyWorkers {
		troubled[worker] = true
	}
	var requests []placementRequest
	indexByStep := map[string]int{}
	for _, id := range p.stragglers.takeDue(store, troubled) {
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
			requests = append(requests, placementRequest{job: job, instance: instance, step: allocation.Step, speculative: true, excludedWorkers: map[string]bool{}})
		}
		requests[index].excludedWorkers[allocation.Worker] = true
		requests[index].tasks = append(requests[index].tasks, state.Placement{TaskIndex: allocation.TaskIndex, Copy: 1 - allocation.Copy})
	}
	return requests
}

// isStraggler reports whether a run is in trouble on its worker or much longer under
// way than usual, and when to check it again.
func (p *Planner) isStraggler(store *state.Store, allocation *state.Allocation, job *state.Job) (bool, int64) {
	expectedMs, factor := p.expectedDuration(store, allocation, job)
	switch p.judgePace(allocation.Worker, store.Clock) {
	case paceHealthy:
		// Runs take their usual time there, so this is a long task and no slow
		// worker; a copy would take as long.
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

// expectedDuration is how long a run should take on its worker, in ms, and by which
// factor it may exceed that.
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

// checkPause is the time to a run's next check, in ms. A run that has been under
// way for long needs no check each moment, and one that is about to be overdue
// needs it just then.
func checkPause(ageMs, overdueMs float64) int64 {
	pause := max(StragglerCheckInterval.Milliseconds(), int64(ageMs)/8)
	if left := int64(overdueMs-ageMs) + 1; left > 0 {
		pause = min(pause, max(left, minStragglerCheckInterval.Milliseconds()))
	}
	return pause
}

// RecordCompletion learns from a run that completed successfully at endedAt, in ms
// of the state's clock: the pace of its worker, how much tasks of a step differ, and
// how rough the estimates of its route are.
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
	localMs := tookMs // as it would have been near its data
	if worker := store.Workers[allocation.Worker]; worker != nil && worker.RemoteFrom(spec.PreferredRack) {
		expectedMs *= store.RemoteFactor()
		localMs /= store.RemoteFactor()
	}
	stepState := &job.Instances[allocation.Instance].Steps[allocation.Step]
	logRatio, compared := p.recordPace(allocation, stepState, job.Route, localMs, endedAt)
	if compared && p.judgePace(allocation.Worker, endedAt) != paceSlow {
		// Runs on a slow worker say nothing of the tasks.
		p.siblingFactors = learnFactor(p.siblingFactors, job.Route, p.siblingFactor(job.Route), math.Exp(logRatio))
	}
	p.stragglerFactors = learnFactor(p.stragglerFactors, job.Route, p.stragglerFactor(job.Route), tookMs/expectedMs)
}

// learnFactor follows the factor that stragglerFraction of a route's runs
// exceed: up by a small part where a run exceeded it, and down where not.
func learnFactor(factors map[string]float64, route string, factor, ratio float64) map[string]float64 {
	if ratio > factor {
		factor *= 1 + stragglerLearningRate
	} else {
		factor *= 1 - stragglerLearningRate*stragglerFraction
	}
	if factors == nil {
		factors = map[string]float64{}
	}
	factors[route] = min(max(factor, minStragglerFactor), maxStragglerFactor)
	return factors
}

// stragglerFactor is how many times as long as estimated a run of a route may take.
func (p *Planner) stragglerFactor(route string) float64 {
	if factor := p.stragglerFactors[route]; factor > 0 {
		return factor
	}
	return initialStragglerFactor
}

// siblingFactor is how many times as long as the other runs of its step a run of a
// route may take.
func (p *Planner) siblingFactor(route string) float64 {
	if factor := p.siblingFactors[route]; factor > 0 {
		return factor
	}
	return minStragglerFactor
}
