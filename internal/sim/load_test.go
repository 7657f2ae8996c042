package sim

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
	loadCore = flag.Int("load.core", 3, "core daemons")
	loadEdge = flag.Int("load.edge", 1, "edge daemons without a disk")
	loadSide = flag.Int("load.side", 4, "workers, each with its side daemon")
	loadZone = flag.Int("load.zones", 1, "zones")
	loadRate = flag.Float64("load.jobs", 3, "jobs a second")
	loadWide = flag.Int("load.tasks", 22, "tasks of a job's first step, at the mean")
	loadFor  = flag.Duration("load.for", 4*time.Second, "how long jobs are handed in")
)

// TestLoad plays an open load of short jobs through a whole cluster: each is
// accepted, each ends as done, and no rule is broken.
func TestLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Build(t, Shape{Core: *loadCore, Edge: *loadEdge, Side: *loadSide, Zones: *loadZone})
		defer c.End()
		c.Ready()
		rnd := rand.New(rand.NewSource(1))
		edges := c.names("edge")
		over := make(chan bool, 100000)
		n := 0
		for from := time.Now(); time.Since(from) < *loadFor; n++ {
			i, w := n, 1+rnd.Intn(2**loadWide)
			go func() {
				born := time.Now()
				ok := c.HandIn(id(i), job(240, 1600, 0, protocol.Step{TaskCount: w, CPUUnits: 1600, MemoryMB: 10, EstimateMs: 240}))
				for ok && time.Since(born) < time.Minute {
					time.Sleep(100 * time.Millisecond)
					if c.State(edges[i%len(edges)], id(i)) == "done" {
						over <- true
						return
					}
				}
				over <- false
			}()
			time.Sleep(time.Duration(rnd.ExpFloat64() / *loadRate * float64(time.Second)))
		}
		for i := range n {
			if !<-over {
				t.Errorf("job %d of %d did not end as done", i, n)
			}
		}
		for _, b := range c.Hist.Broken() {
			t.Error(b)
		}
		t.Logf("%d jobs, %d facts", n, len(c.Hist.Facts))
	})
}
