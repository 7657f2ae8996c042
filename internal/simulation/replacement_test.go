package simulation

import (
	"slices"
	"testing"
	"time"
)

// replaceThenKill starts a new server, terminates an old one after pause, and kills
// another one once the old one has terminated. The remaining servers must elect a
// leader.
func replaceThenKill(t *testing.T, pause time.Duration, chooseLeaving, chooseLost func(c *Cluster, of []string) string) {
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
			t.Errorf("termination took %v, want at most 6 s", took)
		}
		remaining := append(without(servers, leaving), "edge-new")
		c.WaitUntil("a leader after the replacement", 5*time.Second, func() bool { return slices.Contains(remaining, c.leaderKnownTo(remaining[0])) })
		lost = chooseLost(c, remaining)
		c.Kill(lost)
		rest := without(remaining, lost)
		c.WaitUntil("a leader after the second loss", 4*time.Second, func() bool {
			return slices.Contains(rest, c.leaderKnownTo(rest[0]))
		})
	}, func(c *Cluster) { c.Start(lost) })
}

// chooseLeader returns the leader that the first of the servers knows.
func chooseLeader(c *Cluster, of []string) string { return c.leaderKnownTo(of[0]) }

// chooseFollower returns a server that is not the leader.
func chooseFollower(c *Cluster, of []string) string {
	return without(of, c.leaderKnownTo(of[0]))[0]
}

func TestFollowerReplacedThenLeaderLost(t *testing.T) {
	replaceThenKill(t, 300*time.Millisecond, chooseFollower, chooseLeader)
}

func TestLeaderReplacedThenFollowerLost(t *testing.T) {
	replaceThenKill(t, 300*time.Millisecond, chooseLeader, chooseFollower)
}

// TestShutdownWithoutReplacementIsImmediate: a server whose termination leaves a
// majority does not wait before it terminates.
func TestShutdownWithoutReplacementIsImmediate(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		leaving := chooseFollower(c, c.Servers())
		start := time.Now()
		c.Terminate(leaving)
		if took := time.Since(start); took > time.Second {
			t.Errorf("termination took %v, want at most 1 s", took)
		}
		c.Start(leaving)
	}, nil)
}
