package simulation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
)

// TestManyJobsPreferOneRack: tasks that find no capacity on their preferred rack run on
// other racks, and jobs without a preferred rack are not delayed.
func TestManyJobsPreferOneRack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, ClusterSpec{Servers: 3, Edges: 1, Agents: 6})
		defer c.Shutdown()
		for i, name := range c.nodeNames(agentRole) {
			runner := c.Runners[name]
			runner.update(func() { runner.Labels = []string{"a", fmt.Sprint("r", 1+i/2)} })
		}
		c.WaitReady()
		from := time.Now()
		for i := range 8 {
			c.SubmitJob(jobID(i), newJobOf(400, 0, protocol.Step{TaskCount: 10, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 400, PreferredRack: "r2"}))
		}
		c.SubmitJob(jobID(8), newJob(200, 500, 4))
		c.waitJobDone(jobID(8), 4*time.Second)
		for i := range 8 {
			c.waitJobDone(jobID(i), 10*time.Second)
		}
		// On the preferred rack alone, 80 tasks of 0.4 s on 16 cores need at least 2 s; with
		// the other racks, half of that.
		if took := time.Since(from); took > 5*time.Second {
			t.Errorf("jobs took %v, want at most 5 s", took)
		}
		c.requireNoViolations()
	})
}

// TestRunnerRejectsStartsWhileReady: a runner whose heartbeats and health are good
// rejects every start. Its tasks run on other runners.
func TestRunnerRejectsStartsWhileReady(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		c.changeRunners(5*time.Second, func(r *Runner, on bool) { r.RejectsStarts = on }, "side-2")
	}, nil)
}

// TestFlappingRunnerIsUsedLess: a runner that repeatedly crashes and restarts gets less
// and less work, and is used again once it is stable.
func TestFlappingRunnerIsUsedLess(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		runner := c.Runners["side-2"]
		for range 6 {
			c.changeRunners(700*time.Millisecond, func(r *Runner, on bool) { r.Unresponsive = on }, "side-2")
			runner.Crash()
			time.Sleep(700 * time.Millisecond)
		}
	}, func(c *Cluster) {
		runner := c.Runners["side-2"]
		runner.ResetStartedRuns()
		time.Sleep(4 * time.Second)
		c.SubmitJob(jobID(100), newJob(300, 1000, 20))
		c.waitJobDone(jobID(100), 10*time.Second)
		if runner.StartedRuns() == 0 {
			t.Error("no task ran on the runner after it recovered")
		}
	})
}

// TestSlowLeaderHandsOver: messages to and from the leader are delayed. Another leader
// is elected within seconds, and no invariant is violated meanwhile.
func TestSlowLeaderHandsOver(t *testing.T) {
	runWithFault(t, fiveServers, func(c *Cluster) {
		leader := c.Leader()
		c.Network.SetDelay(c.NodeIP(leader), 900*time.Millisecond)
		c.WaitUntil("another server is the leader", 15*time.Second, func() bool { name := c.Leader(); return name != "" && name != leader })
		c.Network.SetDelay(c.NodeIP(leader), 0)
	}, nil)
}

// TestSlowAgentKeepsItsLeases: messages to and from an agent are delayed by half a
// second. Its runner obeys the leases that it was granted.
func TestSlowAgentKeepsItsLeases(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		c.Network.SetDelay(c.NodeIP("side-1"), 500*time.Millisecond)
		time.Sleep(6 * time.Second)
		c.Network.SetDelay(c.NodeIP("side-1"), 0)
	}, nil)
}
