package simulation

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestServerRestartsWithAllSeedsGone restarts a server after all of its seed nodes were
// permanently lost. Its log contains the members, so it finds the leader and serves requests.
func TestServerRestartsWithAllSeedsGone(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		c.SubmitJob(jobID(0), newJob(300, 500, 2))
		name := c.nodesExcept(edgeRole, c.Leader(), disklessEdge)[0]
		c.seeds = nil
		for i := range 3 {
			c.seeds = append(c.seeds, address(c.hostIP(240+i), controlPort))
		}
		c.Kill(name)
		time.Sleep(time.Second)
		c.Start(name)
		c.WaitUntil("the restarted server reports the job's state", 5*time.Second, func() bool { return c.JobState(name, jobID(0)) == jobDone })
		leader := c.Leader()
		c.Kill(leader)
		c.WaitUntil("the restarted server reports the job's state under the next leader", 6*time.Second, func() bool { return c.JobState(name, jobID(0)) == jobDone })
		c.Start(leader)
	})
}

// TestServerKilledDuringFirstStart kills and restarts a server while the cluster is formed. One
// of the servers is the seed node that collects the candidates.
func TestServerKilledDuringFirstStart(t *testing.T) {
	for _, name := range []string{"edge-1", "edge-2"} {
		for at := 300 * time.Millisecond; at <= 2100*time.Millisecond; at += 300 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				c := NewCluster(t, threeServers)
				defer c.Shutdown()
				time.Sleep(at)
				c.Kill(name)
				time.Sleep(700 * time.Millisecond)
				c.Start(name)
				c.WaitUntil(fmt.Sprintf("the first configuration is accepted; %s was killed at %v", name, at), 20*time.Second, func() bool { return c.PutConfiguration(disklessEdge, 1, 0, "") == http.StatusOK })
				c.WaitUntil("all servers follow one leader", 5*time.Second, func() bool {
					leader := c.Leader()
					return leader != "" && c.leaderKnownTo("edge-1") == leader && c.leaderKnownTo("edge-2") == leader && c.leaderKnownTo("edge-3") == leader
				})
			})
		}
	}
}

// TestAllServersKilledDuringFirstStart kills all servers, including the seed nodes, before any of
// them is bound to a set of voters. When they restart it is not their first start. They must
// still form the first cluster, and only one.
func TestAllServersKilledDuringFirstStart(t *testing.T) {
	for _, at := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			c := NewCluster(t, threeServers)
			defer c.Shutdown()
			time.Sleep(at)
			c.Restart(500*time.Millisecond, c.nodeNames(edgeRole)...)
			c.WaitUntil(fmt.Sprintf("the first configuration is accepted; all were killed at %v", at), 40*time.Second, func() bool { return c.PutConfiguration(disklessEdge, 1, 0, "") == http.StatusOK })
			c.WaitUntil("all servers follow one leader", 5*time.Second, func() bool {
				leader := c.Leader()
				return leader != "" && c.leaderKnownTo("edge-1") == leader && c.leaderKnownTo("edge-2") == leader && c.leaderKnownTo("edge-3") == leader
			})
		})
	}
}
