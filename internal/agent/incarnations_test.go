package agent

import (
	"fmt"
	"testing"
	"time"
)

// TestIncarnationsAreForgotten: the tables of an agent don't grow with each restart of
// its runner, and what is recent is kept.
func TestIncarnationsAreForgotten(t *testing.T) {
	const restarts, pause = 1000, 3 * time.Second
	var noted incarnationTimes
	now := time.Unix(1000, 0)
	for i := range restarts {
		now = now.Add(pause)
		noted.note(fmt.Sprint(i), now, now)
	}
	kept := int(incarnationRetention/pause) + 1
	if len(noted.times) != kept {
		t.Errorf("%d incarnations are kept, want %d", len(noted.times), kept)
	}
	for i := range restarts {
		if _, ok := noted.of(fmt.Sprint(i)); ok != (i >= restarts-kept) {
			t.Errorf("incarnation %d of %d is kept: %v", i, restarts, ok)
		}
	}
}

// TestLeavingIncarnationIsKeptUntilItLeft: the time of a sign-off lies ahead.
func TestLeavingIncarnationIsKeptUntilItLeft(t *testing.T) {
	var noted incarnationTimes
	now := time.Unix(1000, 0)
	noted.note("leaving", now.Add(time.Hour), now)
	noted.note("next", now, now.Add(time.Hour))
	if _, ok := noted.of("leaving"); !ok {
		t.Error("it is forgotten before it leaves")
	}
}
