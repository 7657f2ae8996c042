package simulation

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestOperatorsUseAnIsolatedServer: for 20 s a daemon is cut off while changes are
// made elsewhere. Operators that meet it are answered within the second, later
// at once; they are given nothing old and refused nothing. It isn't ready, and
// soon is again.
func TestOperatorsUseAnIsolatedServer(t *testing.T) {
	leader := func(c *Cluster) string { return c.Leader() }
	follower := func(c *Cluster) string {
		l := c.Leader()
		for _, n := range c.nodeNames("edge")[:3] {
			if n != l {
				return n
			}
		}
		return ""
	}
	diskless := func(c *Cluster) string { return "edge-4" }
	all := func(c *Cluster) []string { return c.nodeNames("") }
	core := func(c *Cluster) []string { return c.nodeNames("edge")[:3] }
	for _, k := range []struct {
		name string
		who  func(*Cluster) string
		from func(*Cluster) []string
	}{{"leader from all", leader, all}, {"leader from the core", leader, core}, {"follower from all", follower, all},
		{"follower from the core", follower, core}, {"daemon without a disk from the core", diskless, core}} {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewCluster(t, threeServers)
				defer c.Shutdown()
				c.WaitReady()
				who := k.who(c)
				var others, edges []string
				for _, n := range k.from(c) {
					if n != who {
						others = append(others, n)
					}
				}
				for _, n := range c.nodeNames("edge") {
					if n != who {
						edges = append(edges, n)
					}
				}
				c.SetPartition(who, true, others...)
				newest := 1
				for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(300 * time.Millisecond) {
					if try := edges[newest%len(edges)]; c.PutConfiguration(try, newest+1, newest, "") == http.StatusOK {
						newest++
					}
					// What was sent to a leader that fell silent takes longer.
					most := 900 * time.Millisecond
					if time.Since(begun) > 4*time.Second {
						most = 400 * time.Millisecond
						if c.readinessStatus(who) == http.StatusOK {
							t.Errorf("ready after %v", time.Since(begun))
						}
					}
					c.requireNoStaleAnswer(who, newest, most)
				}
				if newest < 5 {
					t.Errorf("only %d changes were made meanwhile", newest-1)
				}
				c.SetPartition(who, false, others...)
				c.WaitUntil("the newest is read", 3*time.Second, func() bool { return c.configurationVersionAt(who) == newest })
				c.WaitUntil("ready again", 3*time.Second, func() bool { return c.readinessStatus(who) == http.StatusOK })
			})
		})
	}
}

// requireNoStaleAnswer has operators read from a daemon and send to it; answers may
// take so long.
func (c *Cluster) requireNoStaleAnswer(at string, newest int, most time.Duration) {
	c.T.Helper()
	begun := time.Now()
	if got := c.configurationVersionAt(at); got >= 100 && got < 500 || got > 0 && got < 100 && got != newest {
		c.T.Errorf("a read gives %d, the newest is %d", got, newest)
	}
	if took := time.Since(begun); took > most {
		c.T.Errorf("a read was answered after %v", took)
	}
	begun = time.Now()
	// What was taken at first: a leader says so again, all others say nothing.
	if got := c.PutConfiguration(at, 1, 0, ""); got != http.StatusOK && got < 500 {
		c.T.Errorf("what was taken is answered with %d", got)
	}
	if took := time.Since(begun); took > most {
		c.T.Errorf("an order was answered after %v", took)
	}
}

// configurationVersionAt gives the version that a daemon's read brings, or the code, or 0.
func (c *Cluster) configurationVersionAt(at string) int {
	code, raw, _ := c.request(http.MethodGet, "http://"+c.NodeIP(at)+":8166/-/Config.Read", "", "", nil)
	if code != http.StatusOK {
		return code
	}
	version := 0
	if n, err := fmt.Sscanf(strings.TrimSpace(string(raw)), `{"configVersion":%d`, &version); n != 1 || err != nil {
		c.T.Errorf("a read brings %.60s", raw)
	}
	return version
}

func (c *Cluster) readinessStatus(at string) int {
	code, _, _ := c.request(http.MethodGet, "http://"+c.NodeIP(at)+":8167/-/readiness", "", "", nil)
	return code
}

// TestChangesResentLongAfter: each of many changes is confirmed again by every
// daemon, after others, after a change of leader, and after all were killed; no
// second change on a used version is.
func TestChangesResentLongAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, threeServers)
		defer c.Shutdown()
		c.WaitReady()
		const changes = 60
		edges := c.nodeNames("edge")
		for v := 1; v < changes; v++ {
			c.WaitUntil("a change is taken", 5*time.Second, func() bool { return c.PutConfiguration(edges[v%len(edges)], v+1, v, "") == http.StatusOK })
		}
		again := func(when string) {
			t.Helper()
			for v := 0; v < changes; v += 7 {
				for _, at := range edges {
					c.WaitUntil(when, 10*time.Second, func() bool {
						got := c.PutConfiguration(at, v+1, v, "")
						if got != http.StatusOK && got > 0 && got < 500 {
							t.Errorf("%s: change %d at %s: %d", when, v+1, at, got)
						}
						return got == http.StatusOK
					})
					if got := c.PutConfiguration(at, changes+1, v, ""); got == http.StatusOK {
						t.Errorf("%s: a second change on %d was confirmed at %s", when, v, at)
					}
				}
			}
		}
		again("after other changes")
		l := c.Leader()
		c.Kill(l)
		edges = without(edges, l)
		again("after a change of leader")
		for _, n := range without(c.nodeNames(""), l) {
			c.Kill(n)
		}
		for _, n := range c.nodeNames("") {
			c.Start(n, 1)
		}
		edges = c.nodeNames("edge")
		again("after all were killed")
	})
}

func without(names []string, name string) []string {
	var out []string
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}
