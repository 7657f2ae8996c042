package daemon

import (
	"context"
	"time"
)

// Loop is the one select loop: it hands each input to take, then all that
// wait behind it, then calls rest once, which returns when it wants to be
// woken at the latest (0: only by an input).
func Loop[T any](ctx context.Context, events <-chan T, handle func(T), afterBatch func(now time.Time) time.Duration) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := afterBatch(time.Now())
		if wait <= 0 {
			wait = time.Hour
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
			// Why drained: one rest for many inputs lets them share a write.
			for more := true; more; {
				select {
				case event, ok := <-events:
					if !ok {
						return
					}
					handle(event)
				default:
					more = false
				}
			}
		case <-timer.C:
		}
	}
}
