package place

import (
	"math"
	"math/rand"
	"testing"

	"tealpond/internal/protocol"
	"tealpond/internal/store"
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
		f.job("/p/", protocol.Step{TaskCount: 18, CPUUnits: 5000, MemoryMB: 10, EstimateMs: int64(200 * math.Exp(rnd.Float64()*4-2))})
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

// TestLongRunOnASoundWorkerGetsNoCopy: tasks of a step may differ by ten times,
// and a copy of a long one takes as long.
func TestLongRunOnASoundWorkerGetsNoCopy(t *testing.T) {
	for _, sound := range []bool{true, false} {
		f := newFleet(4)
		p := &Planner{}
		f.job("/p/", protocol.Step{TaskCount: 8, CPUUnits: 3000, MemoryMB: 10, EstimateMs: 300, Speculative: true})
		f.plan(p)
		long := f.any()
		p.paces = map[string]pace{}
		f.now += 300
		for _, a := range f.s.Allocs {
			if a != long {
				f.end(a, "done")
			}
		}
		f.now += 600
		f.run("sweep", &store.Sweep{})
		for i := range 4 {
			if x := worker(i); sound || x != long.Worker {
				p.paces[x] = pace{n: 5, at: f.now}
			}
		}
		if n := f.plan(p); (n == 0) != sound {
			t.Errorf("worker known to be sound: %v, copies %d", sound, n)
		}
	}
}
