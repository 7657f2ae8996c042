package raft

import (
	"testing"
	"time"
)

func TestLeadershipTransfer(t *testing.T) {
	c := newTestCluster(t, 4, "a", "b", "c")
	c.commit("1")
	old := c.leader()
	if old.TransferLeadership() != nil {
		t.Fatal("transfer failed to start")
	}
	startedAt := c.now
	c.waitUntil("another member leads", func() bool { leader := c.leader(); return leader != nil && leader != old })
	if c.now.Sub(startedAt) > 300*time.Millisecond {
		t.Errorf("the transfer took %v", c.now.Sub(startedAt))
	}
	c.commit("2")
}

// TestTransferPrefersMostRecentContact checks that of two voters with equal logs, the one with the
// most recent contact becomes the transferee.
func TestTransferPrefersMostRecentContact(t *testing.T) {
	for silent := range 2 {
		c := newTestCluster(t, 4, "a", "b", "c")
		c.commit("1")
		old := c.leader()
		others := c.others(old)
		c.waitUntil("all members have acknowledged the whole log", func() bool {
			return old.peers[others[0]].match == old.LastIndex() && old.peers[others[1]].match == old.LastIndex()
		})
		lastContact := old.peers[others[silent]].lastContact
		old.peers[others[1-silent]].lastContact = lastContact.Add(time.Millisecond)
		if old.TransferLeadership() != nil {
			t.Fatal("transfer failed to start")
		}
		if old.transfer.transferee != others[1-silent] {
			t.Errorf("transferee is %s, but %s has the most recent contact", old.transfer.transferee, others[1-silent])
		}
	}
}

func TestLeaderResumesAfterLostTimeoutNow(t *testing.T) {
	for seed := int64(0); seed < 10; seed++ {
		c := newTestCluster(t, seed, "a", "b", "c")
		c.commit("1")
		leader := c.leader()
		allAcknowledged := func() bool {
			return leader.peers[c.others(leader)[0]].match == leader.LastIndex() && leader.peers[c.others(leader)[1]].match == leader.LastIndex()
		}
		c.waitUntil("all members have acknowledged the whole log", allAcknowledged)
		term := leader.Term()
		c.dropped[MsgTimeoutNow] = true
		if leader.TransferLeadership() != nil {
			t.Fatal("transfer failed to start")
		}
		start := c.now
		for c.now.Sub(start) < testConfig.ElectionTimeout {
			c.step()
			if leader.transferring && leader.HasLease(c.now) {
				t.Fatal("has a lease during the transfer")
			}
		}
		if _, err := leader.Propose([]byte("x")); err == nil && leader.Term() == term {
			t.Fatal("resumed leadership in the term in which MsgTimeoutNow may still arrive")
		}
		c.waitUntil("the old leader resumes leadership", func() bool { return leader.LeaderReady() && leader.HasLease(c.now) })
		if c.now.Sub(start) > 2*testConfig.ElectionTimeout {
			t.Fatalf("seed %d: %v without a leader", seed, c.now.Sub(start))
		}
		c.dropped[MsgTimeoutNow] = false
		// A delayed MsgTimeoutNow of the earlier term must be ignored.
		c.nodes[c.others(leader)[0]].Step(Message{Kind: MsgTimeoutNow, From: leader.ID(), To: c.others(leader)[0], Term: term}, c.now)
		c.commit("2")
		if !leader.IsLeader() || leader.TransferLeadership() != nil {
			t.Fatal("a second transfer failed to start")
		}
		c.waitUntil("another member leads", func() bool { current := c.leader(); return current != nil && current != leader })
	}
}

func TestTransferWaitsForLastEntry(t *testing.T) {
	c := newTestCluster(t, 2, "a", "b", "c")
	c.commit("1")
	leader := c.leader()
	c.waitForAcknowledgement(leader, c.others(leader)[0])
	mustPropose(t, leader, []byte("2"))
	if leader.TransferLeadership() != nil {
		t.Fatal("transfer failed to start")
	}
	for _, message := range leader.Ready().Messages {
		if message.Kind == MsgTimeoutNow {
			t.Fatalf("%s was sent MsgTimeoutNow without the last entry", message.To)
		}
	}
	// The append with the entry was dropped with these messages; the next heartbeat sends it again.
	start := c.now
	c.waitUntil("another member leads", func() bool { current := c.leader(); return current != nil && current != leader })
	if c.now.Sub(start) > testConfig.ElectionTimeout {
		t.Fatalf("the transfer took %v", c.now.Sub(start))
	}
}
