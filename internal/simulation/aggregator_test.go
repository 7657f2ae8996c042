package simulation

import (
	"testing"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// aggregator returns the node appointed as the zone's aggregator, or nothing.
func (c *Cluster) aggregator() string {
	for _, name := range c.nodeNames(edgeRole) {
		response, err := rpc.Call(c.adminContext(), c.nodeAddress(name, daemonPort), rpc.KindClusterState, nil, time.Second)
		var cluster rpc.ClusterState
		if err != nil || transport.Decode(response.Body, &cluster) != nil || !cluster.IsLeader {
			continue
		}
		for _, table := range cluster.Tables {
			if table.Name != "duties" {
				continue
			}
			for _, row := range table.Rows {
				if addr, _ := row[3].(string); addr != "" {
					if appointed := c.nodeAt(addr); appointed != "" {
						return appointed
					}
				}
			}
		}
	}
	return ""
}

// runWithAggregatorFault is runWithFault with a fault of the zone's aggregator. The zone
// must have one again afterwards.
func runWithAggregatorFault(t *testing.T, fault func(c *Cluster, aggregator string)) {
	t.Helper()
	runWithFault(t, fiveServers, func(c *Cluster) {
		aggregator := c.aggregator()
		if aggregator == "" || aggregator == c.Leader() {
			t.Errorf("the zone's aggregator is %q, the leader %q", aggregator, c.Leader())
			return
		}
		fault(c, aggregator)
	}, func(c *Cluster) {
		c.WaitUntil("the zone has an aggregator", 20*time.Second, func() bool { return c.aggregator() != "" })
	})
}

func TestAggregatorKilled(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		c.Kill(aggregator)
		c.WaitUntil("another one is appointed", 5*time.Second, func() bool { name := c.aggregator(); return name != "" && name != aggregator })
		c.Start(aggregator)
	})
}

// TestAggregatorTerminated: its standby is appointed before it has gone.
func TestAggregatorTerminated(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		c.Terminate(aggregator)
		if name := c.aggregator(); name == "" || name == aggregator {
			t.Errorf("after its end the holder is %q, was %q", name, aggregator)
		}
		c.Start(aggregator)
	})
}

func TestAggregatorIsolated(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		c.partitionFor(5*time.Second, aggregator, c.nodesExcept("", aggregator)...)
	})
}

// TestAggregatorIsolatedFromServers: its agents still reach it, and so take it for their
// aggregator when another one is.
func TestAggregatorIsolatedFromServers(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		c.partitionFor(5*time.Second, aggregator, c.nodesExcept(edgeRole, aggregator)...)
	})
}

// blockForAWhile blocks the way from one node to another for five seconds.
func blockForAWhile(c *Cluster, from, to string) {
	c.Network.Block(c.NodeIP(from), c.NodeIP(to))
	time.Sleep(5 * time.Second)
	c.Network.Unblock(c.NodeIP(from), c.NodeIP(to))
}

func TestAggregatorDeafToTheLeader(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) { blockForAWhile(c, c.Leader(), aggregator) })
}

func TestLeaderDeafToTheAggregator(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) { blockForAWhile(c, aggregator, c.Leader()) })
}

// TestSlowAggregator: all that goes through it comes late, also what was sent before its
// agents rejected from it.
func TestSlowAggregator(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		c.Network.SetDelay(c.NodeIP(aggregator), 700*time.Millisecond)
		time.Sleep(6 * time.Second)
		c.Network.SetDelay(c.NodeIP(aggregator), 0)
	})
}

func TestAggregatorAndLeaderLostTogether(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		leader := c.Leader()
		c.Kill(aggregator)
		c.Kill(leader)
		time.Sleep(4 * time.Second)
		c.Start(leader)
		c.Start(aggregator)
	})
}

func TestAggregatorsServerIsReplaced(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		c.restartWiped(time.Second, aggregator)
		time.Sleep(4 * time.Second)
		// The wiped one must count again by now, so that another may be lost.
		next := c.aggregator()
		if next == "" {
			t.Error("no aggregator while one of five is replaced")
			return
		}
		c.Restart(3*time.Second, next)
	})
}

// TestAgentSwitchesAggregatorsRepeatedly: an agent loses its aggregator again and again,
// and comes back to it each time that it is named.
func TestAgentSwitchesAggregatorsRepeatedly(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		for range 6 {
			c.partitionFor(900*time.Millisecond, "side-1", aggregator)
			time.Sleep(1200 * time.Millisecond)
		}
	})
}

func TestRunnersCrashUnderAnAggregator(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		for _, name := range []string{"side-1", "side-2", "side-3"} {
			c.Runners[name].Crash()
			time.Sleep(300 * time.Millisecond)
		}
		c.Restart(500*time.Millisecond, "side-4")
	})
}

// TestRunnerRequestsCarriedOutLateUnderLostAggregators: late requests under one
// aggregator meet those under the next.
func TestRunnerRequestsCarriedOutLateUnderLostAggregators(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		for _, runner := range c.Runners {
			runner.update(func() { runner.LateFraction = 0.3 })
		}
		time.Sleep(time.Second)
		c.Restart(3*time.Second, aggregator)
		time.Sleep(3 * time.Second)
		for _, runner := range c.Runners {
			runner.update(func() { runner.LateFraction = 0 })
		}
	})
}
