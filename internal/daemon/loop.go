package daemon

import (
	"context"
	"time"
)

// idleWait is how long a loop waits for an event if afterBatch returns no wait.
const idleWait = time.Hour

// Loop is the event loop of a role. It passes an event and all further queued events to
// handle as one batch. It calls afterBatch at the start, after each batch, so that a batch
// of events shares one write, and when the wait that afterBatch returned has passed. A wait
// of 0 or less means idleWait. Both functions run in the goroutine of Loop, which returns
// when ctx ends or events is closed.
func Loop[T any](ctx context.Context, events <-chan T, handle func(T), afterBatch func(now time.Time) time.Duration) {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		wait := afterBatch(time.Now())
		if wait <= 0 {
			wait = idleWait
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case event, ok := <-events:
			if !ok {
				return
			}
			handle(event)
			if !drain(events, handle) {
				return
			}
		case <-timer.C:
		}
	}
}

// drain passes all queued events to handle. It returns false if events is closed.
func drain[T any](events <-chan T, handle func(T)) bool {
	for {
		select {
		case event, ok := <-events:
			if !ok {
				return false
			}
			handle(event)
		default:
			return true
		}
	}
}

// Pause waits for the given duration or until ctx ends.
func Pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
