package simulation

import (
	"flag"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
)

// The size of the fleet that TestLoad plays; larger ones are for profiles:
//
//	go test ./internal/sim -run TestLoad -load.side 62 -load.core 8 -load.edge 8 -load.jobs 28 -cpuprofile cpu.out
//	go tool pprof -tagfocus leader cpu.out
var (
	loadServers  = flag.Int("load.core", 3, "core daemons")
	loadEdges    = flag.Int("load.edge", 1, "edge daemons without a disk")
	loadAgents   = flag.Int("load.side", 4, "workers, each with its side daemon")
	loadZones    = flag.Int("load.zones", 1, "zones")
	loadJobRate  = flag.Float64("load.jobs", 3, "jobs a second")
	loadTasks    = flag.Int("load.tasks", 22, "tasks of a job's first step, at the mean")
	loadDuration = flag.Duration("load.for", 4*time.Second, "how long jobs are handed in")
)

// TestLoad plays an open load of short jobs through a whole cluster: each is
// accepted, each ends as done, and no rule is broken.
func TestLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, ClusterSpec{Servers: *loadServers, Edges: *loadEdges, Agents: *loadAgents, Zones: *loadZones})
		defer c.Shutdown()
		c.WaitReady()
		rnd := rand.New(rand.NewSource(1))
		edges := c.nodeNames("edge")
		over := make(chan bool, 100000)
		n := 0
		for from := time.Now(); time.Since(from) < *loadDuration; n++ {
			i, w := n, 1+rnd.Intn(2**loadTasks)
			go func() {
				born := time.Now()
				ok := c.SubmitJob(jobID(i), newJob(240, 1600, 0, protocol.Step{TaskCount: w, CPUUnits: 1600, MemoryMB: 10, EstimateMs: 240}))
				for ok && time.Since(born) < time.Minute {
					time.Sleep(100 * time.Millisecond)
					if c.JobState(edges[i%len(edges)], jobID(i)) == "done" {
						over <- true
						return
					}
				}
				over <- false
			}()
			time.Sleep(time.Duration(rnd.ExpFloat64() / *loadJobRate * float64(time.Second)))
		}
		for i := range n {
			if !<-over {
				t.Errorf("job %d of %d did not end as done", i, n)
			}
		}
		for _, b := range c.History.Violations() {
			t.Error(b)
		}
		t.Logf("%d jobs, %d facts", n, len(c.History.Events))
	})
}
