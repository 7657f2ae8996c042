package sim

import (
	"strings"
	"testing"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// five voters: a leader and an aggregator may be lost together.
var five = Shape{Core: 5, Edge: 1, Side: 6}

// aggregator is the daemon that holds the zone's duty, or nothing.
func (c *Cluster) aggregator() string {
	for _, n := range c.names("edge") {
		r, err := rpc.Call(c.tool(), c.IP(n)+":7720", rpc.KindClusterState, nil, time.Second)
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
				for _, n := range c.names("") {
					if addr != "" && c.IP(n)+":7720" == addr {
						return n
					}
				}
			}
		}
	}
	return ""
}

// others are all daemons but some.
func (c *Cluster) others(role string, but ...string) []string {
	var out []string
	for _, n := range c.names(role) {
		if !strings.Contains(" "+strings.Join(but, " ")+" ", " "+n+" ") {
			out = append(out, n)
		}
	}
	return out
}

// lose plays a fault of the aggregator: the rules hold, all jobs end, and the
// zone has an aggregator again.
func lose(t *testing.T, fault func(c *Cluster, agg string)) {
	t.Helper()
	run(t, five, func(c *Cluster) {
		agg := c.aggregator()
		if agg == "" || agg == c.Leader() {
			t.Errorf("the zone's aggregator is %q, the leader %q", agg, c.Leader())
			return
		}
		fault(c, agg)
	}, func(c *Cluster) {
		c.Until("the zone has an aggregator", 20*time.Second, func() bool { return c.aggregator() != "" })
	})
}

func TestAggregatorKilled(t *testing.T) {
	lose(t, func(c *Cluster, agg string) {
		c.Kill(agg)
		c.Until("another holds the duty", 5*time.Second, func() bool { n := c.aggregator(); return n != "" && n != agg })
		c.Start(agg, 2)
	})
}

// TestAggregatorEndsInOrder: its standby is appointed before it has gone.
func TestAggregatorEndsInOrder(t *testing.T) {
	lose(t, func(c *Cluster, agg string) {
		c.Term(agg)
		if n := c.aggregator(); n == "" || n == agg {
			t.Errorf("after its end the holder is %q, was %q", n, agg)
		}
		c.Start(agg, 2)
	})
}

func TestAggregatorCutOffFromAll(t *testing.T) {
	lose(t, func(c *Cluster, agg string) {
		c.Island(agg, true, c.others("", agg)...)
		time.Sleep(5 * time.Second)
		c.Island(agg, false, c.others("", agg)...)
	})
}

// TestAggregatorCutOffFromTheCore: its side daemons reach it still, and so
// think that it holds the duty when another does.
func TestAggregatorCutOffFromTheCore(t *testing.T) {
	lose(t, func(c *Cluster, agg string) {
		c.Island(agg, true, c.others("edge", agg)...)
		time.Sleep(5 * time.Second)
		c.Island(agg, false, c.others("edge", agg)...)
	})
}

// deaf keeps all that one daemon says from another for five seconds.
func deaf(c *Cluster, from, to string) {
	c.Net.Cut(c.IP(from), c.IP(to))
	time.Sleep(5 * time.Second)
	c.Net.Join(c.IP(from), c.IP(to))
}

func TestAggregatorHearsTheLeaderNoMore(t *testing.T) {
	lose(t, func(c *Cluster, agg string) { deaf(c, c.Leader(), agg) })
}

func TestLeaderHearsTheAggregatorNoMore(t *testing.T) {
	lose(t, func(c *Cluster, agg string) { deaf(c, agg, c.Leader()) })
}

// TestSlowAggregator: all that goes through it comes late, also from before it
// was turned away from.
func TestSlowAggregator(t *testing.T) {
	lose(t, func(c *Cluster, agg string) {
		c.Net.Slow(c.IP(agg), 700*time.Millisecond)
		time.Sleep(6 * time.Second)
		c.Net.Slow(c.IP(agg), 0)
	})
}

func TestAggregatorAndLeaderLostTogether(t *testing.T) {
	lose(t, func(c *Cluster, agg string) {
		l := c.Leader()
		c.Kill(agg)
		c.Kill(l)
		time.Sleep(4 * time.Second)
		c.Start(l, 2)
		c.Start(agg, 2)
	})
}

func TestAggregatorsMachineIsReplaced(t *testing.T) {
	lose(t, func(c *Cluster, agg string) {
		c.Kill(agg)
		c.Wipe(agg)
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

// TestSideDaemonMovesToAndFro: it loses its aggregator again and again, and
// comes back to it each time that it is named.
func TestSideDaemonMovesToAndFro(t *testing.T) {
	lose(t, func(c *Cluster, agg string) {
		for range 6 {
			c.Island("side-1", true, agg)
			time.Sleep(900 * time.Millisecond)
			c.Island("side-1", false, agg)
			time.Sleep(1200 * time.Millisecond)
		}
	})
}

func TestRunnersCrashUnderAnAggregator(t *testing.T) {
	lose(t, func(c *Cluster, agg string) {
		for _, n := range []string{"side-1", "side-2", "side-3"} {
			c.Runners[n].Crash()
			time.Sleep(300 * time.Millisecond)
		}
		c.Kill("side-4")
		time.Sleep(500 * time.Millisecond)
		c.Start("side-4", 2)
	})
}

// TestOrdersCarriedOutLateUnderLostAggregators: late orders of one aggregator
// meet those of the next.
func TestOrdersCarriedOutLateUnderLostAggregators(t *testing.T) {
	lose(t, func(c *Cluster, agg string) {
		for _, r := range c.Runners {
			r.set(func() { r.Late = 0.3 })
		}
		time.Sleep(time.Second)
		c.Kill(agg)
		time.Sleep(3 * time.Second)
		c.Start(agg, 2)
		time.Sleep(3 * time.Second)
		for _, r := range c.Runners {
			r.set(func() { r.Late = 0 })
		}
	})
}
