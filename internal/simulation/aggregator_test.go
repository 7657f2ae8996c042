package simulation

import (
	"testing"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// aggregator returns the node appointed as the zone's aggregator, or an empty string.
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
// must have an aggregator again afterwards.
func runWithAggregatorFault(t *testing.T, fault func(c *Cluster, aggregator string)) {
	t.Helper()
	runWithFault(t, fiveServers, func(c *Cluster) {
		aggregator := c.aggregator()
		if aggregator == "" || aggregator == c.Leader() {
			t.Errorf("the zone's aggregator is %q, the leader %q; want two nodes", aggregator, c.Leader())
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
		c.WaitUntil("another aggregator is appointed", 5*time.Second, func() bool { name := c.aggregator(); return name != "" && name != aggregator })
		c.Start(aggregator)
	})
}

// TestAggregatorTerminated checks that the standby is appointed before the aggregator has ended.
func TestAggregatorTerminated(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		c.Terminate(aggregator)
		if name := c.aggregator(); name == "" || name == aggregator {
			t.Errorf("the aggregator is %q after %q was terminated, want another one", name, aggregator)
		}
		c.Start(aggregator)
	})
}

func TestAggregatorIsolated(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		c.partitionFor(5*time.Second, aggregator, c.nodesExcept("", aggregator)...)
	})
}

// TestAggregatorIsolatedFromServers isolates an aggregator that its agents still reach, so that
// they keep using it after another one has been appointed.
func TestAggregatorIsolatedFromServers(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		c.partitionFor(5*time.Second, aggregator, c.nodesExcept(edgeRole, aggregator)...)
	})
}

// blockOneWay blocks the direction from one node to another for five seconds.
func blockOneWay(c *Cluster, from, to string) {
	c.Network.Block(c.NodeIP(from), c.NodeIP(to))
	time.Sleep(5 * time.Second)
	c.Network.Unblock(c.NodeIP(from), c.NodeIP(to))
}

func TestLeaderToAggregatorBlocked(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) { blockOneWay(c, c.Leader(), aggregator) })
}

func TestAggregatorToLeaderBlocked(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) { blockOneWay(c, aggregator, c.Leader()) })
}

// TestSlowAggregator delays all messages through the aggregator, including those sent before its
// agents switched to another one.
func TestSlowAggregator(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		c.Network.SetDelay(c.NodeIP(aggregator), 700*time.Millisecond)
		time.Sleep(6 * time.Second)
		c.Network.SetDelay(c.NodeIP(aggregator), 0)
	})
}

func TestAggregatorAndLeaderKilledTogether(t *testing.T) {
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
		// By now the wiped server must vote again, so that another server may be lost.
		next := c.aggregator()
		if next == "" {
			t.Error("no aggregator while one of five servers is replaced")
			return
		}
		c.Restart(3*time.Second, next)
	})
}

// TestAgentSwitchesAggregatorsRepeatedly makes an agent lose its aggregator repeatedly. The agent
// returns to it each time it is assigned again.
func TestAgentSwitchesAggregatorsRepeatedly(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		for range 6 {
			c.partitionFor(900*time.Millisecond, "side-1", aggregator)
			time.Sleep(1200 * time.Millisecond)
		}
	})
}

func TestRunnersOfOneAggregatorCrash(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		for _, name := range []string{"side-1", "side-2", "side-3"} {
			c.Runners[name].Crash()
			time.Sleep(300 * time.Millisecond)
		}
		c.Restart(500*time.Millisecond, "side-4")
	})
}

// TestRunnerAppliesRequestsLateAcrossAggregatorLoss checks that requests sent under one
// aggregator and applied late do not interfere with those sent under the next.
func TestRunnerAppliesRequestsLateAcrossAggregatorLoss(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, aggregator string) {
		for _, runner := range c.Runners {
			runner.update(func() { runner.DelayedFraction = 0.3 })
		}
		time.Sleep(time.Second)
		c.Restart(3*time.Second, aggregator)
		time.Sleep(3 * time.Second)
		for _, runner := range c.Runners {
			runner.update(func() { runner.DelayedFraction = 0 })
		}
	})
}
