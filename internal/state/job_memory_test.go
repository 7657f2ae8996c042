package state

import (
	"math"
	"testing"

	"tealpond/internal/protocol"
)

// TestEstimatedBytesOfPeriodicJobs checks that the instances of a periodic job count that are due or soon
// will be, as many as fall due within the horizon if the first one is due later, and never more than the
// job has. A job whose instances were all due at one later time was accepted and ended all servers then.
func TestEstimatedBytesOfPeriodicJobs(t *testing.T) {
	const horizonMs = 10 * 60 * 1000
	for _, c := range []struct {
		instances                    int
		firstRunMs, intervalMs, wall int64
		want                         float64
	}{
		{0, 0, 0, 0, 1},
		{10, 1000 + horizonMs, 100, 999, 10},
		{10, 1000, horizonMs + 1, 0, 1},
		{10, 1000, horizonMs, 0, 2},
		{10, 1000, horizonMs, 1000, 2},
		{10, 1000, horizonMs, 1000 + 3*horizonMs, 5},
		{10, 1000, 100, 99_000, 10},
		{10, 1000, 0, 1000, 10},
		{10, 1 << 50, 0, 1000, 10},
		{1 << 30, 1, 1, 1 << 40, 1 << 30},
		{1 << 30, 0, math.MaxInt64, math.MaxInt64, 2},
		{1 << 30, math.MaxInt64, math.MaxInt64, 1000, 1},
		{math.MaxInt64, 0, 1, math.MaxInt64, math.MaxInt64},
	} {
		job := &protocol.Job{PeriodicInstances: c.instances, FirstRunMs: c.firstRunMs, IntervalMs: c.intervalMs, Steps: []protocol.Step{{TaskCount: 2}}}
		if got := (EstimatedBytes(job, c.wall) - jobBytes) / (stepBytes + 2*taskBytes); got != c.want {
			t.Errorf("%+v: %v instances", c, got)
		}
	}
}
