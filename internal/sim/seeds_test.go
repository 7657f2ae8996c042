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
