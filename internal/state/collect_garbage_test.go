package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestGarbageIsCollectedAfterRetention checks that a job is removed when the retention after
// its end is over, unless it still has runs or a peer still needs it.
func TestGarbageIsCollectedAfterRetention(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(f *fixture, job *Job)
		afterMs int64
		kept    bool
	}{
		{"open", func(*fixture, *Job) {}, 5000, true},
		{"ended", func(f *fixture, _ *Job) { f.apply(&CancelJob{ID: "j"}) }, 5000, false},
		{"ended just now", func(f *fixture, _ *Job) { f.apply(&CancelJob{ID: "j"}) }, 900, true},
		{"no retention set", func(f *fixture, _ *Job) {
			f.apply(&CancelJob{ID: "j"})
			f.apply(&SetLimits{})
		}, 5000, true},
		{"has a run", func(f *fixture, _ *Job) {
			f.applyPlan("j", 0, false, placementOn(f.store.Workers["a"], 0))
			f.apply(&CancelJob{ID: "j"})
		}, 5000, true},
		{"transfer is not complete", func(f *fixture, job *Job) {
			f.apply(&CancelJob{ID: "j"})
			job.Transfer.State = TransferAccepted
		}, 5000, true},
		{"transfer is released", func(f *fixture, job *Job) {
			f.apply(&CancelJob{ID: "j"})
			job.Transfer.State = TransferReleased
		}, 5000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
			f.submit("j", protocol.Step{TaskCount: 1})
			c.prepare(f, f.store.Jobs["j"])
			f.now += c.afterMs
			f.apply(&CollectGarbage{})
			if kept := f.store.Jobs["j"] != nil; kept != c.kept {
				t.Errorf("job kept: %v, want the opposite", kept)
			}
		})
	}
}
