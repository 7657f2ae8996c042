package simulation

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
)

// Troubles of the grown deployments, beside the known ones.

// TestManyJobsWantOneRack: what finds no room at its data's rack goes on
// elsewhere, and work that wants no rack isn't held up.
func TestManyJobsWantOneRack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, ClusterSpec{Servers: 3, Edges: 1, Agents: 6})
		defer c.Shutdown()
		i := 0
		for _, n := range c.nodeNames("side") {
			r := c.Runners[n]
			r.update(func() { r.Labels = []string{"a", []string{"r1", "r2", "r3"}[i/2]} })
			i++
		}
		c.WaitReady()
		from := time.Now()
		for i := range 8 {
			c.SubmitJob(jobID(i), newJob(400, 0, 0, protocol.Step{TaskCount: 10, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 400, PreferredRack: "r2"}))
		}
		c.SubmitJob(jobID(8), newJob(200, 500, 4))
		c.WaitUntil("the one that wants no rack is done", 4*time.Second, func() bool { return c.JobState("edge-4", jobID(8)) == "done" })
		for i := range 8 {
			c.WaitUntil("done", 10*time.Second, func() bool { return c.JobState("edge-4", jobID(i)) == "done" })
		}
		// Why 5 s: alone on their rack, 80 tasks of 0.4 s on 16 cores need 2 s
		// and more; with the others' room, half of it.
		if d := time.Since(from); d > 5*time.Second {
			t.Errorf("took %v", d)
		}
		for _, b := range c.History.Violations() {
			t.Error(b)
		}
	})
}

// TestRunnerRejectsStartsWhileReady: its beats and its health are good, and it turns
// every start away: the work goes elsewhere.
func TestRunnerRejectsStartsWhileReady(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		r := c.Runners["side-2"]
		r.update(func() { r.RejectsStarts = true })
		time.Sleep(5 * time.Second)
		r.update(func() { r.RejectsStarts = false })
	}, nil)
}

// TestFlappingRunnerIsUsedLess: a runner that goes down and up by turns gets less and less
// work while it does, and is used again later.
func TestFlappingRunnerIsUsedLess(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		r := c.Runners["side-2"]
		for range 6 {
			r.update(func() { r.Silent = true })
			time.Sleep(700 * time.Millisecond)
			r.update(func() { r.Silent = false })
			r.Crash()
			time.Sleep(700 * time.Millisecond)
		}
	}, func(c *Cluster) {
		r := c.Runners["side-2"]
		r.update(func() { r.started = 0 })
		time.Sleep(4 * time.Second)
		c.SubmitJob(jobID(100), newJob(300, 1000, 20))
		c.WaitUntil("done", 10*time.Second, func() bool { return c.JobState("edge-4", jobID(100)) == "done" })
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.started == 0 {
			t.Error("it is not used again")
		}
	})
}

// TestSlowLeaderHandsOver: its frames come late both ways; within seconds
// another leads, and no rule breaks meanwhile.
func TestSlowLeaderHandsOver(t *testing.T) {
	runWithFault(t, fiveServers, func(c *Cluster) {
		l := c.Leader()
		c.Network.SetDelay(c.NodeIP(l), 900*time.Millisecond)
		c.WaitUntil("another leads", 15*time.Second, func() bool { n := c.Leader(); return n != "" && n != l })
		c.Network.SetDelay(c.NodeIP(l), 0)
	}, nil)
}

// TestSlowAgentKeepsItsLeases: all that it says and hears comes a second
// late; its runner obeys the holds that it was given.
func TestSlowAgentKeepsItsLeases(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		c.Network.SetDelay(c.NodeIP("side-1"), 500*time.Millisecond)
		time.Sleep(6 * time.Second)
		c.Network.SetDelay(c.NodeIP("side-1"), 0)
	}, nil)
}
