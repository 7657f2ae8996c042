package sim

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestOperatorsMeetACutOffDaemon: for 20 s a daemon is cut off while changes are
// made elsewhere. Operators that meet it are answered within the second, later
// at once; they are given nothing old and refused nothing. It isn't ready, and
// soon is again.
func TestOperatorsMeetACutOffDaemon(t *testing.T) {
	leader := func(c *Cluster) string { return c.Leader() }
	follower := func(c *Cluster) string {
		l := c.Leader()
		for _, n := range c.names("edge")[:3] {
			if n != l {
				return n
			}
		}
		return ""
	}
	diskless := func(c *Cluster) string { return "edge-4" }
	all := func(c *Cluster) []string { return c.names("") }
	core := func(c *Cluster) []string { return c.names("edge")[:3] }
	for _, k := range []struct {
		name string
		who  func(*Cluster) string
		from func(*Cluster) []string
	}{{"leader from all", leader, all}, {"leader from the core", leader, core}, {"follower from all", follower, all},
		{"follower from the core", follower, core}, {"daemon without a disk from the core", diskless, core}} {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := Build(t, three)
				defer c.End()
				c.Ready()
				who := k.who(c)
				var others, edges []string
				for _, n := range k.from(c) {
					if n != who {
						others = append(others, n)
					}
				}
				for _, n := range c.names("edge") {
					if n != who {
						edges = append(edges, n)
					}
				}
				c.Island(who, true, others...)
				newest := 1
				for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(300 * time.Millisecond) {
					if try := edges[newest%len(edges)]; c.Put(try, newest+1, newest, "") == http.StatusOK {
						newest++
					}
					// What was sent to a leader that fell silent takes longer.
					most := 900 * time.Millisecond
					if time.Since(begun) > 4*time.Second {
						most = 400 * time.Millisecond
						if c.readiness(who) == http.StatusOK {
							t.Errorf("ready after %v", time.Since(begun))
						}
					}
					c.meetsNothingOld(who, newest, most)
				}
				if newest < 5 {
					t.Errorf("only %d changes were made meanwhile", newest-1)
				}
				c.Island(who, false, others...)
				c.Until("the newest is read", 3*time.Second, func() bool { return c.readAt(who) == newest })
				c.Until("ready again", 3*time.Second, func() bool { return c.readiness(who) == http.StatusOK })
			})
		})
	}
}

// meetsNothingOld has operators read from a daemon and send to it; answers may
// take so long.
func (c *Cluster) meetsNothingOld(at string, newest int, most time.Duration) {
	c.T.Helper()
	begun := time.Now()
	if got := c.readAt(at); got >= 100 && got < 500 || got > 0 && got < 100 && got != newest {
		c.T.Errorf("a read gives %d, the newest is %d", got, newest)
	}
	if took := time.Since(begun); took > most {
		c.T.Errorf("a read was answered after %v", took)
	}
	begun = time.Now()
	// What was taken at first: a leader says so again, all others say nothing.
	if got := c.Put(at, 1, 0, ""); got != http.StatusOK && got < 500 {
		c.T.Errorf("what was taken is answered with %d", got)
	}
	if took := time.Since(begun); took > most {
		c.T.Errorf("an order was answered after %v", took)
	}
}

// readAt gives the version that a daemon's read brings, or the code, or 0.
func (c *Cluster) readAt(at string) int {
	code, raw, _ := c.call(http.MethodGet, "http://"+c.IP(at)+":8166/-/Config.Read", "", "", nil)
	if code != http.StatusOK {
		return code
	}
	version := 0
	if n, err := fmt.Sscanf(strings.TrimSpace(string(raw)), `{"configVersion":%d`, &version); n != 1 || err != nil {
		c.T.Errorf("a read brings %.60s", raw)
	}
	return version
}

func (c *Cluster) readiness(at string) int {
	code, _, _ := c.call(http.MethodGet, "http://"+c.IP(at)+":8167/-/readiness", "", "", nil)
	return code
}

// TestOrdersSentAgainLongAfter: each of many changes is confirmed again by every
// daemon, after others, after a change of leader, and after all were killed; no
// second change on a used version is.
func TestOrdersSentAgainLongAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := Build(t, three)
		defer c.End()
		c.Ready()
		const changes = 60
		edges := c.names("edge")
		for v := 1; v < changes; v++ {
			c.Until("a change is taken", 5*time.Second, func() bool { return c.Put(edges[v%len(edges)], v+1, v, "") == http.StatusOK })
		}
		again := func(when string) {
			t.Helper()
			for v := 0; v < changes; v += 7 {
				for _, at := range edges {
					c.Until(when, 10*time.Second, func() bool {
						got := c.Put(at, v+1, v, "")
						if got != http.StatusOK && got > 0 && got < 500 {
							t.Errorf("%s: change %d at %s: %d", when, v+1, at, got)
						}
						return got == http.StatusOK
					})
					if got := c.Put(at, changes+1, v, ""); got == http.StatusOK {
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
		for _, n := range without(c.names(""), l) {
			c.Kill(n)
		}
		for _, n := range c.names("") {
			c.Start(n, 1)
		}
		edges = c.names("edge")
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
