package registry

import (
	"testing"
	"time"
)

// TestObservationsOfManyDaemons: the average of all is soon near what each saw, failures
// are forgiven, and runners that are gone are forgotten.
func TestObservationsOfManyDaemons(t *testing.T) {
	o, now := NewObservations(), time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 30 {
		o.Add([]Observation{{ID: "slow", Answers: 1, LatencyMs: 400}, {ID: "quick", Answers: 2, LatencyMs: 200}, {ID: "bad", Failures: 1},
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
		t.Errorf("%d runners are remembered", len(o.estimates))
	}
	o.Annotate(list, now.Add(2*failureMemory))
	if failed := list[2].Health.FailedPct; failed >= 30 {
		t.Errorf("%d%% of failures are remembered after a while", failed)
	}
}

// TestHealthIsToldInSteps: a small change of a latency is none.
func TestHealthIsToldInSteps(t *testing.T) {
	a, b := healthEstimate{latencyMs: 200}, healthEstimate{latencyMs: 206}
	if a.rounded() != b.rounded() {
		t.Errorf("%+v and %+v", a.rounded(), b.rounded())
	}
	c := healthEstimate{latencyMs: 300}
	if a.rounded() == c.rounded() {
		t.Errorf("%+v is told for both", c.rounded())
	}
}
