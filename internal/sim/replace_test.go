package sim

import (
	"slices"
	"testing"
	"time"
)

// replaceCore starts an empty core machine, ends an old one as soon as the new
// one may be heard of, and loses another the moment the old one's process is
// gone: what is left must go on.
func replaceCore(t *testing.T, pause time.Duration, leaver, second func(c *Cluster, of []string) string) {
	var lost string
	run(t, three, func(c *Cluster) {
		core := c.names("edge")[:3]
		c.add(&daemon{zone: "z", name: "edge-new", ip: c.ip(9), role: "edge", core: true})
		c.Start("edge-new", 1)
		time.Sleep(pause)
		old := leaver(c, core)
		at := time.Now()
		c.Term(old)
		if took := time.Since(at); took > 6*time.Second {
			t.Errorf("ending took %v, beyond the grace", took)
		}
		left := append(slices.DeleteFunc(slices.Clone(core), func(n string) bool { return n == old }), "edge-new")
		c.Until("a leader after the change", 5*time.Second, func() bool { return slices.Contains(left, leaderOf(c, left[0])) })
		lost = second(c, left)
		c.Kill(lost)
		rest := slices.DeleteFunc(slices.Clone(left), func(n string) bool { return n == lost })
		c.Until("a leader after the second loss", 4*time.Second, func() bool {
			return slices.Contains(rest, leaderOf(c, rest[0]))
		})
	}, func(c *Cluster) { c.Start(lost, 1) })
}

// leads and follows choose the leader of some core machines, or another one.
func leads(c *Cluster, of []string) string { return leaderOf(c, of[0]) }

func follows(c *Cluster, of []string) string {
	l := leaderOf(c, of[0])
	return slices.DeleteFunc(slices.Clone(of), func(n string) bool { return n == l })[0]
}

func TestFollowerReplacedThenLeaderLost(t *testing.T) {
	replaceCore(t, 300*time.Millisecond, follows, leads)
}

func TestLeaderReplacedThenFollowerLost(t *testing.T) {
	replaceCore(t, 300*time.Millisecond, leads, follows)
}

// TestLeaverWithoutAReplacementEndsAtOnce: nothing is waited for in a calm core.
func TestLeaverWithoutAReplacementEndsAtOnce(t *testing.T) {
	run(t, three, func(c *Cluster) {
		old := follows(c, c.names("edge")[:3])
		at := time.Now()
		c.Term(old)
		if took := time.Since(at); took > time.Second {
			t.Errorf("ending took %v", took)
		}
		c.Start(old, 1)
	}, nil)
}
