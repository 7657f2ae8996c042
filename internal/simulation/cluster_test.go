package simulation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
)

func newJob(ms, cpu, n int, steps ...protocol.Step) protocol.Job {
	j := protocol.Job{Spec: fmt.Sprintf("ms=%d cpu=%d", ms, cpu), Steps: steps}
	if len(steps) == 0 {
		j.Steps = []protocol.Step{{TaskCount: n, CPUUnits: int64(cpu), MemoryMB: 10, EstimateMs: int64(ms)}}
	}
	return j
}

func jobID(i int) string { return fmt.Sprintf("%016x", i+1) }

// runWithFault plays jobs through a cluster with one fault in the middle and holds the
// rules against all that the stand-ins saw.
func runWithFault(t *testing.T, spec ClusterSpec, fault func(c *Cluster), after func(c *Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, spec)
		defer c.Shutdown()
		c.WaitReady()
		done := make(chan struct{})
		const jobs = 24
		go func() {
			defer close(done)
			for i := range jobs {
				steps := []protocol.Step{{TaskCount: 3, CPUUnits: 500, MemoryMB: 10, EstimateMs: 300}, {TaskCount: 2, CPUUnits: 500, MemoryMB: 10, EstimateMs: 300, DependsOn: []int{0}}}
				j := newJob(300, 500, 0, steps...)
				if i%5 == 4 {
					j.Spec += " fail=1"
				}
				c.SubmitJob(jobID(i), j)
				time.Sleep(200 * time.Millisecond)
			}
		}()
		time.Sleep(2 * time.Second)
		fault(c)
		<-done
		if after != nil {
			after(c)
		}
		at := c.nodeNames("edge")[len(c.nodeNames("edge"))-1]
		for i := range jobs {
			c.WaitUntil("job "+jobID(i)+" is over", 60*time.Second, func() bool {
				st := c.JobState(at, jobID(i))
				return st == "done" || st == "called_off" || st == "failed"
			})
			if st := c.JobState(at, jobID(i)); st == "failed" {
				t.Errorf("%s failed without a cause", jobID(i))
			}
		}
		for _, violation := range c.History.Violations() {
			t.Error(violation)
		}
	})
}

var threeServers = ClusterSpec{Servers: 3, Edges: 1, Agents: 3}

func TestNoFault(t *testing.T) { runWithFault(t, threeServers, func(*Cluster) {}, nil) }

func TestLeaderKilled(t *testing.T) {
	var l string
	runWithFault(t, threeServers, func(c *Cluster) { l = c.Leader(); c.Kill(l) }, func(c *Cluster) { c.Start(l, 1) })
}

func TestLeaderTerminated(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) { l := c.Leader(); c.Terminate(l); c.Start(l, 1) }, nil)
}

func TestLeaderLosesItsDisk(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		l := c.Leader()
		c.Kill(l)
		c.WipeDisk(l)
		time.Sleep(time.Second)
		c.Start(l, 1)
		time.Sleep(4 * time.Second)
		// Why another: the wiped one must count again by now.
		o := c.Leader()
		c.Kill(o)
		time.Sleep(2 * time.Second)
		c.Start(o, 1)
	}, nil)
}

func TestAllKilled(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		for _, n := range c.nodeNames("") {
			c.Kill(n)
		}
		time.Sleep(time.Second)
		for _, n := range c.nodeNames("") {
			c.Start(n, 1)
		}
	}, nil)
}

// TestAllRestartedWithDisklessSeeds is the fault of the first score: after all were started
// anew, seeds without a disk knew nobody.
func TestAllRestartedWithDisklessSeeds(t *testing.T) {
	runWithFault(t, ClusterSpec{Servers: 3, Edges: 3, Agents: 2}, func(c *Cluster) {
		c.seeds = []string{c.hostIP(4) + ":8166", c.hostIP(5) + ":8166", c.hostIP(6) + ":8166"}
		for _, n := range c.nodeNames("") {
			c.Kill(n)
		}
		for _, n := range c.nodeNames("") {
			c.Start(n, 1)
		}
	}, nil)
}

func TestLeaderPartitionedFromServers(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		l := c.Leader()
		var rest []string
		for _, n := range c.nodeNames("edge")[:3] {
			if n != l {
				rest = append(rest, n)
			}
		}
		c.SetPartition(l, true, rest...)
		time.Sleep(5 * time.Second)
		c.SetPartition(l, false, rest...)
	}, nil)
}

func TestLeaderHearsNobody(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		l := c.Leader()
		for _, n := range c.nodeNames("") {
			c.Network.Block(c.NodeIP(n), c.NodeIP(l))
		}
		time.Sleep(4 * time.Second)
		for _, n := range c.nodeNames("") {
			c.Network.Unblock(c.NodeIP(n), c.NodeIP(l))
		}
	}, nil)
}

