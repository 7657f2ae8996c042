package simulation

import (
	"flag"
	"math/rand"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// The size of the cluster and the load of TestLoad. Larger values are for profiling:
//
//	go test ./internal/simulation -run TestLoad -load.side 62 -load.core 8 -load.edge 8 -load.jobs 28 -cpuprofile cpu.out
//	go tool pprof -tagfocus leader cpu.out
var (
	loadServers  = flag.Int("load.core", 3, "servers")
	loadEdges    = flag.Int("load.edge", 1, "diskless edges")
	loadAgents   = flag.Int("load.side", 4, "workers, each with an agent")
	loadZones    = flag.Int("load.zones", 1, "zones")
	loadJobRate  = flag.Float64("load.jobs", 3, "jobs submitted a second")
	loadTasks    = flag.Int("load.tasks", 22, "mean number of tasks in the first step of a job")
	loadDuration = flag.Duration("load.for", 4*time.Second, "how long jobs are submitted")
)

// TestLoad runs an open-loop load of short jobs through a whole cluster. Every job is
// accepted and done, and no invariant is violated.
func TestLoad(t *testing.T) {
	withCluster(t, ClusterSpec{Servers: *loadServers, Edges: *loadEdges, Agents: *loadAgents, Zones: *loadZones}, func(t *testing.T, c *Cluster) {
		random := rand.New(rand.NewSource(1))
		edges := c.nodeNames(edgeRole)
		done := make(chan bool, 100000)
		n := 0
		for from := time.Now(); time.Since(from) < *loadDuration; n++ {
			i, tasks := n, 1+random.Intn(2**loadTasks)
			go func() {
				submittedAt := time.Now()
				accepted := c.SubmitJob(jobID(i), newJobOf(240, 1600, protocol.Step{TaskCount: tasks, CPUUnits: 1600, MemoryMB: 10, EstimateMs: 240}))
				for accepted && time.Since(submittedAt) < time.Minute {
					time.Sleep(100 * time.Millisecond)
					if c.JobState(edges[i%len(edges)], jobID(i)) == jobDone {
						done <- true
						return
					}
				}
				done <- false
			}()
			time.Sleep(time.Duration(random.ExpFloat64() / *loadJobRate * float64(time.Second)))
		}
		for i := range n {
			if !<-done {
				t.Errorf("job result %d of %d: not done", i, n)
			}
		}
		c.requireNoViolations()
		c.History.mu.Lock() // agents are still polling
		defer c.History.mu.Unlock()
		t.Logf("%d jobs, %d events", n, len(c.History.Events))
	})
}
