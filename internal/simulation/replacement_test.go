package simulation

import (
	"slices"
	"testing"
	"time"
)

// replaceThenLose starts a new server, terminates an old one as soon as the new one may
// be known, and kills another when the old one has ended. What is left must go on.
func replaceThenLose(t *testing.T, pause time.Duration, chooseLeaving, chooseLost func(c *Cluster, of []string) string) {
	t.Helper()
	var lost string
	runWithFault(t, threeServers, func(c *Cluster) {
		servers := c.Servers()
		c.addNode(&node{zone: "z", name: "edge-new", ip: c.hostIP(9), role: edgeRole, server: true})
		c.Start("edge-new")
		time.Sleep(pause)
		leaving := chooseLeaving(c, servers)
		start := time.Now()
		c.Terminate(leaving)
		if took := time.Since(start); took > 6*time.Second {
			t.Errorf("ending took %v, beyond the grace", took)
		}
		remaining := append(without(servers, leaving), "edge-new")
		c.WaitUntil("a leader after the change", 5*time.Second, func() bool { return slices.Contains(remaining, c.leaderKnownTo(remaining[0])) })
		lost = chooseLost(c, remaining)
		c.Kill(lost)
		rest := without(remaining, lost)
		c.WaitUntil("a leader after the second loss", 4*time.Second, func() bool {
			return slices.Contains(rest, c.leaderKnownTo(rest[0]))
		})
	}, func(c *Cluster) { c.Start(lost) })
}

// chooseLeader returns the leader of some servers.
func chooseLeader(c *Cluster, of []string) string { return c.leaderKnownTo(of[0]) }

// chooseFollower returns a server that doesn't lead.
func chooseFollower(c *Cluster, of []string) string {
	return without(of, c.leaderKnownTo(of[0]))[0]
}

func TestFollowerReplacedThenLeaderLost(t *testing.T) {
	replaceThenLose(t, 300*time.Millisecond, chooseFollower, chooseLeader)
}

func TestLeaderReplacedThenFollowerLost(t *testing.T) {
	replaceThenLose(t, 300*time.Millisecond, chooseLeader, chooseFollower)
}

// TestShutdownWithoutAReplacementIsImmediate: a server that may end waits for nothing.
func TestShutdownWithoutAReplacementIsImmediate(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		leaving := chooseFollower(c, c.Servers())
		start := time.Now()
		c.Terminate(leaving)
		if took := time.Since(start); took > time.Second {
			t.Errorf("ending took %v", took)
		}
		c.Start(leaving)
	}, nil)
}
