package simulation

import (
	"slices"
	"sync"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// floodShape is a flood of the bound tenant: how long it lasts, and the time between two
// of its jobs, of which its limit takes one in a third of a second.
type floodShape struct {
	name             string
	lasts, betweenAt time.Duration
}

var floodShapes = []floodShape{
	{"short and strong", 4 * time.Second, 15 * time.Millisecond},
	{"long", 15 * time.Second, 50 * time.Millisecond},
	{"long and weak", 15 * time.Second, 150 * time.Millisecond},
}

// queueEmptyWithin is how long after the end of a flood what was accepted of it may run on.
const queueEmptyWithin = 3 * time.Second

// TestFloodOfOneTenant: while a tenant submits many times what it may run, none of the
// others' jobs is refused, and these take about as long as on a quiet day. What the
// flooding tenant is promised is done within seconds of its end; the rest is refused.
func TestFloodOfOneTenant(t *testing.T) {
	for _, shape := range floodShapes {
		t.Run(shape.name, func(t *testing.T) {
			withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
				calm := c.submitSteadily(700000, 5*time.Second)
				var accepted []string
				var flood sync.WaitGroup
				flood.Go(func() { accepted = c.floodFor(shape) })
				flooded := c.submitSteadily(710000, shape.lasts)
				flood.Wait()
				if limit := median(calm)*3/2 + 100*time.Millisecond; median(flooded) > limit {
					t.Errorf("the others' jobs took %v in the middle, %v on a quiet day", median(flooded), median(calm))
				}
				submitted := int(shape.lasts / shape.betweenAt)
				if len(accepted) == 0 || len(accepted) >= submitted {
					t.Errorf("%d of %d jobs of the flood were accepted", len(accepted), submitted)
				}
				time.Sleep(queueEmptyWithin)
				for _, id := range accepted {
					if shown := c.JobState(disklessEdge, id); shown != jobDone {
						t.Errorf("%v after the flood job %s is %s", queueEmptyWithin, id, shown)
					}
				}
				c.requireNoViolations()
			})
		})
	}
}

// submitSteadily submits small jobs of the other tenant for a while, waits for each, and
// gives how long they took.
func (c *Cluster) submitSteadily(firstID int, lasts time.Duration) []time.Duration {
	const betweenJobs, pollEach = 100 * time.Millisecond, 20 * time.Millisecond
	took := make([]time.Duration, int(lasts/betweenJobs))
	var jobs sync.WaitGroup
	for i := range took {
		jobs.Go(func() {
			id := jobID(firstID + 8*i) // its last digit is 1 or 9
			begunAt := time.Now()
			if !c.SubmitJob(id, newJob(200, 300, 2)) {
				c.T.Errorf("job %s of the other tenant was refused", id)
				return
			}
			for c.JobState(disklessEdge, id) != jobDone {
				time.Sleep(pollEach)
			}
			took[i] = time.Since(begunAt)
		})
		time.Sleep(betweenJobs)
	}
	jobs.Wait()
	return took
}

// floodFor submits jobs of the bound tenant, and gives those that were accepted.
func (c *Cluster) floodFor(shape floodShape) []string {
	var mu sync.Mutex
	var accepted []string
	var calls sync.WaitGroup
	for i := range int(shape.lasts / shape.betweenAt) {
		calls.Go(func() {
			id := jobID(800000 + 8*i + 6) // its last digit is 7 or f
			if c.SubmitJob(id, newJobOf(500, 1000, protocol.Step{TaskCount: 4, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 500})) {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
		time.Sleep(shape.betweenAt)
	}
	calls.Wait()
	return accepted
}

// median is the middle one of some durations.
func median(durations []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}
