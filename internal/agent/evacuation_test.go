package agent

import (
	"testing"
	"time"
)

// TestEvacuatedRunIsNotStartedLate: a run in an evacuated zone may start until its deadline, and
// not after; a run without a deadline may start at any time.
func TestEvacuatedRunIsNotStartedLate(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		until time.Time
		late  bool
	}{
		{time.Time{}, false},
		{now.Add(time.Millisecond), false},
		{now, true},
	} {
		if run := (&taskRun{startUntil: c.until}); run.startsTooLate(now) != c.late {
			t.Errorf("start deadline %v: too late is %v", c.until, !c.late)
		}
	}
}