func TestAgentPartitionedAndBack(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		c.SetPartition("side-1", true, c.nodeNames("edge")...)
		time.Sleep(9 * time.Second)
		c.SetPartition("side-1", false, c.nodeNames("edge")...)
	}, nil)
}

func TestRunnerCrashes(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) { c.Runners["side-2"].Crash() }, nil)
}

func TestRunnerSilentAndBack(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		r := c.Runners["side-2"]
		r.update(func() { r.Silent = true })
		time.Sleep(4 * time.Second)
		r.update(func() { r.Silent = false })
	}, nil)
}

func TestStalledTasksAreRestarted(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		r := c.Runners["side-1"]
		r.update(func() { r.Stalled = true })
		time.Sleep(5 * time.Second)
		r.update(func() { r.Stalled = false })
	}, nil)
}

func TestRunnerRequestsCarriedOutLate(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		for _, r := range c.Runners {
			r.update(func() { r.LateFraction = 0.3 })
		}
		time.Sleep(6 * time.Second)
		for _, r := range c.Runners {
			r.update(func() { r.LateFraction = 0 })
		}
	}, nil)
}

func TestAgentKilled(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		for range 3 {
			c.Kill("side-1")
			time.Sleep(500 * time.Millisecond)
			c.Start("side-1", 1)
			time.Sleep(time.Second)
		}
	}, nil)
}

func TestWorkerDrains(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		r := c.Runners["side-3"]
		r.update(func() { r.Draining = true })
	}, nil)
}

func TestJobsCancelledMidRun(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		for i := range 4 {
			c.CancelJob("edge-1", jobID(i+4))
		}
	}, nil)
}

func TestConfigurationSurvivesAndRaces(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		a, b := c.PutConfiguration("edge-1", 5, 1, ""), c.PutConfiguration("edge-2", 6, 1, "")
		if a != 200 || b != 412 {
			t.Errorf("two changes on one version: %d and %d", a, b)
		}
		if again := c.PutConfiguration("edge-3", 5, 1, ""); again != 200 {
			t.Errorf("the same one again: %d", again)
		}
		l := c.Leader()
		c.Kill(l)
		c.WipeDisk(l)
		c.Start(l, 1)
		c.WaitUntil("read back", 10*time.Second, func() bool {
			code, raw, _ := c.request("GET", "http://"+c.NodeIP("edge-4")+":8166/-/Config.Read", "", "", nil)
			return code == 200 && string(raw) == fmt.Sprintf(configurationFormat, 5, "")
		})
	}, nil)
}

// TestSilentRunnersTasksAreFreedSoon is the fault of qurum-play scale-1, seed 12:
// looks at a silent runner kept prolonging what it might hold.
func TestSilentRunnersTasksAreFreedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, threeServers)
		defer c.Shutdown()
		c.WaitReady()
		c.SubmitJob(jobID(0), newJob(800, 500, 6))
		time.Sleep(300 * time.Millisecond)
		for _, r := range c.Runners {
			r.mu.Lock()
			r.advance()
			if len(r.runs) > 0 {
				r.Silent = true
			}
			r.mu.Unlock()
		}
		from := time.Now()
		c.WaitUntil("done elsewhere", 30*time.Second, func() bool { return c.JobState("edge-4", jobID(0)) == "done" })
		if d := time.Since(from); d > 5*time.Second {
			t.Errorf("took %v", d)
		}
		for _, b := range c.History.Violations() {
			t.Error(b)
		}
	})
}

// TestLongRunLeavesWithItsWorker: a run that can't end before its worker
// leaves is stopped in time and goes on elsewhere.
func TestLongRunLeavesWithItsWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, threeServers)
		defer c.Shutdown()
		c.WaitReady()
		c.SubmitJob(jobID(0), newJob(7000, 500, 1))
		time.Sleep(500 * time.Millisecond)
		var left *Runner
		for _, r := range c.Runners {
			r.mu.Lock()
			if len(r.runs) > 0 {
				r.Draining, left = true, r
			}
			r.mu.Unlock()
		}
		time.Sleep(5500 * time.Millisecond)
		left.mu.Lock()
		left.advance()
		if len(left.runs) > 0 {
			t.Error("it still runs on a worker that has left")
		}
		left.mu.Unlock()
		c.WaitUntil("done", 20*time.Second, func() bool { return c.JobState("edge-4", jobID(0)) == "done" })
		for _, b := range c.History.Violations() {
			t.Error(b)
		}
	})
}
