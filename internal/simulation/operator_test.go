package simulation

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestOperatorsUseIsolatedNode: a node is isolated for 20 s while changes are made at
// other nodes. Operators that call it get a response within a second, and within 400 ms
// after the first seconds. They are given no stale configuration, and no change is
// refused permanently. The node is not ready meanwhile, and is ready again soon
// afterwards.
func TestOperatorsUseIsolatedNode(t *testing.T) {
	leader := (*Cluster).Leader
	follower := func(c *Cluster) string { return without(c.Servers(), c.Leader())[0] }
	diskless := func(c *Cluster) string { return disklessEdge }
	all := func(c *Cluster) []string { return c.nodeNames("") }
	for _, isolation := range []struct {
		name string
		node func(*Cluster) string
		from func(*Cluster) []string
	}{
		{"leader from all nodes", leader, all},
		{"leader from the servers", leader, (*Cluster).Servers},
		{"follower from all nodes", follower, all},
		{"follower from the servers", follower, (*Cluster).Servers},
		{"diskless node from the servers", diskless, (*Cluster).Servers},
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
					// Requests that were forwarded to a leader that became unreachable take longer.
					limit := 900 * time.Millisecond
					if time.Since(start) > 4*time.Second {
						limit = 400 * time.Millisecond
						if c.IsReady(isolated) {
							t.Errorf("isolated node is ready after %v", time.Since(start))
						}
					}
					c.requireNoStaleResponse(isolated, newest, limit)
				}
				if newest < 5 {
					t.Errorf("only %d changes were made during the isolation, want at least 4", newest-1)
				}
				c.SetPartition(isolated, false, others...)
				c.WaitUntil("the newest configuration is read", 3*time.Second, func() bool { return c.configurationVersionAt(isolated) == newest })
				c.WaitUntil("ready again", 3*time.Second, func() bool { return c.IsReady(isolated) })
			})
		})
	}
}

// requireNoStaleResponse reads the configuration at a node and sends an accepted change
// to it. It requires that neither response is stale and that both arrive within limit.
func (c *Cluster) requireNoStaleResponse(node string, newest int, limit time.Duration) {
	c.T.Helper()
	start := time.Now()
	if got := c.configurationVersionAt(node); got >= 100 && got < 500 || got > 0 && got < 100 && got != newest {
		c.T.Errorf("read returned %d, newest version is %d", got, newest)
	}
	if took := time.Since(start); took > limit {
		c.T.Errorf("read took %v", took)
	}
	start = time.Now()
	// The first configuration was accepted: a leader confirms it again, and a node without one can
	// only fail with a 5xx status.
	if got := c.PutConfiguration(node, 1, 0, ""); got != http.StatusOK && got < 500 {
		c.T.Errorf("resent accepted change gets %d, want 200 or a server error", got)
	}
	if took := time.Since(start); took > limit {
		c.T.Errorf("change took %v", took)
	}
}

// configurationVersionAt reads the configuration at a node and returns its version, or
// the status code if it is not 200, or 0 without a response.
func (c *Cluster) configurationVersionAt(node string) int {
	code, raw, _ := c.request(http.MethodGet, c.nodeURL(node, controlPort, "/-/Config.Read"), "", "", nil)
	if code != http.StatusOK {
		return code
	}
	version := 0
	if n, err := fmt.Sscanf(strings.TrimSpace(string(raw)), `{"configVersion":%d`, &version); n != 1 || err != nil {
		c.T.Errorf("unexpected configuration: %.60s", raw)
	}
	return version
}

// TestChangesResentLongAfter: every node acknowledges each of many changes again after
// later changes, after a change of leader, and after all nodes were killed. A second
// change on a version that already has a successor is never acknowledged.
func TestChangesResentLongAfter(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		const changes = 60
		edges := c.nodeNames(edgeRole)
		for v := 1; v < changes; v++ {
			c.WaitUntil("a change is accepted", 5*time.Second, func() bool { return c.PutConfiguration(edges[v%len(edges)], v+1, v, "") == http.StatusOK })
		}
		resendAll := func(when string) {
			t.Helper()
			for v := 0; v < changes; v += 7 {
				for _, node := range edges {
					c.WaitUntil(when, 10*time.Second, func() bool {
						got := c.PutConfiguration(node, v+1, v, "")
						if got != http.StatusOK && got > 0 && got < 500 {
							t.Errorf("%s: resent change %d at %s gets %d", when, v+1, node, got)
						}
						return got == http.StatusOK
					})
					if got := c.PutConfiguration(node, changes+1, v, ""); got == http.StatusOK {
						t.Errorf("%s: a second change on version %d was acknowledged at %s", when, v, node)
					}
				}
			}
		}
		resendAll("after other changes")
		leader := c.Leader()
		c.Kill(leader)
		edges = without(edges, leader)
		resendAll("after a change of leader")
		for _, name := range without(c.nodeNames(""), leader) {
			c.Kill(name)
		}
		for _, name := range c.nodeNames("") {
			c.Start(name)
		}
		edges = c.nodeNames(edgeRole)
		resendAll("after all were killed")
	})
}
