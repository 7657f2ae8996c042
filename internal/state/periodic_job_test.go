package state

import (
	"math"
	"math/big"
	"math/rand/v2"
	"slices"
	"testing"

	"tealpond/internal/protocol"
)

// extremeNumbers are numbers that callers send, which overflow in sums and products.
var extremeNumbers = []int64{0, 1, 2, 3, 1000, 1 << 31, 1 << 40, 1 << 53, 1 << 62, math.MaxInt64 - 1, math.MaxInt64}

// TestDueInstancesMatchExactArithmetic guards against due times that overflow into the past, by which one
// job whose second instance is never due made all servers add instances without end.
func TestDueInstancesMatchExactArithmetic(t *testing.T) {
	for _, first := range extremeNumbers {
		for _, interval := range extremeNumbers {
			for _, wall := range extremeNumbers {
				for _, instances := range []int64{1, 4, 1 << 40, math.MaxInt64} {
					want := exactDueInstances(instances, first, interval, wall)
					if got := dueInstances(int(instances), first, interval, wall); big.NewInt(int64(got)).Cmp(want) != 0 {
						t.Errorf("%d instances from %d every %d: %d are due at %d, want %d", instances, first, interval, got, wall, want)
					}
				}
			}
		}
	}
}

// exactDueInstances returns the number of due instances in arithmetic that does not overflow.
func exactDueInstances(instances, first, interval, wall int64) *big.Int {
	elapsed := new(big.Int).Sub(big.NewInt(wall), big.NewInt(first))
	switch {
	case elapsed.Sign() < 0:
		return new(big.Int)
	case interval == 0:
		return big.NewInt(instances)
	}
	due := elapsed.Add(elapsed.Quo(elapsed, big.NewInt(interval)), big.NewInt(1))
	if due.Cmp(big.NewInt(instances)) > 0 {
		return big.NewInt(instances)
	}
	return due
}

// TestInstanceThatIsNeverDue checks that instances are created at their times only, and that the next due
// time never lies in the past, however long the interval is.
func TestInstanceThatIsNeverDue(t *testing.T) {
	for _, interval := range []int64{1 << 41, 1 << 62, math.MaxInt64 - 1, math.MaxInt64} {
		f := newFixture(t)
		job := protocol.Job{PeriodicInstances: 4, FirstRunMs: 100, IntervalMs: interval, Steps: []protocol.Step{{TaskCount: 1}}}
		f.apply(&SubmitJob{Host: "h", Path: "/p/1", ID: "1", Job: job})
		f.store.AdvanceClock(f.store.Clock, f.store.WallClock+1000)
		if created := len(f.store.Jobs["1"].Instances); created != 1 || f.store.NextDueAt() <= f.store.WallClock {
			t.Errorf("interval %d: %d instances, the next one due at %d; want 1 and one later than %d", interval, created, f.store.NextDueAt(), f.store.WallClock)
		}
	}
}

// TestEntryAddsABoundedNumberOfInstances checks that a step of the wall clock over many due times does not
// create all their instances in one entry, and that the entries after it create the rest.
func TestEntryAddsABoundedNumberOfInstances(t *testing.T) {
	f := newFixture(t)
	f.apply(&RaiseFormat{Version: FormatVersion})
	const instances, tasks = 300, 100
	job := protocol.Job{PeriodicInstances: instances, FirstRunMs: 1000, IntervalMs: 1000, Steps: []protocol.Step{{TaskCount: tasks}}}
	f.apply(&SubmitJob{Host: "h", Path: "/p/1", ID: "1", Job: job})
	created := 0
	for entry := range instances*tasks/maxDueTasksPerEntry + 1 {
		f.store.AdvanceClock(f.store.Clock, 1<<50)
		now := len(f.store.Jobs["1"].Instances)
		if (now-created)*tasks > maxDueTasksPerEntry {
			t.Errorf("entry %d created %d tasks, want at most %d", entry, (now-created)*tasks, maxDueTasksPerEntry)
		}
		created = now
	}
	if created != instances || f.store.NextDueAt() != 0 {
		t.Errorf("%d instances, the next one due at %d; want %d and none", created, f.store.NextDueAt(), instances)
	}
}

// TestJobsOfExtremeNumbers draws jobs whose numbers are the largest that a caller can send, in a state of
// each format, as they may already stand in a log. Each entry must be applied, and no sum over the jobs
// may overflow.
func TestJobsOfExtremeNumbers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	draw := func() int64 { return extremeNumbers[random.IntN(len(extremeNumbers))] }
	for round := range 300 {
		f := newFixture(t)
		if round%2 == 0 {
			f.apply(&RaiseFormat{Version: FormatVersion})
		}
		f.store.WallClock = draw()
		for _, id := range []string{"1", "2", "3"} {
			job := protocol.Job{PeriodicInstances: int(draw()), FirstRunMs: draw(), IntervalMs: draw()}
			for range 1 + random.IntN(3) {
				job.Steps = append(job.Steps, protocol.Step{TaskCount: int(max(draw(), 1)), CPUUnits: draw(), MemoryMB: draw(),
					GPUs: int(draw()), EstimateMs: draw(), MaxPerWorker: int(draw())})
			}
			if EstimatedBytes(&job, f.store.WallClock) > 1<<24 {
				continue // refused by the leader
			}
			f.apply(&SubmitJob{Host: "h", Path: "/p/" + id, ID: id, Job: job})
		}
		f.apply(&RaiseFormat{Version: FormatVersion})
		for range 3 {
			f.store.AdvanceClock(f.store.Clock, draw())
		}
		checkSums(t, round, f.store)
	}
}

// checkSums checks that no sum over the jobs has overflowed, and that the estimated memory is what a
// recount gives.
func checkSums(t *testing.T, round int, store *Store) {
	t.Helper()
	for key, work := range store.Backlog() {
		if work < 0 {
			t.Errorf("round %d: backlog of %+v is %d", round, key, work)
		}
	}
	bytes := 0.0
	for _, job := range store.Jobs {
		bytes += job.bytes()
		use := TenantUse{}
		for i := range job.Steps {
			use = use.Plus(&job.Steps[i], min(job.Steps[i].TaskCount, 1<<20))
		}
		if job.TargetTurnaroundMs() < 0 || job.CriticalPathMs() < 0 || use.MilliCPU < 0 || use.MemoryMB < 0 || use.GPUs < 0 {
			t.Errorf("round %d: job %+v has target %d ms, critical path %d ms, use %+v", round, job.Steps, job.TargetTurnaroundMs(), job.CriticalPathMs(), use)
		}
		if slices.ContainsFunc(job.Instances, func(instance *JobInstance) bool { return len(instance.Steps) != len(job.Steps) }) {
			t.Errorf("round %d: an instance lacks steps", round)
		}
	}
	if bytes != store.JobBytes() {
		t.Errorf("round %d: jobs take %v bytes, recounted %v", round, store.JobBytes(), bytes)
	}
}
