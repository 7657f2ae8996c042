package daemon

import (
	"context"
	"time"
)

// idleWait is how long a loop waits that has nothing to do.
const idleWait = time.Hour

// Loop is the event loop of a role. It hands an event to handle, then all that wait
// behind it, then calls afterBatch once, so that many events share a write. What
// afterBatch returns is the longest wait for the next event; 0 for any. Both run in
// the goroutine of Loop, which returns when ctx ends or events is closed.
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

// drain hands all waiting events to handle; false if events is closed.
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

// Pause waits for a time, or until ctx ends.
func Pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
