package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestPlacedJobsThatNeverBeganWait guards against jobs that were placed on a runner which is lost before it
// begins them, and were missing in the count of waiting jobs from then on.
func TestPlacedJobsThatNeverBeganWait(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   func(f *fixture, worker *Worker)
		waiting int
	}{
		{"the worker may start it", func(*fixture, *Worker) {}, 0},
		{"the runner is silent", func(f *fixture, w *Worker) {
			f.apply(&ReportEligibility{ID: "w", Fence: w.Fence, Number: 1, LeavesInMs: -1, Unhealthy: true})
		}, 1},
		{"the leases have expired", func(f *fixture, w *Worker) {
			f.apply(&ExpireLeases{Workers: []FencedWorker{{ID: "w", Fence: w.Fence}}})
		}, 1},
		{"the runner crashed", func(f *fixture, w *Worker) {
			f.apply(&RegisterWorker{ID: "w2", Node: w.Node, Service: "s", ReplacesFence: w.Fence, LeavesInMs: -1})
		}, 1},
		{"the run was refused", func(f *fixture, _ *Worker) { f.reportCompletion("w", "j.0.0.0", 1, ResultRefused) }, 1},
		{"the run failed", func(f *fixture, _ *Worker) { f.reportCompletion("w", "j.0.0.0", 1, ResultFailed) }, 0},
		{"one task is done, its runner crashed then", func(f *fixture, w *Worker) {
			f.reportCompletion("w", "j.0.0.0", 1, ResultDone)
			f.apply(&RegisterWorker{ID: "w2", Node: w.Node, Service: "s", ReplacesFence: w.Fence, LeavesInMs: -1})
		}, 0},
		{"it was canceled", func(f *fixture, _ *Worker) { f.apply(&CancelJob{ID: "j"}) }, 0},
	} {
		f := newFixture(t)
		worker := f.addWorker("w", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
		f.submit("j", protocol.Step{TaskCount: 2, CPUUnits: 100})
		route, _ := f.store.RouteTable().Find("h", "/p/j")
		if waiting := f.store.PendingJobCount(route); waiting != 1 {
			t.Errorf("%s: %d jobs wait before one is placed, want 1", c.name, waiting)
		}
		f.applyPlan("j", 0, false, placementOn(worker, 0))
		c.after(f, worker)
		if waiting := f.store.PendingJobCount(route); waiting != c.waiting {
			t.Errorf("%s: %d jobs wait, want %d", c.name, waiting, c.waiting)
		}
	}
}
