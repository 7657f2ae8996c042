package scheduler

import (
	"math"

	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

// paceEstimate is how long work takes on a worker against its siblings elsewhere: the
// mean of logarithms, older runs fading.
type paceEstimate struct {
	meanLog, weight float64
	updatedAt       int64
}

// recordPace takes note of how a run that ended did against the other runs of its
// step. Why not against its estimate: tasks of a step are alike, estimates are
// off by factors of eight.
func (p *Planner) recordPace(allocation *state.Allocation, stepState *state.StepState, took float64, now int64) {
	if stepState.DoneRuns < tuning.MinPaceSiblings+1 || took <= 0 {
		return
	}
	// Why less its own: it is among them by now.
	others := (float64(stepState.DoneRunsMs) - took) / float64(stepState.DoneRuns-1)
	if others <= 0 {
		return
	}
	if p.paces == nil {
		p.paces = map[string]paceEstimate{}
	}
	estimate := p.paces[allocation.Worker]
	estimate.weight *= math.Exp(-float64(now-estimate.updatedAt) / float64(tuning.SpeedSampleDecay.Milliseconds()))
	estimate.meanLog = (estimate.meanLog*estimate.weight + math.Log(took/others)) / (estimate.weight + 1)
	estimate.weight++
	estimate.updatedAt = now
	p.paces[allocation.Worker] = estimate
}

// Pace tells how many times as long work takes on a worker as elsewhere; false
// while too little ended there lately.
func (p *Planner) Pace(worker string, now int64) (float64, bool) {
	estimate, ok := p.paces[worker]
	if !ok {
		return 1, false
	}
	weight := estimate.weight * math.Exp(-float64(now-estimate.updatedAt)/float64(tuning.SpeedSampleDecay.Milliseconds()))
	if weight < tuning.MinPaceSampleWeight {
		if weight < 0.01 {
			delete(p.paces, worker)
		}
		return 1, false
	}
	return math.Exp(estimate.meanLog), true
}

// DampSlowdown is a speed that rests on rough estimates alone, drawn towards one: a
// few of them are off by more than a slow worker is slow.
func DampSlowdown(speed float64) float64 { return math.Sqrt(speed) }
