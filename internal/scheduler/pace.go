package scheduler

import (
	"math"

	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

// negligibleWeight is the weight below which a worker's pace is forgotten.
const negligibleWeight = 0.01

// paceEstimate is how long runs take on a worker relative to other runs of their
// steps elsewhere: the mean of the logarithms, in which older runs decay.
type paceEstimate struct {
	meanLog, weight float64
	updatedAt       int64
}

// decayedWeight is the weight that is left of the runs seen so far.
func (e paceEstimate) decayedWeight(now int64) float64 {
	return e.weight * math.Exp(-float64(now-e.updatedAt)/float64(tuning.SpeedSampleDecay.Milliseconds()))
}

// recordPace compares a completed run with the other runs of its step. It isn't
// compared with its estimate, since tasks of a step are alike, while estimates are
// off by factors of up to eight.
func (p *Planner) recordPace(worker string, stepState *state.StepState, tookMs float64, now int64) {
	if stepState.DoneRuns < tuning.MinPaceSiblings+1 || tookMs <= 0 {
		return
	}
	// The run itself is among the step's done runs by now.
	siblingsMs := (float64(stepState.DoneRunsMs) - tookMs) / float64(stepState.DoneRuns-1)
	if siblingsMs <= 0 {
		return
	}
	if p.paces == nil {
		p.paces = map[string]paceEstimate{}
	}
	estimate := p.paces[worker]
	estimate.weight = estimate.decayedWeight(now)
	estimate.meanLog = (estimate.meanLog*estimate.weight + math.Log(tookMs/siblingsMs)) / (estimate.weight + 1)
	estimate.weight++
	estimate.updatedAt = now
	p.paces[worker] = estimate
}

// Pace tells how many times as long runs take on a worker as elsewhere, or false
// if too few ended there lately. The time now is that of the state, in ms.
func (p *Planner) Pace(worker string, now int64) (float64, bool) {
	estimate, ok := p.paces[worker]
	if !ok {
		return 1, false
	}
	weight := estimate.decayedWeight(now)
	if weight < tuning.MinPaceSampleWeight {
		if weight < negligibleWeight {
			delete(p.paces, worker)
		}
		return 1, false
	}
	return math.Exp(estimate.meanLog), true
}

// DampSlowdown draws a slowdown that rests on a few rough estimates towards 1: they
// are off by more than a slow worker is slow.
func DampSlowdown(slowdown float64) float64 { return math.Sqrt(slowdown) }
