package simulation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestServerWithoutLiveSeeds: a core daemon is started anew when all of its
// seeds are gone for good. Its log names the members, so it finds the leader and
// serves.
func TestServerWithoutLiveSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, threeServers)
		defer c.Shutdown()
		c.WaitReady()
		c.SubmitJob(jobID(0), newJob(300, 500, 2))
		n := c.nodesExcept("edge", c.Leader(), "edge-4")[0]
		c.seeds = nil
		for i := range 3 {
			c.seeds = append(c.seeds, fmt.Sprintf("%s:8166", c.hostIP(240+i)))
		}
		c.Kill(n)
		time.Sleep(time.Second)
		c.Start(n, 1)
		c.WaitUntil("the job's state is told there", 5*time.Second, func() bool { return c.JobState(n, jobID(0)) == "done" })
		l := c.Leader()
		c.Kill(l)
		c.WaitUntil("and under the next leader", 6*time.Second, func() bool { return c.JobState(n, jobID(0)) == "done" })
		c.Start(l, 1)
	})
}

// TestFirstStartWithALoss: one core daemon, the gathering seed itself among them,
// is ended while the core is being founded, and started again.
func TestFirstStartWithALoss(t *testing.T) {
	for _, n := range []string{"edge-1", "edge-2"} {
		for at := 300 * time.Millisecond; at <= 2100*time.Millisecond; at += 300 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				c := NewCluster(t, threeServers)
				defer c.Shutdown()
				time.Sleep(at)
				c.Kill(n)
				time.Sleep(700 * time.Millisecond)
				c.Start(n, 1)
				c.WaitUntil(fmt.Sprintf("the first configuration is taken; %s was ended at %v", n, at), 20*time.Second, func() bool { return c.PutConfiguration("edge-4", 1, 0, "") == 200 })
				c.WaitUntil("all follow one leader", 5*time.Second, func() bool {
					l := c.Leader()
					return l != "" && leaderKnownTo(c, "edge-1") == l && leaderKnownTo(c, "edge-2") == l && leaderKnownTo(c, "edge-3") == l
				})
			})
		}
	}
}
