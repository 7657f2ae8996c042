package agent

import (
	"fmt"
	"testing"
	"time"
)

// TestOldIncarnationsAreForgotten: the map does not grow with each restart of the runner, and
// recent entries are kept.
func TestOldIncarnationsAreForgotten(t *testing.T) {
	const restarts, pause = 1000, 3 * time.Second
	var incarnations incarnationTimes
	now := time.Unix(1000, 0)
	for i := range restarts {
		now = now.Add(pause)
		incarnations.record(fmt.Sprint(i), now, now)
	}
	kept := int(incarnationRetention/pause) + 1
	if len(incarnations.times) != kept {
		t.Errorf("%d incarnations are kept, want %d", len(incarnations.times), kept)
	}
	for i := range restarts {
		if _, ok := incarnations.of(fmt.Sprint(i)); ok != (i >= restarts-kept) {
			t.Errorf("incarnation %d of %d is kept: %v", i, restarts, ok)
		}
	}
}

// TestLeavingIncarnationIsKept: the recorded time of a sign-off may be in the future.
func TestLeavingIncarnationIsKept(t *testing.T) {
	var incarnations incarnationTimes
	now := time.Unix(1000, 0)
	incarnations.record("leaving", now.Add(time.Hour), now)
	incarnations.record("next", now, now.Add(time.Hour))
	if _, ok := incarnations.of("leaving"); !ok {
		t.Error("the incarnation was deleted before it left")
	}
}
