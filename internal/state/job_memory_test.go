package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestEstimatedBytesOfPeriodicJobs checks that the runs of a periodic job count that are due, all of
// them if they are due at one time, and never more than the job has.
func TestEstimatedBytesOfPeriodicJobs(t *testing.T) {
	for _, c := range []struct {
		instances                   int
		firstRunMs, intervalMs, due int64
		want                        float64
	}{
		{0, 0, 0, 0, 1},
		{10, 1000, 100, 999, 0},
		{10, 1000, 100, 1000, 1},
		{10, 1000, 100, 1300, 4},
		{10, 1000, 100, 99_000, 10},
		{10, 1000, 0, 1000, 10},
		{1 << 30, 1, 1, 1 << 40, 1 << 30},
	} {
		job := &protocol.Job{PeriodicInstances: c.instances, FirstRunMs: c.firstRunMs, IntervalMs: c.intervalMs, Steps: []protocol.Step{{TaskCount: 2}}}
		if got := (EstimatedBytes(job, c.due) - jobBytes) / (stepBytes + 2*taskBytes); got != c.want {
			t.Errorf("%+v: %v instances", c, got)
		}
	}
}
