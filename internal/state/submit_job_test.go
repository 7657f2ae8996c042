package state

import (
	"testing"

	"tealpond/internal/protocol"
)

func TestResubmittedJobKeepsTheFirstBody(t *testing.T) {
	f := newFixture(t)
	f.submit("j", protocol.Step{TaskCount: 1})
	f.submit("j", protocol.Step{TaskCount: 7})
	if n := f.store.Jobs["j"].Steps[0].TaskCount; n != 1 {
		t.Fatalf("job has %d tasks after a second submission, want 1 as first submitted", n)
	}
}

func TestPeriodicJobCreatesInstancesWhenDue(t *testing.T) {
	f := newFixture(t)
	job := protocol.Job{Steps: []protocol.Step{{TaskCount: 1}}, PeriodicInstances: 3, FirstRunMs: 1000, IntervalMs: 500}
	f.apply(&SubmitJob{Host: "h", Path: "/p/j", ID: "j", Job: job})
	j := f.store.Jobs["j"]
	for _, c := range []struct{ wall, instances int64 }{{999, 0}, {1000, 1}, {1400, 1}, {2100, 3}} {
		f.store.AdvanceClock(f.now, c.wall)
		if int64(len(j.Instances)) != c.instances {
			t.Errorf("at %d: %d instances, want %d", c.wall, len(j.Instances), c.instances)
		}
	}
}
