package place

import (
	"math"

	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// pace is how long work takes on a worker against its siblings elsewhere: the
// mean of logarithms, older runs fading.
type pace struct {
	log, n float64
	at     int64
}

// compare takes note of how a run that ended did against the other runs of its
// step. Why not against its estimate: tasks of a step are alike, estimates are
// off by factors of eight.
func (p *Planner) compare(a *store.Alloc, q *store.StepState, took float64, now int64) {
	if q.TookN < tune.PaceSiblings+1 || took <= 0 {
		return
	}
	// Why less its own: it is among them by now.
	others := (float64(q.Took) - took) / float64(q.TookN-1)
	if others <= 0 {
		return
	}
	if p.paces == nil {
		p.paces = map[string]pace{}
	}
	x := p.paces[a.Worker]
	x.n *= math.Exp(-float64(now-x.at) / float64(tune.SpeedSpan.Milliseconds()))
	x.log = (x.log*x.n + math.Log(took/others)) / (x.n + 1)
	x.n++
	x.at = now
	p.paces[a.Worker] = x
}

// Pace tells how many times as long work takes on a worker as elsewhere; false
// while too little ended there lately.
func (p *Planner) Pace(worker string, now int64) (float64, bool) {
	x, ok := p.paces[worker]
	if !ok {
		return 1, false
	}
	n := x.n * math.Exp(-float64(now-x.at)/float64(tune.SpeedSpan.Milliseconds()))
	if n < tune.PaceLeast {
		if n < 0.01 {
			delete(p.paces, worker)
		}
		return 1, false
	}
	return math.Exp(x.log), true
}

// Shrunk is a speed that rests on rough estimates alone, drawn towards one: a
// few of them are off by more than a slow worker is slow.
func Shrunk(speed float64) float64 { return math.Sqrt(speed) }
