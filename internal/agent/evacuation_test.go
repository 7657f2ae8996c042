package agent

import (
	"testing"
	"time"
)

// TestRunOfAnEvacuatedZoneIsNotStartedLate: it may be for as long as the server said, and
// not after that; a run whose zone is not evacuated may be at any time.
func TestRunOfAnEvacuatedZoneIsNotStartedLate(t *testing.T) {
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
			t.Errorf("until %v: late %v", c.until, !c.late)
		}
	}
}
