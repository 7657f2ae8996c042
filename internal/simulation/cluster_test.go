package simulation

import (
	"net/http"
	"testing"
	"time"
)

func TestNoFault(t *testing.T) { runWithFault(t, threeServers, func(*Cluster) {}, nil) }

func TestLeaderKilled(t *testing.T) {
	var leader string
	runWithFault(t, threeServers, func(c *Cluster) { leader = c.Leader(); c.Kill(leader) }, func(c *Cluster) { c.Start(leader) })
}

func TestLeaderTerminated(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) { leader := c.Leader(); c.Terminate(leader); c.Start(leader) }, nil)
}

func TestLeaderLosesItsDisk(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		c.restartWiped(time.Second, c.Leader())
		time.Sleep(4 * time.Second)
		// By now the wiped server must vote again, so that another server may be lost.
		c.Restart(2*time.Second, c.Leader())
	}, nil)
}

func TestAllNodesKilled(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) { c.Restart(time.Second, c.nodeNames("")...) }, nil)
}

// TestAllRestartedWithDisklessSeeds restarts all nodes with seed nodes that have no disk, and so
// know no other node at first.
func TestAllRestartedWithDisklessSeeds(t *testing.T) {
	runWithFault(t, ClusterSpec{Servers: 3, Edges: 3, Agents: 2}, func(c *Cluster) {
		c.seeds = []string{address(c.hostIP(4), controlPort), address(c.hostIP(5), controlPort), address(c.hostIP(6), controlPort)}
		c.Restart(0, c.nodeNames("")...)
	}, nil)
}

func TestLeaderPartitionedFromServers(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		leader := c.Leader()
		c.partitionFor(5*time.Second, leader, without(c.Servers(), leader)...)
	}, nil)
}

func TestLeaderInboundBlocked(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		leader := c.Leader()
		for _, name := range c.nodeNames("") {
			c.Network.Block(c.NodeIP(name), c.NodeIP(leader))
		}
		time.Sleep(4 * time.Second)
		for _, name := range c.nodeNames("") {
			c.Network.Unblock(c.NodeIP(name), c.NodeIP(leader))
		}
	}, nil)
}

func TestAgentPartitionedAndBack(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		c.partitionFor(9*time.Second, "side-1", c.nodeNames(edgeRole)...)
	}, nil)
}

func TestRunnerCrashes(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) { c.Runners["side-2"].Crash() }, nil)
}

func TestRunnerSilentAndBack(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		c.changeRunners(4*time.Second, func(r *Runner, on bool) { r.Unresponsive = on }, "side-2")
	}, nil)
}

func TestStalledTasksAreRestarted(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		c.changeRunners(5*time.Second, func(r *Runner, on bool) { r.Stalled = on }, "side-1")
	}, nil)
}

func TestRunnerAppliesRequestsLate(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		c.changeRunners(6*time.Second, applyRequestsLate(0.3))
	}, nil)
}

func TestAgentKilled(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		for range 3 {
			c.Restart(500*time.Millisecond, "side-1")
			time.Sleep(time.Second)
		}
	}, nil)
}

func TestWorkerDrains(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		runner := c.Runners["side-3"]
		runner.update(func() { runner.Draining = true })
	}, nil)
}

func TestJobsCanceledMidRun(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		for i := range 4 {
			c.CancelJob("edge-1", jobID(i+4))
		}
	}, nil)
}

func TestConcurrentConfigurationChangesAndDiskLoss(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		a, b := c.PutConfiguration("edge-1", 5, 1, ""), c.PutConfiguration("edge-2", 6, 1, "")
		if a != http.StatusOK || b != http.StatusPreconditionFailed {
			t.Errorf("two changes of one version get %d and %d, want 200 and 412", a, b)
		}
		if again := c.PutConfiguration("edge-3", 5, 1, ""); again != http.StatusOK {
			t.Errorf("the acknowledged change sent again gets %d, want 200", again)
		}
		c.restartWiped(0, c.Leader())
		c.WaitUntil("the acknowledged configuration is read back", 10*time.Second, func() bool {
			code, raw, _ := c.request(http.MethodGet, c.nodeURL(disklessEdge, controlPort, "/-/Config.Read"), "", "", nil)
			return code == http.StatusOK && string(raw) == configurationText(5, "")
		})
	}, nil)
}

// TestTasksOfASilentRunnerAreRescheduled checks that polls of a runner that does not respond
// don't extend the lease that it may still have.
func TestTasksOfASilentRunnerAreRescheduled(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		c.SubmitJob(jobID(0), newJob(800, 500, 6))
		time.Sleep(300 * time.Millisecond)
		for _, runner := range c.Runners {
			if runner.RunningCount() > 0 {
				runner.update(func() { runner.Unresponsive = true })
			}
		}
		from := time.Now()
		c.waitJobDone(jobID(0), 30*time.Second)
		if d := time.Since(from); d > 5*time.Second {
			t.Errorf("the job took %v, want at most 5s", d)
		}
		c.requireNoViolations()
	})
}

// TestLongRunIsMovedOffADrainingWorker checks that a run that can't end before its worker
// leaves is stopped in time and continues on another worker.
func TestLongRunIsMovedOffADrainingWorker(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		c.SubmitJob(jobID(0), newJob(7000, 500, 1))
		time.Sleep(500 * time.Millisecond)
		var left *Runner
		for _, runner := range c.Runners {
			if runner.RunningCount() > 0 {
				runner.update(func() { runner.Draining, left = true, runner })
			}
		}
		time.Sleep(5500 * time.Millisecond)
		if left.RunningCount() > 0 {
			t.Error("the task still runs on a worker that has left")
		}
		c.waitJobDone(jobID(0), 20*time.Second)
		c.requireNoViolations()
	})
}
