package raft

import (
	"fmt"
	"testing"
	"time"
)

func TestLearnerReplacesWipedVoter(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		c := newTestCluster(t, seed, "a", "b", "c")
		c.commit("1")
		c.commit("2")
		leader := c.leader()
		wiped := "a"
		if leader.ID() == "a" {
			wiped = "b"
		}
		c.kill(wiped)
		c.commit("3")
		c.start("d")
		leader.AddLearner(Member{Node: "node-" + wiped, ID: "d", Addr: "d"})
		c.waitUntil("the learner has caught up", func() bool { return leader.CaughtUp("d") })
		var remaining []Member
		for _, member := range leader.Voters() {
			if member.ID != wiped {
				remaining = append(remaining, member)
			}
		}
		if err := leader.ProposeConfChange(remaining); err != nil {
			t.Fatal(err)
		}
		c.waitUntil("the removal is committed", func() bool { return leader.ConfIndex() <= leader.CommitIndex() })
		if leader.ProposeConfChange(append(remaining, Member{Node: "node-" + wiped, ID: "d", Addr: "d"})) != nil {
			t.Fatal("second configuration change not accepted")
		}
		c.waitUntil("the addition is committed", func() bool { return leader.ConfIndex() <= leader.CommitIndex() && c.nodes["d"].IsVoter("d") })
		c.commit("4")
		c.waitUntil("the added member has applied all commands", func() bool { return c.hasApplied("d", "4") && c.hasApplied("d", "1") })
	}
}

func TestKilledLeaderIsReplaced(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		c := newTestCluster(t, seed, "a", "b", "c")
		c.commit("1")
		killed := c.leader().ID()
		c.kill(killed)
		killedAt := c.now
		c.commit("2")
		if gap := c.now.Sub(killedAt); gap > 2500*time.Millisecond {
			t.Errorf("seed %d: %v without a leader", seed, gap)
		}
		c.start(killed)
		c.waitUntil("the killed leader has caught up", func() bool { return c.hasApplied(killed, "2") })
	}
}

func TestLeaderBehindOneWayPartitionStepsDown(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		c := newTestCluster(t, seed, "a", "b", "c")
		c.commit("1")
		cutOff := c.leader().ID()
		// The leader's messages reach the others, but theirs don't reach the leader.
		for _, id := range []string{"a", "b", "c"} {
			c.cutLinks[id+">"+cutOff] = true
		}
		c.waitUntil("another member leads", func() bool { leader := c.leader(); return leader != nil && leader.ID() != cutOff })
		c.commit("2")
		for _, id := range []string{"a", "b", "c"} {
			c.cutLinks[id+">"+cutOff] = false
		}
		c.waitUntil("the old leader follows", func() bool { return !c.nodes[cutOff].IsLeader() && c.hasApplied(cutOff, "2") })
	}
}

func TestPausedLeaderHasNoLease(t *testing.T) {
	c := newTestCluster(t, 1, "a", "b", "c")
	c.commit("1")
	old := c.leader()
	paused := c.nodes[old.ID()]
	delete(c.nodes, old.ID())
	c.waitUntil("another member leads", func() bool { return c.leader() != nil })
	if paused.HasLease(c.now) {
		t.Fatal("a paused leader still has its lease after another one was elected")
	}
	c.commit("2")
	c.nodes[old.ID()] = paused
	c.waitUntil("the paused leader follows", func() bool { return !paused.IsLeader() && c.hasApplied(old.ID(), "2") })
}

func TestLeaderWithStalledDiskStillCommits(t *testing.T) {
	c := newTestCluster(t, 3, "a", "b", "c")
	c.commit("1")
	c.stalledDisks[c.leader().ID()] = true
	c.commit("2")
	c.commit("3")
}

func TestRestartOfAllMembers(t *testing.T) {
	c := newTestCluster(t, 5, "a", "b", "c", "d", "e")
	for i := range 9 {
		c.commit(fmt.Sprint(i))
	}
	for _, id := range c.ids() {
		c.kill(id)
	}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		c.start(id)
	}
	c.commit("z")
	c.waitUntil("all members have applied all commands", func() bool {
		for _, id := range c.ids() {
			if !c.hasApplied(id, "z") || !c.hasApplied(id, "8") {
				return false
			}
		}
		return true
	})
}
