package api

import (
	"testing"
	"time"

	"tealpond/internal/settings"
)

// TestReadIntervals: the list is read as often as is needed to hear of a runner that leaves
// before it ends, and no oftener.
func TestReadIntervals(t *testing.T) {
	for _, c := range []struct {
		drainMs, lagMs float64
		calm, busy     time.Duration
	}{
		{2500, 800, 700 * time.Millisecond, 350 * time.Millisecond},
		{3000, 800, 1200 * time.Millisecond, 600 * time.Millisecond},
		{60_000, 800, 1200 * time.Millisecond, 600 * time.Millisecond},
		{1000, 800, 350 * time.Millisecond, 350 * time.Millisecond},
		{0, 0, 1200 * time.Millisecond, 600 * time.Millisecond},
	} {
		file := settings.File{Bounds: settings.Bounds{DrainMs: c.drainMs}, Platform: settings.Platform{MaxLagMs: c.lagMs}}
		if calm, busy := readIntervals(&file); calm != c.calm || busy != c.busy {
			t.Errorf("drain %v ms, lag %v ms: %v and %v, want %v and %v", c.drainMs, c.lagMs, calm, busy, c.calm, c.busy)
		}
	}
}
