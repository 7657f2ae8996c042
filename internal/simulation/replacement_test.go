package simulation

import (
	"slices"
	"testing"
	"time"
)

// replaceThenLose starts an empty core machine, ends an old one as soon as the new
// one may be heard of, and loses another the moment the old one's process is
// gone: what is left must go on.
func replaceThenLose(t *testing.T, pause time.Duration, leaver, second func(c *Cluster, of []string) string) {
	var lost string
	runWithFault(t, threeServers, func(c *Cluster) {
		core := c.nodeNames("edge")[:3]
		c.addNode(&node{zone: "z", name: "edge-new", ip: c.hostIP(9), role: "edge", server: true})
		c.Start("edge-new", 1)
		time.Sleep(pause)
		old := leaver(c, core)
		at := time.Now()
		c.Terminate(old)
		if took := time.Since(at); took > 6*time.Second {
			t.Errorf("ending took %v, beyond the grace", took)
		}
		left := append(slices.DeleteFunc(slices.Clone(core), func(n string) bool { return n == old }), "edge-new")
		c.WaitUntil("a leader after the change", 5*time.Second, func() bool { return slices.Contains(left, leaderKnownTo(c, left[0])) })
		lost = second(c, left)
		c.Kill(lost)
		rest := slices.DeleteFunc(slices.Clone(left), func(n string) bool { return n == lost })
		c.WaitUntil("a leader after the second loss", 4*time.Second, func() bool {
			return slices.Contains(rest, leaderKnownTo(c, rest[0]))
		})
	}, func(c *Cluster) { c.Start(lost, 1) })
}

// chooseLeader and follows choose the leader of some core machines, or another one.
func chooseLeader(c *Cluster, of []string) string { return leaderKnownTo(c, of[0]) }

func chooseFollower(c *Cluster, of []string) string {
	l := leaderKnownTo(c, of[0])
	return slices.DeleteFunc(slices.Clone(of), func(n string) bool { return n == l })[0]
}

func TestFollowerReplacedThenLeaderLost(t *testing.T) {
	replaceThenLose(t, 300*time.Millisecond, chooseFollower, chooseLeader)
}

func TestLeaderReplacedThenFollowerLost(t *testing.T) {
	replaceThenLose(t, 300*time.Millisecond, chooseLeader, chooseFollower)
}

// TestShutdownWithoutAReplacementIsImmediate: nothing is waited for in a calm core.
func TestShutdownWithoutAReplacementIsImmediate(t *testing.T) {
	runWithFault(t, threeServers, func(c *Cluster) {
		old := chooseFollower(c, c.nodeNames("edge")[:3])
		at := time.Now()
		c.Terminate(old)
		if took := time.Since(at); took > time.Second {
			t.Errorf("ending took %v", took)
		}
		c.Start(old, 1)
	}, nil)
}
