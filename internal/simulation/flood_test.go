package simulation

import (
	"slices"
	"sync"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// floodProfile describes a flood of jobs from the bound tenant: its duration and the
// interval between submissions. The limit of the tenant admits one job every third of a
// second.
type floodProfile struct {
	name               string
	duration, interval time.Duration
}

var floodProfiles = []floodProfile{
	{"short and strong", 4 * time.Second, 15 * time.Millisecond},
	{"long", 15 * time.Second, 50 * time.Millisecond},
	{"long and weak", 15 * time.Second, 150 * time.Millisecond},
}

// floodDrainBound is how long after the end of a flood its accepted jobs may still run.
const floodDrainBound = 3 * time.Second

// TestFloodOfOneTenant: while one tenant submits many times its limit, no job of other
// tenants is refused, and their median latency stays close to the one without the
// flood. The accepted jobs of the flood are done within seconds after it ends; the
// others are refused.
func TestFloodOfOneTenant(t *testing.T) {
	for _, profile := range floodProfiles {
		t.Run(profile.name, func(t *testing.T) {
			withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
				baseline := c.measureJobLatencies(700000, 5*time.Second)
				var accepted []string
				var flood sync.WaitGroup
				flood.Go(func() { accepted = c.submitFlood(profile) })
				duringFlood := c.measureJobLatencies(710000, profile.duration)
				flood.Wait()
				if limit := median(baseline)*3/2 + 100*time.Millisecond; median(duringFlood) > limit {
					t.Errorf("median latency of the other tenant's jobs: %v during the flood, %v without it", median(duringFlood), median(baseline))
				}
				submitted := int(profile.duration / profile.interval)
				if len(accepted) == 0 || len(accepted) >= submitted {
					t.Errorf("%d of %d jobs of the flood were accepted", len(accepted), submitted)
				}
				time.Sleep(floodDrainBound)
				for _, id := range accepted {
					if state := c.JobState(disklessEdge, id); state != jobDone {
						t.Errorf("%v after the flood, job %s is %s, want done", floodDrainBound, id, state)
					}
				}
				c.requireNoViolations()
			})
		})
	}
}

// measureJobLatencies submits small jobs of the other tenant at a constant rate and
// returns how long each of them took.
func (c *Cluster) measureJobLatencies(firstID int, duration time.Duration) []time.Duration {
	const jobInterval, pollInterval = 100 * time.Millisecond, 20 * time.Millisecond
	took := make([]time.Duration, int(duration/jobInterval))
	var jobs sync.WaitGroup
	for i := range took {
		jobs.Go(func() {
			id := jobID(firstID + 8*i) // its last digit is 1 or 9
			submittedAt := time.Now()
			if !c.SubmitJob(id, newJob(200, 300, 2)) {
				c.T.Errorf("job %s of the other tenant was refused", id)
				return
			}
			for c.JobState(disklessEdge, id) != jobDone {
				time.Sleep(pollInterval)
			}
			took[i] = time.Since(submittedAt)
		})
		time.Sleep(jobInterval)
	}
	jobs.Wait()
	return took
}

// submitFlood submits jobs of the bound tenant and returns the IDs of the accepted
// ones.
func (c *Cluster) submitFlood(profile floodProfile) []string {
	var mu sync.Mutex
	var accepted []string
	var calls sync.WaitGroup
	for i := range int(profile.duration / profile.interval) {
		calls.Go(func() {
			id := jobID(800000 + 8*i + 6) // its last digit is 7 or f
			if c.SubmitJob(id, newJobOf(500, 1000, protocol.Step{TaskCount: 4, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 500})) {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
		time.Sleep(profile.interval)
	}
	calls.Wait()
	return accepted
}

// median returns the upper median of durations.
func median(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}
