package simulation

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestOperatorsUseAnIsolatedServer: for 20 s a node is isolated while changes are made
// elsewhere. Operators that turn to it are answered within the second, later at once.
// They are given nothing old and refused nothing. It isn't ready, and soon is again.
func TestOperatorsUseAnIsolatedServer(t *testing.T) {
	leader := (*Cluster).Leader
	follower := func(c *Cluster) string { return without(c.Servers(), c.Leader())[0] }
	diskless := func(c *Cluster) string { return disklessEdge }
	all := func(c *Cluster) []string { return c.nodeNames("") }
	for _, isolation := range []struct {
		name string
		node func(*Cluster) string
		from func(*Cluster) []string
	}{
		{"leader from all", leader, all},
		{"leader from the servers", leader, (*Cluster).Servers},
		{"follower from all", follower, all},
		{"follower from the servers", follower, (*Cluster).Servers},
		{"node without a disk from the servers", diskless, (*Cluster).Servers},
	} {
		t.Run(isolation.name, func(t *testing.T) {
			withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
				isolated := isolation.node(c)
				others, edges := without(isolation.from(c), isolated), c.nodesExcept(edgeRole, isolated)
				c.SetPartition(isolated, true, others...)
				newest := 1
				for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(300 * time.Millisecond) {
					if edge := edges[newest%len(edges)]; c.PutConfiguration(edge, newest+1, newest, "") == http.StatusOK {
						newest++
					}
					// What was sent to a leader that fell silent then takes longer.
					limit := 900 * time.Millisecond
					if time.Since(start) > 4*time.Second {
						limit = 400 * time.Millisecond
						if c.IsReady(isolated) {
							t.Errorf("ready after %v", time.Since(start))
						}
					}
					c.requireNoStaleAnswer(isolated, newest, limit)
				}
				if newest < 5 {
					t.Errorf("only %d changes were made meanwhile", newest-1)
				}
				c.SetPartition(isolated, false, others...)
				c.WaitUntil("the newest configuration is read", 3*time.Second, func() bool { return c.configurationVersionAt(isolated) == newest })
				c.WaitUntil("ready again", 3*time.Second, func() bool { return c.IsReady(isolated) })
			})
		})
	}
}

// requireNoStaleAnswer has operators read at a node and send to it. Answers may take as
// long as limit.
func (c *Cluster) requireNoStaleAnswer(node string, newest int, limit time.Duration) {
	c.T.Helper()
	start := time.Now()
	if got := c.configurationVersionAt(node); got >= 100 && got < 500 || got > 0 && got < 100 && got != newest {
		c.T.Errorf("a read gives %d, the newest is %d", got, newest)
	}
	if took := time.Since(start); took > limit {
		c.T.Errorf("a read was answered after %v", took)
	}
	start = time.Now()
	// The first configuration was accepted: a leader says so again, others say nothing.
	if got := c.PutConfiguration(node, 1, 0, ""); got != http.StatusOK && got < 500 {
		c.T.Errorf("what was accepted is answered with %d", got)
	}
	if took := time.Since(start); took > limit {
		c.T.Errorf("a change was answered after %v", took)
	}
}

// configurationVersionAt reads the configuration at a node and gives its version; else the
// status code, or 0.
func (c *Cluster) configurationVersionAt(node string) int {
	code, raw, _ := c.request(http.MethodGet, c.nodeURL(node, controlPort, "/-/Config.Read"), "", "", nil)
	if code != http.StatusOK {
		return code
	}
	version := 0
	if n, err := fmt.Sscanf(strings.TrimSpace(string(raw)), `{"configVersion":%d`, &version); n != 1 || err != nil {
		c.T.Errorf("a read brings %.60s", raw)
	}
	return version
}

// TestChangesResentLongAfter: each of many changes is acknowledged again by every node,
// after others, after a change of leader, and after all nodes were killed. No second
// change on a version that was built upon is.
func TestChangesResentLongAfter(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		const changes = 60
		edges := c.nodeNames(edgeRole)
		for v := 1; v < changes; v++ {
			c.WaitUntil("a change is accepted", 5*time.Second, func() bool { return c.PutConfiguration(edges[v%len(edges)], v+1, v, "") == http.StatusOK })
		}
		again := func(when string) {
			t.Helper()
			for v := 0; v < changes; v += 7 {
				for _, node := range edges {
					c.WaitUntil(when, 10*time.Second, func() bool {
						got := c.PutConfiguration(node, v+1, v, "")
						if got != http.StatusOK && got > 0 && got < 500 {
							t.Errorf("%s: change %d at %s: %d", when, v+1, node, got)
						}
						return got == http.StatusOK
					})
					if got := c.PutConfiguration(node, changes+1, v, ""); got == http.StatusOK {
						t.Errorf("%s: a second change on %d was confirmed at %s", when, v, node)
					}
				}
			}
		}
		again("after other changes")
		leader := c.Leader()
		c.Kill(leader)
		edges = without(edges, leader)
		again("after a change of leader")
		for _, name := range without(c.nodeNames(""), leader) {
			c.Kill(name)
		}
		for _, name := range c.nodeNames("") {
			c.Start(name)
		}
		edges = c.nodeNames(edgeRole)
		again("after all were killed")
	})
}
