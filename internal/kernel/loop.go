package kernel

import (
	"context"
	"time"
)

// Loop is the one select loop: it hands each input to take, then all that
// wait behind it, then calls rest once, which returns when it wants to be
// woken at the latest (0: only by an input).
func Loop[T any](ctx context.Context, in <-chan T, take func(T), rest func(now time.Time) time.Duration) {
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		pause := rest(time.Now())
		if pause <= 0 {
			pause = time.Hour
		}
		wake.Reset(pause)
		select {
		case <-ctx.Done():
			return
		case v, ok := <-in:
			if !ok {
				return
			}
			take(v)
			// Why drained: one rest for many inputs lets them share a write.
			for more := true; more; {
				select {
				case v, ok := <-in:
					if !ok {
						return
					}
					take(v)
				default:
					more = false
				}
			}
		case <-wake.C:
		}
	}
}
