package sim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestCoreDaemonWithoutLiveSeeds: a core daemon is started anew when all of its
// seeds are gone for good. Its log names the members, so it finds the leader and
// serves.
func TestCoreDaemonWithoutLiveSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Build(t, three)
		defer c.End()
		c.Ready()
		c.HandIn(id(0), job(300, 500, 2))
		n := c.others("edge", c.Leader(), "edge-4")[0]
		c.seeds = nil
		for i := range 3 {
			c.seeds = append(c.seeds, fmt.Sprintf("%s:8166", c.ip(240+i)))
		}
		c.Kill(n)
		time.Sleep(time.Second)
		c.Start(n, 1)
		c.Until("the job's state is told there", 5*time.Second, func() bool { return c.State(n, id(0)) == "done" })
		l := c.Leader()
		c.Kill(l)
		c.Until("and under the next leader", 6*time.Second, func() bool { return c.State(n, id(0)) == "done" })
		c.Start(l, 1)
	})
}

// TestFirstStartWithALoss: one core daemon, the gathering seed itself among them,
// is ended while the core is being founded, and started again.
func TestFirstStartWithALoss(t *testing.T) {
	for _, n := range []string{"edge-1", "edge-2"} {
		for at := 300 * time.Millisecond; at <= 2100*time.Millisecond; at += 300 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				c := Build(t, three)
				defer c.End()
				time.Sleep(at)
				c.Kill(n)
				time.Sleep(700 * time.Millisecond)
				c.Start(n, 1)
				c.Until(fmt.Sprintf("the first configuration is taken; %s was ended at %v", n, at), 20*time.Second, func() bool { return c.Put("edge-4", 1, 0, "") == 200 })
				c.Until("all follow one leader", 5*time.Second, func() bool {
					l := c.Leader()
					return l != "" && leaderOf(c, "edge-1") == l && leaderOf(c, "edge-2") == l && leaderOf(c, "edge-3") == l
				})
			})
		}
	}
}
