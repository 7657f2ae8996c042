package scheduler

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestRunOnUnresponsiveWorkerGetsCopy checks that a run on a worker that becomes unresponsive gets a
// speculative copy on another worker at once. A young run on a responsive worker gets one only when it
// is overdue.
func TestRunOnUnresponsiveWorkerGetsCopy(t *testing.T) {
	c := newTestCluster(t, 4)
	p := &Planner{}
	c.submit("/p/", protocol.Step{TaskCount: 2, CPUUnits: 9000, MemoryMB: 100, EstimateMs: 400, Speculative: true})
	c.planAndBind(p)
	if n := c.planAndBind(p); n != 0 {
		t.Fatalf("%d copies of young runs, want 0", n)
	}
	a := c.anyAllocation()
	p.UnresponsiveWorkers = map[string]bool{a.Worker: true}
	if n := c.planAndBind(p); n != 1 {
		t.Fatalf("%d copies of a run on an unresponsive worker, want 1", n)
	}
	for _, b := range c.store.Allocations {
		if b.Copy == 1 && b.Worker == a.Worker {
			t.Error("copy placed on the unresponsive worker")
		}
	}
	if n := c.planAndBind(p); n != 0 {
		t.Errorf("%d more copies in the next plan, want 0", n)
	}
	c.advance(5000)
	c.planAndBind(p)
	copies := 0
	for _, b := range c.store.Allocations {
		if b.Copy == 1 {
			copies++
		}
	}
	if copies != 2 {
		t.Errorf("%d copies of runs that took twelve times their estimate, want 2", copies)
	}
}

// TestLongRunOnHealthyWorkerGetsNoCopy checks that a long run gets no speculative copy on a worker
// that is known to be healthy: tasks of a step may differ by a factor of ten, and a copy of a long one
// takes as long.
func TestLongRunOnHealthyWorkerGetsNoCopy(t *testing.T) {
	for _, healthy := range []bool{true, false} {
		c := newTestCluster(t, 4)
		p := &Planner{}
		c.submit("/p/", protocol.Step{TaskCount: 8, CPUUnits: 3000, MemoryMB: 10, EstimateMs: 300, Speculative: true})
		c.planAndBind(p)
		long := c.anyAllocation()
		p.paces = map[string]paceEstimate{}
		c.clock += 300
		for _, a := range c.store.Allocations {
			if a != long {
				c.complete(a)
			}
		}
		c.advance(600)
		for i := range 4 {
			if worker := workerID(i); healthy || worker != long.Worker {
				p.paces[worker] = paceEstimate{weight: 5, updatedAt: c.clock}
			}
		}
		if n := c.planAndBind(p); (n == 0) != healthy {
			t.Errorf("worker known to be healthy: %v, got %d copies", healthy, n)
		}
	}
}

// TestStragglerFactorFollowsEstimates checks that the factor rises above 5 for a route of which one
// run in ten takes six times its estimate, and falls below 3 for a route with accurate estimates.
func TestStragglerFactorFollowsEstimates(t *testing.T) {
	c := newTestCluster(t, 4)
	p := &Planner{}
	for i := range 600 {
		for _, prefix := range []string{"/p/", "/q/"} {
			c.submit(prefix, protocol.Step{TaskCount: 1, CPUUnits: 100, EstimateMs: 100})
			c.planAndBind(p)
			a := c.anyAllocation()
			if prefix == "/p/" && i%10 == 0 {
				c.clock += 600
			}
			p.RecordCompletion(c.store, a, c.clock)
			c.complete(a)
		}
	}
	if rough, accurate := p.stragglerFactor("a"), p.stragglerFactor("b"); rough < 5 || accurate > 3 {
		t.Errorf("straggler factors %.1f and %.1f, want at least 5 and at most 3", rough, accurate)
	}
}

// TestCheckPause checks that a young run is checked at the shortest interval, an old one after an
// eighth of its age, and each when it becomes overdue.
func TestCheckPause(t *testing.T) {
	interval := StragglerCheckInterval.Milliseconds()
	for name, c := range map[string]struct {
		ageMs, overdueMs float64
		want             int64
	}{
		"young":                  {0, 10000, interval},
		"old":                    {8000, 100000, 1000},
		"overdue soon":           {8000, 8499, 500},
		"overdue within 1 ms":    {8000, 8001, minStragglerCheckInterval.Milliseconds()},
		"overdue for some time":  {8000, 4000, 1000},
		"young, already overdue": {10, 1, interval},
	} {
		if got := checkPause(c.ageMs, c.overdueMs); got != c.want {
			t.Errorf("%s: %d ms, want %d", name, got, c.want)
		}
	}
}
