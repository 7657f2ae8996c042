package raft

import (
	"slices"
	"testing"
	"time"
)

// others returns the sorted IDs of the running members except the leader.
func (c *testCluster) others(leader *Node) []string {
	return slices.DeleteFunc(c.ids(), func(id string) bool { return id == leader.ID() })
}

// waitForAcknowledgement waits until a follower has acknowledged the leader's whole log.
func (c *testCluster) waitForAcknowledgement(leader *Node, follower string) {
	c.t.Helper()
	c.waitUntil("the follower has acknowledged the whole log", func() bool { return leader.peers[follower].match == leader.LastIndex() })
}

func TestMemberThatLostAcknowledgedEntriesIsExcluded(t *testing.T) {
	for seed := int64(0); seed < 10; seed++ {
		c := newTestCluster(t, seed, "a", "b", "c")
		c.commit("1")
		leader := c.leader()
		faulty, third := c.others(leader)[0], c.others(leader)[1]
		earlierDisk := *c.disks[faulty]
		c.commit("2")
		c.commit("3")
		c.waitUntil("all members have applied 3", func() bool { return c.hasApplied(faulty, "3") && c.hasApplied(third, "3") })
		c.kill(faulty)
		c.disks[faulty] = &earlierDisk
		c.start(faulty)
		c.waitUntil("the faulty member is reported", func() bool { return slices.Equal(leader.FaultyPeers(), []string{faulty}) })
		c.waitUntil("a lease confirmed by the third member", func() bool { return leader.HasLease(c.now) })
		c.cutLinks[leader.ID()+">"+third] = true
		before := leader.CommitIndex()
		mustPropose(t, leader, []byte("4"))
		for range 30 {
			c.step()
		}
		if leader.CommitIndex() > before {
			t.Fatalf("seed %d: committed with the acknowledgement of a member that lost entries", seed)
		}
		c.cutLinks[leader.ID()+">"+third] = false
		c.commit("5")
	}
}

func TestStaleRejectionIsIgnored(t *testing.T) {
	c := newTestCluster(t, 1, "a", "b", "c")
	c.commit("1")
	leader := c.leader()
	follower := c.others(leader)[0]
	c.waitForAcknowledgement(leader, follower)
	first := leader.lastStamp
	c.commit("2")
	c.waitForAcknowledgement(leader, follower)
	c.commit("3")
	rejection := Message{
		Kind: MsgAppendResponse, From: follower, To: leader.ID(), Term: leader.Term(),
		Reject: true, Index: 1, LogTerm: leader.Term(), SendStamp: first,
	}
	for _, rejection.Commit = range []uint64{2, leader.LastIndex()} {
		leader.Step(rejection, c.now)
		if leader.peers[follower].probing || len(leader.FaultyPeers()) > 0 {
			t.Fatalf("stale rejection of index %d was not ignored", rejection.Commit)
		}
	}
	// An append of a leader of an older term is rejected because of its term, which says
	// nothing about the log.
	node := c.nodes[follower]
	node.Ready()
	node.Step(Message{
		Kind: MsgAppend, From: leader.ID(), To: follower, Term: leader.Term() - 1, Index: 90, SendStamp: leader.lastStamp + 1,
	}, c.now)
	ready := node.Ready()
	leader.Step(append(ready.Messages, ready.MessagesAfterSync...)[0], c.now)
	if leader.peers[follower].probing || len(leader.FaultyPeers()) > 0 {
		t.Fatal("the rejection of an append of an older term was not ignored")
	}
}

func TestStampsUseMonotonicClock(t *testing.T) {
	c := newTestCluster(t, 1, "a", "b", "c")
	c.commit("1")
	leader := c.leader()
	leader.Tick(c.now.Add(testConfig.HeartbeatInterval))
	for _, message := range leader.Ready().Messages {
		if message.Kind == MsgAppend && message.SendStamp > int64(c.now.Add(time.Second).Sub(leader.startedAt)) {
			t.Fatalf("stamp %d is based on the wall clock, which may jump", message.SendStamp)
		}
	}
}

// TestFollowerBehindCompactedLogGetsSnapshot guards against an endless loop that occurred when
// a member responded again after the entries that it lacks were compacted.
func TestFollowerBehindCompactedLogGetsSnapshot(t *testing.T) {
	c := newTestCluster(t, 1, "a", "b", "c")
	c.commit("1")
	leader := c.leader()
	follower := c.others(leader)[0]
	c.waitForAcknowledgement(leader, follower)
	c.cutLinks[follower+">"+leader.ID()], c.cutLinks[leader.ID()+">"+follower] = true, true
	for range 9 {
		c.commit("2")
	}
	leader.Compact(leader.AppliedIndex())
	peer := leader.peers[follower]
	peer.next = peer.match + 2 // as with large entries, of which each append contains one
	leader.Step(Message{
		Kind: MsgAppendResponse, From: follower, To: leader.ID(), Term: leader.Term(), Index: peer.match + 1, SendStamp: leader.lastStamp,
	}, c.now)
	sent := false
	for _, message := range leader.Ready().Messages {
		sent = sent || message.Kind == MsgSnapshot && message.To == follower
	}
	if !sent {
		t.Fatal("no snapshot sent to a member that lacks compacted entries")
	}
}

// TestQuorumRoundTrip checks that the round trip is the time within which a majority, including the
// leader itself, has responded, and that it is unknown without responses.
func TestQuorumRoundTrip(t *testing.T) {
	c := newTestCluster(t, 1, "a", "b", "c", "d", "e")
	c.commit("1")
	leader := c.leader()
	for i, id := range c.others(leader) {
		leader.peers[id].lastAckedSend, leader.peers[id].roundTrip = leader.now, time.Duration(i+1)*time.Second
	}
	if got := leader.QuorumRoundTrip(); got != 2*time.Second {
		t.Errorf("quorum round trip %v, want 2s", got)
	}
	for _, peer := range leader.peers {
		peer.lastAckedSend = time.Time{}
	}
	if got := leader.QuorumRoundTrip(); got < time.Hour {
		t.Errorf("quorum round trip %v without any response", got)
	}
}
