package simulation

import (
	"strings"
	"testing"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// fiveServers voters: a leader and an aggregator may be lost together.
var fiveServers = ClusterSpec{Servers: 5, Edges: 1, Agents: 6}

// aggregator is the daemon that holds the zone's duty, or nothing.
func (c *Cluster) aggregator() string {
	for _, n := range c.nodeNames("edge") {
		r, err := rpc.Call(c.adminContext(), c.NodeIP(n)+":7720", rpc.KindClusterState, nil, time.Second)
		var f rpc.ClusterState
		if err != nil || transport.Decode(r.Body, &f) != nil || !f.IsLeader {
			continue
		}
		for _, t := range f.Tables {
			if t.Name != "duties" {
				continue
			}
			for _, row := range t.Rows {
				addr, _ := row[3].(string)
				for _, n := range c.nodeNames("") {
					if addr != "" && c.NodeIP(n)+":7720" == addr {
						return n
					}
				}
			}
		}
	}
	return ""
}

// nodesExcept are all daemons but some.
func (c *Cluster) nodesExcept(role string, but ...string) []string {
	var out []string
	for _, n := range c.nodeNames(role) {
		if !strings.Contains(" "+strings.Join(but, " ")+" ", " "+n+" ") {
			out = append(out, n)
		}
	}
	return out
}

// runWithAggregatorFault plays a fault of the aggregator: the rules hold, all jobs end, and the
// zone has an aggregator again.
func runWithAggregatorFault(t *testing.T, fault func(c *Cluster, agg string)) {
	t.Helper()
	runWithFault(t, fiveServers, func(c *Cluster) {
		agg := c.aggregator()
		if agg == "" || agg == c.Leader() {
			t.Errorf("the zone's aggregator is %q, the leader %q", agg, c.Leader())
			return
		}
		fault(c, agg)
	}, func(c *Cluster) {
		c.WaitUntil("the zone has an aggregator", 20*time.Second, func() bool { return c.aggregator() != "" })
	})
}

func TestAggregatorKilled(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, agg string) {
		c.Kill(agg)
		c.WaitUntil("another holds the duty", 5*time.Second, func() bool { n := c.aggregator(); return n != "" && n != agg })
		c.Start(agg, 2)
	})
}

// TestAggregatorTerminated: its standby is appointed before it has gone.
func TestAggregatorTerminated(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, agg string) {
		c.Terminate(agg)
		if n := c.aggregator(); n == "" || n == agg {
			t.Errorf("after its end the holder is %q, was %q", n, agg)
		}
		c.Start(agg, 2)
	})
}

func TestAggregatorIsolated(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, agg string) {
		c.SetPartition(agg, true, c.nodesExcept("", agg)...)
		time.Sleep(5 * time.Second)
		c.SetPartition(agg, false, c.nodesExcept("", agg)...)
	})
}

// TestAggregatorIsolatedFromServers: its side daemons reach it still, and so
// think that it holds the duty when another does.
func TestAggregatorIsolatedFromServers(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, agg string) {
		c.SetPartition(agg, true, c.nodesExcept("edge", agg)...)
		time.Sleep(5 * time.Second)
		c.SetPartition(agg, false, c.nodesExcept("edge", agg)...)
	})
}

// blockForAWhile keeps all that one daemon says from another for five seconds.
func blockForAWhile(c *Cluster, from, to string) {
	c.Network.Block(c.NodeIP(from), c.NodeIP(to))
	time.Sleep(5 * time.Second)
	c.Network.Unblock(c.NodeIP(from), c.NodeIP(to))
}

func TestAggregatorDeafToTheLeader(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, agg string) { blockForAWhile(c, c.Leader(), agg) })
}

func TestLeaderDeafToTheAggregator(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, agg string) { blockForAWhile(c, agg, c.Leader()) })
}

// TestSlowAggregator: all that goes through it comes late, also from before it
// was turned away from.
func TestSlowAggregator(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, agg string) {
		c.Network.SetDelay(c.NodeIP(agg), 700*time.Millisecond)
		time.Sleep(6 * time.Second)
		c.Network.SetDelay(c.NodeIP(agg), 0)
	})
}

func TestAggregatorAndLeaderLostTogether(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, agg string) {
		l := c.Leader()
		c.Kill(agg)
		c.Kill(l)
		time.Sleep(4 * time.Second)
		c.Start(l, 2)
		c.Start(agg, 2)
	})
}

func TestAggregatorsServerIsReplaced(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, agg string) {
		c.Kill(agg)
		c.WipeDisk(agg)
		time.Sleep(time.Second)
		c.Start(agg, 2)
		time.Sleep(4 * time.Second)
		// Why another: the emptied one must count again by now.
		next := c.aggregator()
		if next == "" {
			t.Error("no aggregator while one of five is replaced")
			return
		}
		c.Kill(next)
		time.Sleep(3 * time.Second)
		c.Start(next, 2)
	})
}

// TestAgentSwitchesAggregatorsRepeatedly: it loses its aggregator again and again, and
// comes back to it each time that it is named.
func TestAgentSwitchesAggregatorsRepeatedly(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, agg string) {
		for range 6 {
			c.SetPartition("side-1", true, agg)
			time.Sleep(900 * time.Millisecond)
			c.SetPartition("side-1", false, agg)
			time.Sleep(1200 * time.Millisecond)
		}
	})
}

func TestRunnersCrashUnderAnAggregator(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, agg string) {
		for _, n := range []string{"side-1", "side-2", "side-3"} {
			c.Runners[n].Crash()
			time.Sleep(300 * time.Millisecond)
		}
		c.Kill("side-4")
		time.Sleep(500 * time.Millisecond)
		c.Start("side-4", 2)
	})
}

// TestRunnerRequestsCarriedOutLateUnderLostAggregators: late orders of one aggregator
// meet those of the next.
func TestRunnerRequestsCarriedOutLateUnderLostAggregators(t *testing.T) {
	runWithAggregatorFault(t, func(c *Cluster, agg string) {
		for _, r := range c.Runners {
			r.update(func() { r.LateFraction = 0.3 })
		}
		time.Sleep(time.Second)
		c.Kill(agg)
		time.Sleep(3 * time.Second)
		c.Start(agg, 2)
		time.Sleep(3 * time.Second)
		for _, r := range c.Runners {
			r.update(func() { r.LateFraction = 0 })
		}
	})
}
