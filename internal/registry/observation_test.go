package registry

import (
	"testing"
	"time"
)

// TestObservationsOfManyDaemonsAreAveraged checks that the average soon converges to what the
// daemons reported, that failure rates decay, and that runners no longer listed are forgotten.
func TestObservationsOfManyDaemonsAreAveraged(t *testing.T) {
	o, now := NewObservations(), time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 30 {
		o.Add([]Observation{{ID: "slow", Answers: 1, LatencyMs: 400}, {ID: "quick", Answers: 2, LatencyMs: 200},
			{ID: "bad", Failures: 1},
			{ID: "absurd", Answers: -5, LatencyMs: -1}, {ID: "gone", Answers: 1, LatencyMs: 1}})
	}
	list := []Runner{{ID: "slow"}, {ID: "quick"}, {ID: "bad"}, {ID: "new"}, {ID: "absurd"}}
	o.Annotate(list, now)
	for _, c := range []struct {
		at       int
		from, to int64
		failed   int64
	}{{0, 350, 450, 0}, {1, 85, 115, 0}, {2, 0, 0, 100}, {3, 0, 0, 0}, {4, 0, 0, 0}} {
		health := list[c.at].Health
		if health.LatencyMs < c.from || health.LatencyMs > c.to || health.FailedPct != c.failed {
			t.Errorf("%s: %+v", list[c.at].ID, health)
		}
	}
	if len(o.estimates) != 3 {
		t.Errorf("estimates of %d runners are kept, want 3", len(o.estimates))
	}
	o.Annotate(list, now.Add(2*failureDecayTime))
	if failed := list[2].Health.FailedPct; failed >= 30 {
		t.Errorf("failure rate is %d%% after two decay times, want below 30%%", failed)
	}
}

// TestHealthIsRoundedToSteps checks that a small change in latency doesn't change the rounded
// health, and that a larger one does.
func TestHealthIsRoundedToSteps(t *testing.T) {
	a, b := healthEstimate{latencyMs: 200}, healthEstimate{latencyMs: 206}
	if a.rounded() != b.rounded() {
		t.Errorf("200 ms and 206 ms are rounded to %+v and %+v, want the same", a.rounded(), b.rounded())
	}
	c := healthEstimate{latencyMs: 300}
	if a.rounded() == c.rounded() {
		t.Errorf("200 ms and 300 ms are both rounded to %+v", c.rounded())
	}
}
