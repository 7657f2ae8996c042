package api

import (
	"testing"
	"time"

	"tealpond/internal/settings"
)

// TestReadIntervals checks that the list is read just often enough to learn that a runner is
// draining before it ends.
func TestReadIntervals(t *testing.T) {
	for _, c := range []struct {
		drainMs, lagMs   float64
		normal, changing time.Duration
	}{
		{2500, 800, 700 * time.Millisecond, 350 * time.Millisecond},
		{3000, 800, 1200 * time.Millisecond, 600 * time.Millisecond},
		{60_000, 800, 1200 * time.Millisecond, 600 * time.Millisecond},
		{1000, 800, 350 * time.Millisecond, 350 * time.Millisecond},
		{0, 0, 1200 * time.Millisecond, 600 * time.Millisecond},
	} {
		file := settings.File{Bounds: settings.Bounds{DrainMs: c.drainMs}, Platform: settings.Platform{MaxLagMs: c.lagMs}}
		if normal, changing := readIntervals(&file); normal != c.normal || changing != c.changing {
			t.Errorf("drain %v ms, lag %v ms: %v and %v, want %v and %v",
				c.drainMs, c.lagMs, normal, changing, c.normal, c.changing)
		}
	}
}
