package clock

import (
	"testing"
	"time"
)

// TestInputAfterAPauseMayBeOld guards against input that arrived while the process was paused and is taken
// for new: the reader may be the first to run after the pause, or run some time after it.
func TestInputAfterAPauseMayBeOld(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	type check struct{ now, want float64 }
	for name, checks := range map[string][]check{
		"no pause":                    {{0, 0}, {0.2, 0.2}, {0.4, 0.4}, {0.5, 0.5}},
		"first check":                 {{5, 5}},
		"late check":                  {{0, 0}, {0.39, 0.39}},
		"the reader runs first":       {{0, 0}, {0.2, 0.2}, {3.2, 0.2}},
		"a check runs first":          {{0, 0}, {0.2, 0.2}, {3.2, 0.2}, {3.3, 0.2}, {3.6, 0.2}, {3.9, 0.2}, {4.1, 0.2}, {4.2, 4.2}},
		"long after the pause":        {{0, 0}, {3, 0}, {3.2, 0}, {3.4, 0}, {3.6, 0}, {3.8, 0}, {4.0, 4.0}},
		"two pauses":                  {{0, 0}, {3, 0}, {3.1, 0}, {6, 3.1}, {6.1, 3.1}},
		"readers with older readings": {{0, 0}, {0.2, 0.2}, {0.1, 0.1}, {0.5, 0.5}},
	} {
		detector := &PauseDetector{}
		for _, c := range checks {
			if got := detector.EarliestArrival(at(c.now)); !got.Equal(at(c.want)) {
				t.Errorf("%s, at %v s: earliest arrival %v, want %v s", name, c.now, got.Sub(start), c.want)
			}
		}
	}
}
