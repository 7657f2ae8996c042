package place

import (
	"math"
	"math/rand"
	"testing"

	"tealpond/internal/wire"
)

// TestPaceTellsASlowWorkerFromRoughEstimates: estimates are off by up to eight
// times either way, tasks of a step are alike but for a third, one worker is
// four times as slow.
func TestPaceTellsASlowWorkerFromRoughEstimates(t *testing.T) {
	f := newFleet(6)
	p := &Planner{}
	rnd := rand.New(rand.NewSource(9))
	slow := worker(2)
	for range 40 {
		f.job("/p/", wire.Step{TaskCount: 18, CPUUnits: 5000, MemMb: 10, EstimateMs: int64(200 * math.Exp(rnd.Float64()*4-2))})
		f.plan(p)
		for i := 0; len(f.s.Allocs) > 0; i++ {
			for _, a := range f.s.Allocs {
				need := int64(200 * (0.7 + 0.6*float64(a.Index%7)/6))
				if a.Worker == slow {
					need *= 4
				}
				if a.From+need <= f.now || i > 2000 {
					from := a.From
					f.end(a, "done")
					p.Learn(f.s, a, from+need)
					break
				}
			}
			f.now += 5
		}
	}
	for i := range 6 {
		x, ok := p.Pace(worker(i), f.s.Clock)
		switch {
		case worker(i) == slow && (!ok || x < 2):
			t.Errorf("the slow worker's pace is %.1f (%v)", x, ok)
		case worker(i) != slow && ok && x > 1.5:
			t.Errorf("%s is sound and its pace is %.1f", worker(i), x)
		}
	}
	if _, ok := p.Pace(slow, f.s.Clock+60000); ok {
		t.Error("a pace of a minute ago still counts")
	}
}
