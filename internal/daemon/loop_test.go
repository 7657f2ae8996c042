package daemon

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestLoopHandlesQueuedEventsInOneBatch checks that afterBatch is called once for all
// queued events, and again after the wait that it returned.
func TestLoopHandlesQueuedEventsInOneBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		events, done := make(chan int, 10), make(chan struct{})
		var calls []string
		start := time.Now()
		wait := time.Duration(0)
		go func() {
			Loop(ctx, events, func(event int) { calls = append(calls, fmt.Sprint(event)) }, func(now time.Time) time.Duration {
				calls = append(calls, fmt.Sprint("batch at ", now.Sub(start)))
				return wait
			})
			close(done)
		}()
		synctest.Wait()
		wait = 20 * time.Millisecond
		for event := range 3 {
			events <- event
		}
		time.Sleep(30 * time.Millisecond)
		synctest.Wait()
		if want := []string{"batch at 0s", "0", "1", "2", "batch at 0s", "batch at 20ms"}; !slices.Equal(calls, want) {
			t.Errorf("%v, want %v", calls, want)
		}
		cancel()
		<-done
	})
}

// TestLoopReturnsWhenEventsAreClosed checks that Loop returns once events is closed and
// the last event was handled.
func TestLoopReturnsWhenEventsAreClosed(t *testing.T) {
	for _, queued := range []int{0, 1, 3} {
		events := make(chan int, 3)
		for event := range queued {
			events <- event
		}
		close(events)
		handled, batches := 0, 0
		Loop(t.Context(), events, func(int) { handled++ }, func(time.Time) time.Duration { batches++; return 0 })
		if handled != queued || batches != 1 {
			t.Errorf("%d events: %d handled, %d batches", queued, handled, batches)
		}
	}
}

// TestRolesAreFoundByName also checks that registering a second role of the same name
// panics.
func TestRolesAreFoundByName(t *testing.T) {
	defer func(before map[string]RoleSpec) { roleSpecs = before }(roleSpecs)
	roleSpecs = map[string]RoleSpec{}
	Register(RoleSpec{Name: "b", Description: "second"})
	Register(RoleSpec{Name: "a"})
	if roles := Roles(); len(roles) != 2 || roles[0].Name != "a" || roles[1].Name != "b" {
		t.Errorf("roles: %+v", roles)
	}
	if spec, ok := FindRole("b"); !ok || spec.Description != "second" {
		t.Errorf("%+v, %v", spec, ok)
	}
	if _, ok := FindRole("c"); ok {
		t.Error("an unknown role was found")
	}
	defer func() {
		if recover() == nil {
			t.Error("a second role of the same name was registered without a panic")
		}
	}()
	Register(RoleSpec{Name: "a"})
}
