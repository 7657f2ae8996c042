package scheduler

import (
	"math"

	"tealpond/internal/state"
	"tealpond/internal/timing"
)

const (
	// minPaceSiblings is the least number of other runs of its step that a run is compared with.
	minPaceSiblings = 3
	// minPaceSampleWeight is the number of other runs, decayed over timing.SpeedSampleDecay, from
	// which they tell a worker's pace.
	minPaceSampleWeight = 1.5
	// healthyPaceLimit is the pace up to which a worker is known to be healthy.
	healthyPaceLimit = 1.5
	// slowPaceDeviations is how many standard deviations of its mean a worker's pace must be above the
	// usual one to prove that it is slow.
	slowPaceDeviations = 2.0
	// initialPaceDeviation is the standard deviation of the logarithm of the durations of a step's
	// runs before it is learnt of a route; minPaceDeviation and maxPaceDeviation bound what is learnt.
	initialPaceDeviation = 0.5
	minPaceDeviation     = 0.1
	maxPaceDeviation     = 1.5
	// stragglerLearningRate is by how much one run changes the learnt factor, as a part of it.
	stragglerLearningRate = 0.02
)

// negligibleWeight is the weight below which a worker's pace is forgotten.
const negligibleWeight = 0.01

// medianToDeviation is the standard deviation of a normal distribution over the median
// of its absolute values.
const medianToDeviation = 1.4826

// paceEstimate is how long runs take on a worker relative to other runs of their
// steps elsewhere: the mean of the logarithms, in which older runs decay.
type paceEstimate struct {
	meanLog, weight float64
	variance        float64 // of the logarithm of one run, as learnt of its route
	updatedAt       int64
}

// decayedWeight is the weight that is left of the runs seen so far.
func (e paceEstimate) decayedWeight(now int64) float64 {
	return e.weight * math.Exp(-float64(now-e.updatedAt)/float64(timing.SpeedSampleDecay.Milliseconds()))
}

// add takes in one run, and the variance of its route.
func (e *paceEstimate) add(logRatio, variance float64, now int64) {
	weight := e.decayedWeight(now)
	e.meanLog = (e.meanLog*weight + logRatio) / (weight + 1)
	e.variance = (e.variance*weight + variance) / (weight + 1)
	e.weight, e.updatedAt = weight+1, now
}

// workerPace is what the runs on a worker tell of its speed.
type workerPace byte

const (
	paceUnknown workerPace = iota // too few runs for the differences between tasks
	paceHealthy
	paceSlow
)

// recordPace compares a completed run with the runs of its step that were done before
// it, as a logarithm; false if these are too few. It isn't compared with its estimate, since
// tasks of a step are alike, while estimates are off by factors of up to eight.
func (p *Planner) recordPace(allocation *state.Allocation, stepState *state.StepState, route string, tookMs float64, now int64) (logRatio float64, ok bool) {
	if stepState.DoneRuns < minPaceSiblings+1 || tookMs <= 0 {
		return 0, false
	}
	// The run itself is among the step's done runs by now.
	siblingsMs := (float64(stepState.DoneRunsMs) - tookMs) / float64(stepState.DoneRuns-1)
	if siblingsMs <= 0 {
		return 0, false
	}
	logRatio = math.Log(tookMs / siblingsMs)
	if p.paces == nil {
		p.paces, p.routePaces = map[string]paceEstimate{}, map[string]routePace{}
	}
	usual, known := p.routePaces[route]
	if !known {
		usual.deviation = initialPaceDeviation
	}
	usual.learn(logRatio)
	p.routePaces[route] = usual
	estimate := p.paces[allocation.Worker]
	estimate.add(logRatio-usual.median, usual.deviation*usual.deviation, now)
	p.paces[allocation.Worker] = estimate
	return logRatio, true
}

// routePace is how the completed runs of a route usually compare with the runs of
// their steps that were done before them. Long tasks end last, so that the median is
// above 0 where tasks of a step differ. Both values follow medians, which the runs of
// a few slow workers do not move much.
type routePace struct {
	median    float64 // of the logarithm of the ratio
	deviation float64 // standard deviation of that logarithm
}

// learn takes in the logarithm of one run's ratio.
func (r *routePace) learn(logRatio float64) {
	step := stragglerLearningRate * r.deviation
	if logRatio < r.median {
		step = -step
	}
	r.median += step
	scale := 1 - stragglerLearningRate
	if math.Abs(logRatio-r.median)*medianToDeviation > r.deviation {
		scale = 1 + stragglerLearningRate
	}
	r.deviation = min(max(r.deviation*scale, minPaceDeviation), maxPaceDeviation)
}

// Pace tells how many times as long runs take on a worker as elsewhere, or false if
// too few ended there lately. A pace above 1 is the least that the runs prove, since
// tasks of a step may differ by more than a slow worker is slow. The time now is that
// of the state, in ms.
func (p *Planner) Pace(worker string, now int64) (float64, bool) {
	estimate, weight, ok := p.recentPace(worker, now)
	if !ok {
		return 1, false
	}
	if estimate.meanLog <= 0 {
		return math.Exp(estimate.meanLog), true
	}
	return math.Exp(max(estimate.meanLog-math.Sqrt(estimate.variance/weight), 0)), true
}

// recentPace returns the estimate of a worker and its weight now, or false if too few
// runs ended there lately.
func (p *Planner) recentPace(worker string, now int64) (estimate paceEstimate, weight float64, ok bool) {
	estimate, ok = p.paces[worker]
	if !ok {
		return estimate, 0, false
	}
	weight = estimate.decayedWeight(now)
	if weight < minPaceSampleWeight {
		if weight < negligibleWeight {
			delete(p.paces, worker)
		}
		return estimate, weight, false
	}
	return estimate, weight, true
}

// judgePace reports whether a worker is healthy or slow, as far as its runs prove it.
func (p *Planner) judgePace(worker string, now int64) workerPace {
	estimate, weight, ok := p.recentPace(worker, now)
	limit := math.Log(healthyPaceLimit)
	switch {
	case !ok:
		return paceUnknown
	case estimate.meanLog < limit:
		return paceHealthy
	case estimate.meanLog > max(limit, slowPaceDeviations*math.Sqrt(estimate.variance/weight)):
		return paceSlow
	}
	return paceUnknown
}

// DampSlowdown draws a slowdown that rests on a few rough estimates towards 1: they
// are off by more than a slow worker is slow.
func DampSlowdown(slowdown float64) float64 { return math.Sqrt(slowdown) }
