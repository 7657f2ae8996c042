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
		t.Fatal("no voter to hand over to")
	}
	startedAt := c.now
	c.until("another leads", func() bool { leader := c.leader(); return leader != nil && leader != old })
	if c.now.Sub(startedAt) > 300*time.Millisecond {
		t.Errorf("the transfer took %v", c.now.Sub(startedAt))
	}
	c.commit("2")
}

// TestTransferToTheVoterHeardLast: of two voters with the same log, the one that is still
// heard takes over, whichever it is.
func TestTransferToTheVoterHeardLast(t *testing.T) {
	for silent := range 2 {
		c := newTestCluster(t, 4, "a", "b", "c")
		c.commit("1")
		old := c.leader()
		others := c.others(old)
		c.until("all have acknowledged all", func() bool {
			return old.peers[others[0]].match == old.LastIndex() && old.peers[others[1]].match == old.LastIndex()
		})
		lastContact := old.peers[others[silent]].lastContact
		old.peers[others[1-silent]].lastContact = lastContact.Add(time.Millisecond)
		if old.TransferLeadership() != nil {
			t.Fatal("no voter to hand over to")
		}
		if old.transfer.transferee != others[1-silent] {
			t.Errorf("%s is to lead, %s was heard last", old.transfer.transferee, others[1-silent])
		}
	}
}

func TestLeaderResumesAfterLostTransfer(t *testing.T) {
	for seed := int64(0); seed < 10; seed++ {
		c := newTestCluster(t, seed, "a", "b", "c")
		c.commit("1")
		leader := c.leader()
		allAcknowledged := func() bool {
			return leader.peers[c.others(leader)[0]].match == leader.LastIndex() && leader.peers[c.others(leader)[1]].match == leader.LastIndex()
		}
		c.until("all have acknowledged all", allAcknowledged)
		term := leader.Term()
		c.dropped[MsgTimeoutNow] = true
		if leader.TransferLeadership() != nil {
			t.Fatal("no transfer")
		}
		start := c.now
		for c.now.Sub(start) < testConfig.ElectionTimeout {
			c.step()
			if leader.transferring && leader.HasLease(c.now) {
				t.Fatal("trusts its lease while it hands over")
			}
		}
		if _, err := leader.Propose([]byte("x")); err == nil && leader.Term() == term {
			t.Fatal("leads on in the term in which the message may still arrive")
		}
		c.until("leads on", func() bool { return leader.LeaderReady() && leader.HasLease(c.now) })
		if c.now.Sub(start) > 2*testConfig.ElectionTimeout {
			t.Fatalf("seed %d: %v without a leader", seed, c.now.Sub(start))
		}
		c.dropped[MsgTimeoutNow] = false
		// The lost message arrives after all: it is of an older term.
		c.nodes[c.others(leader)[0]].Step(Message{Kind: MsgTimeoutNow, From: leader.ID(), To: c.others(leader)[0], Term: term}, c.now)
		c.commit("2")
		if !leader.IsLeader() || leader.TransferLeadership() != nil {
			t.Fatal("can't transfer again")
		}
		c.until("another leads", func() bool { current := c.leader(); return current != nil && current != leader })
	}
}

func TestTransferWaitsForTheLastEntry(t *testing.T) {
	c := newTestCluster(t, 2, "a", "b", "c")
	c.commit("1")
	leader := c.leader()
	c.untilAcknowledged(leader, c.others(leader)[0])
	mustPropose(t, leader, []byte("2"))
	if leader.TransferLeadership() != nil {
		t.Fatal("no voter to hand over to")
	}
	for _, message := range leader.Ready().Messages {
		if message.Kind == MsgTimeoutNow {
			t.Fatalf("%s is told to lead without the last entry", message.To)
		}
	}
	// The entry was lost with that; the next heartbeat brings it.
	start := c.now
	c.until("another leads", func() bool { current := c.leader(); return current != nil && current != leader })
	if c.now.Sub(start) > testConfig.ElectionTimeout {
		t.Fatalf("the transfer took %v", c.now.Sub(start))
	}
}
