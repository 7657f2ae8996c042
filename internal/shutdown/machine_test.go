package shutdown

import (
	"testing"
	"time"
)

// testTimeouts are the time limits for a grace period of ten seconds.
var testTimeouts = TimeoutsFor(10*time.Second, time.Second)

// TestPhasesAdvance checks that phases advance with the status and the time, in whatever
// order these change, and that none returns to an earlier one.
func TestPhasesAdvance(t *testing.T) {
	type step struct {
		at     time.Duration
		status Status
		want   Phase
	}
	open, handedOver, closed := Status{Open: 3}, Status{Open: 3, HandedOver: true}, Status{HandedOver: true}
	for name, steps := range map[string][]step{
		"no open connections":   {{0, closed, Announcing}, {999 * time.Millisecond, closed, Announcing}, {time.Second, closed, Ended}},
		"requests are answered": {{time.Second, handedOver, Closing}, {5 * time.Second, handedOver, Closing}, {6 * time.Second, closed, Ended}},
		"handed over late": {
			{time.Second, open, Announcing}, {3 * time.Second, open, Announcing}, {3 * time.Second, handedOver, Closing},
			{4 * time.Second, open, Closing}, {5 * time.Second, closed, Ended},
		},
		"requests are not answered": {{time.Second, handedOver, Closing}, {testTimeouts.RespondWithin, handedOver, Aborting}, {testTimeouts.RespondWithin + testTimeouts.MaxAborting, handedOver, Ended}},
		"final responses":           {{testTimeouts.RespondWithin, handedOver, Aborting}, {testTimeouts.RespondWithin + time.Millisecond, closed, Ended}},
		"never handed over":         {{testTimeouts.RespondWithin - 1, open, Announcing}, {testTimeouts.RespondWithin, open, Aborting}, {testTimeouts.RespondWithin + testTimeouts.MaxAborting, open, Ended}},
		"ended stays ended":         {{testTimeouts.RespondWithin, closed, Ended}, {testTimeouts.RespondWithin, open, Ended}},
	} {
		start := time.Unix(1000, 0)
		machine := NewMachine(start, testTimeouts)
		for i, step := range steps {
			if got := machine.Advance(start.Add(step.at), step.status); got != step.want {
				t.Errorf("%s, step %d: phase %v, want %v", name, i, got, step.want)
			}
		}
	}
}

// TestTimesFitIntoGracePeriod checks, for various grace periods, that the time limits are in
// order, that the last one ends within the grace period, and that a long notice is limited.
func TestTimesFitIntoGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Second, 6 * time.Second, time.Minute} {
		for _, notice := range []time.Duration{0, 500 * time.Millisecond, time.Hour} {
			timeouts := TimeoutsFor(grace, notice)
			inOrder := timeouts.Notice <= timeouts.RefuseAfter && timeouts.RefuseAfter <= timeouts.RespondWithin && timeouts.RespondWithin+timeouts.MaxAborting <= grace
			// Operators tolerate aborted requests only in the last sixth of the grace
			// period.
			if !inOrder || timeouts.RespondWithin < grace*5/6 {
				t.Errorf("grace %v, notice %v: %+v", grace, notice, timeouts)
			}
		}
	}
}
