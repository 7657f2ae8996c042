package scheduler

import (
	"math"

	"tealpond/internal/state"
	"tealpond/internal/timing"
)

const (
	// minPaceSiblings is the minimum number of completed runs of the same step that a run is compared
	// with.
	minPaceSiblings = 3
	// minPaceSampleWeight is the minimum number of runs, with older ones decayed over
	// timing.SpeedSampleDecay, from which a worker's pace is estimated.
	minPaceSampleWeight = 1.5
	// healthyPaceLimit is the pace below which a worker is classified as healthy.
	healthyPaceLimit = 1.5
	// slowPaceDeviations is how many standard errors above the usual pace a worker's mean must lie
	// before it is classified as slow.
	slowPaceDeviations = 2.0
	// initialPaceDeviation is the standard deviation assumed for the logarithm of run durations within
	// a step, until it has been estimated for a route. minPaceDeviation and maxPaceDeviation bound the
	// estimate.
	initialPaceDeviation = 0.5
	minPaceDeviation     = 0.1
	maxPaceDeviation     = 1.5
	// learningRate is the relative change of a learned factor or deviation per run.
	learningRate = 0.02
)

// negligibleWeight is the sample weight below which a worker's pace estimate is deleted.
const negligibleWeight = 0.01

// medianToDeviation is the ratio of the standard deviation of a normal distribution to its median
// absolute deviation.
const medianToDeviation = 1.4826

// paceEstimate estimates how long runs take on a worker relative to other runs of the same steps. It
// is the mean of the logarithms of these ratios, with an exponential decay of older runs.
type paceEstimate struct {
	meanLog, weight float64
	variance        float64 // of the logarithm of one run's ratio, as estimated for its route
	updatedAt       int64   // ms of the state clock
}

// decayedWeight returns the weight of all samples after decay until now.
func (e paceEstimate) decayedWeight(now int64) float64 {
	return e.weight * math.Exp(-float64(now-e.updatedAt)/float64(timing.SpeedSampleDecay.Milliseconds()))
}

// add adds the sample of one run and the variance of its route.
func (e *paceEstimate) add(logRatio, variance float64, now int64) {
	weight := e.decayedWeight(now)
	e.meanLog = (e.meanLog*weight + logRatio) / (weight + 1)
	e.variance = (e.variance*weight + variance) / (weight + 1)
	e.weight, e.updatedAt = weight+1, now
}

// workerPace classifies a worker by the durations of its runs.
type workerPace byte

const (
	paceUnknown workerPace = iota // too few runs to tell it from differences between tasks
	paceHealthy
	paceSlow
)

// recordPace compares a completed run with the earlier completed runs of its step, and updates the
// estimates of its worker and route. It returns the logarithm of the ratio of the run's duration to
// their mean, or false if there are too few of them. The run isn't compared with its estimated
// duration: tasks of a step are alike, while estimates are off by factors of up to eight.
func (p *Planner) recordPace(allocation *state.Allocation, stepState *state.StepState, route string, tookMs float64, now int64) (logRatio float64, ok bool) {
	if stepState.DoneRuns < minPaceSiblings+1 || tookMs <= 0 {
		return 0, false
	}
	// The step's totals already include this run.
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
	usual.update(logRatio)
	p.routePaces[route] = usual
	estimate := p.paces[allocation.Worker]
	estimate.add(logRatio-usual.median, usual.deviation*usual.deviation, now)
	p.paces[allocation.Worker] = estimate
	return logRatio, true
}

// routePace is the usual distribution, for one route, of the logarithm of a run's duration relative
// to the earlier completed runs of its step. Long tasks end last, so the median is above 0 where
// tasks of a step differ. Both values track medians, which the runs of a few slow workers hardly
// affect.
type routePace struct {
	median    float64 // of the logarithm of the duration ratio
	deviation float64 // standard deviation of that logarithm
}

// update moves the median and the deviation by the sample of one run.
func (r *routePace) update(logRatio float64) {
	step := learningRate * r.deviation
	if logRatio < r.median {
		step = -step
	}
	r.median += step
	scale := 1 - learningRate
	if math.Abs(logRatio-r.median)*medianToDeviation > r.deviation {
		scale = 1 + learningRate
	}
	r.deviation = min(max(r.deviation*scale, minPaceDeviation), maxPaceDeviation)
}

// Pace returns the ratio of run durations on a worker to those on other workers, or false if too few
// runs ended there recently. Of a ratio above 1 it returns a lower bound, one standard error below
// the mean and at least 1, since tasks of a step may differ by more than a slow worker does. The
// argument now is the state clock in ms.
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

// recentPace returns a worker's estimate and its decayed weight, or false if too few runs ended there
// recently.
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

// classifyPace classifies a worker as healthy or slow if its runs are sufficient evidence.
func (p *Planner) classifyPace(worker string, now int64) workerPace {
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

// DampSlowdown moves a slowdown that is based on a few rough estimates toward 1, since such
// estimates vary by more than a slow worker does.
func DampSlowdown(slowdown float64) float64 { return math.Sqrt(slowdown) }
