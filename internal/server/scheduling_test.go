package server

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/scheduler"
)

// TestMedianRuntimePercent checks that workers without a report don't count, and that two workers
// are too few for a comparison.
func TestMedianRuntimePercent(t *testing.T) {
	for _, test := range []struct {
		reported []int64
		median   float64
		ok       bool
	}{
		{nil, 0, false},
		{[]int64{90, 110}, 0, false},
		{[]int64{90, 110, 0}, 0, false},
		{[]int64{300, 90, 110}, 110, true},
		{[]int64{300, 0, 90, 110, 100}, 110, true},
	} {
		leases := map[string]*workerLease{}
		for i, percent := range test.reported {
			leases[string(rune('a'+i))] = &workerLease{runtimePercent: percent}
		}
		if median, ok := medianRuntimePercent(leases); median != test.median || ok != test.ok {
			t.Errorf("%v: %v, %v; want %v, %v", test.reported, median, ok, test.median, test.ok)
		}
	}
}

// TestRefusedPlansAreDelayed guards against a planner that runs in each loop iteration: plans that
// are refused each time, as for a job that finds no resources left in its loan, are made only a
// few times a second. Plans that are refused once are made again at once.
func TestRefusedPlansAreDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		planned := 0
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			h.replica.planning.due = true
			h.replica.schedule(time.Now())
			if !h.replica.planning.due {
				planned++
				h.replica.recordPlanOutcome(true, true)
			}
		}
		if limit := int(time.Second/scheduler.StragglerCheckInterval) + maxConsecutiveRefusals; planned > limit || planned <= maxConsecutiveRefusals {
			t.Errorf("planned %d times in a second, want at most %d", planned, limit)
		}
		h.replica.recordPlanOutcome(true, false)
		h.replica.planning.notBefore = time.Time{}
		h.replica.recordPlanOutcome(true, true)
		if h.replica.planning.due = true; !h.replica.planning.notBefore.IsZero() {
			t.Error("plans that were refused once are delayed")
		}
	})
}
