package scheduler

import (
	"cmp"
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// TestPaceFindsSlowWorkerDespiteRoughEstimates checks that only the slow worker gets a high pace.
// Estimates are off by a factor of up to eight either way, tasks of a step differ by about a third,
// and one worker is four times as slow as the others. The estimate must also expire.
func TestPaceFindsSlowWorkerDespiteRoughEstimates(t *testing.T) {
	c := newTestCluster(t, 6)
	p := &Planner{}
	random := rand.New(rand.NewSource(9))
	slow := workerID(2)
	for range 40 {
		c.submit("/p/", protocol.Step{TaskCount: 18, CPUUnits: 5000, MemoryMB: 10, EstimateMs: int64(200 * math.Exp(random.Float64()*4-2))})
		c.planAndBind(p)
		for i := 0; len(c.store.Allocations) > 0; i++ {
			for _, a := range c.store.Allocations {
				durationMs := int64(200 * (0.7 + 0.6*float64(a.TaskIndex%7)/6))
				if a.Worker == slow {
					durationMs *= 4
				}
				if a.AllocatedAt+durationMs <= c.clock || i > 2000 {
					allocatedAt := a.AllocatedAt
					c.complete(a)
					p.RecordCompletion(c.store, a, allocatedAt+durationMs)
					break
				}
			}
			c.clock += 5
		}
	}
	for i := range 6 {
		pace, ok := p.Pace(workerID(i), c.store.Clock)
		switch {
		case workerID(i) == slow && (!ok || pace < 2):
			t.Errorf("slow worker: pace %.1f (known: %v), want at least 2", pace, ok)
		case workerID(i) != slow && ok && pace > 1.5:
			t.Errorf("healthy worker %s: pace %.1f, want at most 1.5", workerID(i), pace)
		}
	}
	if _, ok := p.Pace(slow, c.store.Clock+60000); ok {
		t.Error("pace estimate is still valid after a minute without runs")
	}
}

// variedWorkload runs jobs whose task durations differ by a factor of ten, and counts the runs and
// speculative copies.
type variedWorkload struct {
	*testCluster
	planner      Planner
	random       *rand.Rand
	slowFactor   float64          // slowdown of the worker slowWorker
	durationsMs  map[uint64]int64 // by allocation
	runs, copies int
}

const slowWorker = 7

// allocations returns the allocations in the order of their IDs.
func (w *variedWorkload) allocations() []*state.Allocation {
	return slices.SortedFunc(maps.Values(w.store.Allocations), func(a, b *state.Allocation) int { return cmp.Compare(a.ID, b.ID) })
}

// runJob submits one job and runs it to completion.
func (w *variedWorkload) runJob() {
	w.submit("/p/", protocol.Step{TaskCount: 60, CPUUnits: 3000, MemoryMB: 10, EstimateMs: 400, Speculative: true})
	for w.planAndBind(&w.planner); len(w.store.Allocations) > 0; w.planAndBind(&w.planner) {
		for _, a := range w.allocations() {
			if w.durationsMs[a.ID] > 0 {
				continue
			}
			w.durationsMs[a.ID] = int64(300 * math.Exp(0.9*w.random.NormFloat64()))
			if a.Worker == workerID(slowWorker) {
				w.durationsMs[a.ID] = int64(float64(w.durationsMs[a.ID]) * w.slowFactor)
			}
			w.runs++
			w.copies += a.Copy
		}
		w.advance(20)
		for _, a := range w.allocations() {
			switch {
			case a.Stopping:
				w.end(a, "stopped")
			case a.AllocatedAt+w.durationsMs[a.ID] <= w.clock:
				w.complete(a)
				w.planner.RecordCompletion(w.store, a, w.clock)
			}
		}
	}
}

// TestPaceOfVariedTasks checks the classification of workers where tasks of a step differ by a factor
// of ten. Workers of equal speed must rarely be classified as slow, and few runs may get speculative
// copies. A worker that is six times as slow must be found within three jobs.
func TestPaceOfVariedTasks(t *testing.T) {
	const workers, jobs = 12, 40
	for _, test := range []struct {
		slowFactor float64
		maxCopies  float64 // fraction of the runs
	}{{1, 0.02}, {6, 0.10}} {
		workload := variedWorkload{testCluster: newTestCluster(t, workers), random: rand.New(rand.NewSource(11)),
			slowFactor: test.slowFactor, durationsMs: map[uint64]int64{}}
		classified, misclassified, foundAfter := 0, 0, 0
		for job := range jobs {
			workload.runJob()
			for i := range workers {
				slow := workload.planner.classifyPace(workerID(i), workload.store.Clock) == paceSlow
				switch {
				case i != slowWorker || test.slowFactor == 1:
					classified++
					if slow {
						misclassified++
					}
				case slow && foundAfter == 0:
					foundAfter = job + 1
				}
			}
		}
		if fraction := float64(workload.copies) / float64(workload.runs); fraction > test.maxCopies {
			t.Errorf("slow factor %.0f: too many speculative copies: %.3f of the runs", test.slowFactor, fraction)
		}
		if fraction := float64(misclassified) / float64(classified); fraction > 0.03 {
			t.Errorf("slow factor %.0f: %.3f of the healthy workers were classified as slow, want at most 0.03",
				test.slowFactor, fraction)
		}
		if test.slowFactor > 1 && (foundAfter == 0 || foundAfter > 3) {
			t.Errorf("slow factor %.0f: slow worker found after %d jobs, want 1 to 3", test.slowFactor, foundAfter)
		}
	}
}
