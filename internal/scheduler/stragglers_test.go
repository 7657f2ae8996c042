package scheduler

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestRunOnASilentWorkerGetsACopy: a run on a worker that falls silent gets a copy
// elsewhere at once, one that is merely young gets none.
func TestRunOnASilentWorkerGetsACopy(t *testing.T) {
	c := newTestCluster(t, 4)
	p := &Planner{}
	c.submit("/p/", protocol.Step{TaskCount: 2, CPUUnits: 9000, MemoryMB: 100, EstimateMs: 400, Speculative: true})
	c.planAndBind(p)
	if n := c.planAndBind(p); n != 0 {
		t.Fatalf("%d copies of young runs", n)
	}
	a := c.anyAllocation()
	p.UnresponsiveWorkers = map[string]bool{a.Worker: true}
	if n := c.planAndBind(p); n != 1 {
		t.Fatalf("%d copies of a run on a silent worker", n)
	}
	for _, b := range c.store.Allocations {
		if b.Copy == 1 && b.Worker == a.Worker {
			t.Error("the copy went to the silent worker")
		}
	}
	if n := c.planAndBind(p); n != 0 {
		t.Errorf("%d copies more", n)
	}
	c.advance(5000)
	c.planAndBind(p)
	long := 0
	for _, b := range c.store.Allocations {
		if b.Copy == 1 {
			long++
		}
	}
	if long != 2 {
		t.Errorf("%d copies of runs twelve times as long as estimated, want 2", long)
	}
}

// TestLongRunOnAHealthyWorkerGetsNoCopy: tasks of a step may differ by ten times,
// and a copy of a long one takes as long.
func TestLongRunOnAHealthyWorkerGetsNoCopy(t *testing.T) {
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
			if x := workerID(i); healthy || x != long.Worker {
				p.paces[x] = paceEstimate{weight: 5, updatedAt: c.clock}
			}
		}
		if n := c.planAndBind(p); (n == 0) != healthy {
			t.Errorf("worker known to be healthy: %v, copies %d", healthy, n)
		}
	}
}

// TestStragglerFactorFollowsRoughEstimates: a route whose runs often take six times as
// long as estimated gets no copies at four times; one that is estimated well keeps its
// factor low.
func TestStragglerFactorFollowsRoughEstimates(t *testing.T) {
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
	if rough, good := p.stragglerFactor("a"), p.stragglerFactor("b"); rough < 5 || good > 3 {
		t.Errorf("factors %.1f and %.1f, want above 5 and under 3", rough, good)
	}
}

// TestCheckPause: a young run is checked often, an old one by an eighth of its age,
// and each at the moment from which it is overdue.
func TestCheckPause(t *testing.T) {
	interval := StragglerCheckInterval.Milliseconds()
	for name, c := range map[string]struct {
		ageMs, overdueMs float64
		want             int64
	}{
		"young":                  {0, 10000, interval},
		"old":                    {8000, 100000, 1000},
		"overdue soon":           {8000, 8499, 500},
		"overdue in a moment":    {8000, 8001, minStragglerCheckInterval.Milliseconds()},
		"overdue for some time":  {8000, 4000, 1000},
		"young, overdue already": {10, 1, interval},
	} {
		if got := checkPause(c.ageMs, c.overdueMs); got != c.want {
			t.Errorf("%s: %d ms, want %d", name, got, c.want)
		}
	}
}
