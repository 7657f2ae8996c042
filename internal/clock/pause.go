package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// pauseCheckInterval is the interval at which a PauseDetector notices that the process runs.
	pauseCheckInterval = 200 * time.Millisecond
	// minPause is the time without a check from which the process counts as paused. A busy machine delays
	// a check by less.
	minPause = 2 * pauseCheckInterval
	// pauseEffect is how long after a pause the process may still read input that arrived during it.
	pauseEffect = time.Second
)

// PauseDetector notices that the process did not run for some time, for example because it was stopped by
// a signal. Input that is read after a pause may have arrived during it. It is safe for concurrent use.
type PauseDetector struct {
	mu          sync.Mutex // guards the fields below
	lastCheckAt time.Time  // zero: never
	pausedFrom  time.Time  // start of the latest pause
	resumedAt   time.Time  // end of the latest pause
}

// Run checks regularly that the process runs, until ctx ends.
func (d *PauseDetector) Run(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		d.EarliestArrival(time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// EarliestArrival returns the earliest time at which input that is read now may have arrived: now, or the
// start of a pause that has just ended.
func (d *PauseDetector) EarliestArrival(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lastCheckAt.IsZero() && now.Sub(d.lastCheckAt) >= minPause {
		d.pausedFrom, d.resumedAt = d.lastCheckAt, now
	}
	if now.After(d.lastCheckAt) {
		d.lastCheckAt = now
	}
	if !d.resumedAt.IsZero() && now.Sub(d.resumedAt) < pauseEffect {
		return d.pausedFrom
	}
	return now
}
