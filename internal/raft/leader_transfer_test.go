package raft

import "testing"

func TestLeaderResumesAfterLostTransfer(t *testing.T) {
	for seed := int64(0); seed < 10; seed++ {
		n := newTestCluster(t, seed, "a", "b", "c")
		n.commit("1")
		l := n.leader()
		heard := func() bool {
			return l.peers[n.others(l)[0]].match == l.LastIndex() && l.peers[n.others(l)[1]].match == l.LastIndex()
		}
		n.until("all have it", heard)
		term := l.Term()
		n.dropped[MsgTimeoutNow] = true
		if !l.TransferLeadership() {
			t.Fatal("no hand-over")
		}
		start := n.now
		for n.now.Sub(start) < testConfig.ElectionTimeout {
			n.step()
			if l.transferring && l.HasLease(n.now) {
				t.Fatal("trusts its lease while it hands over")
			}
		}
		if _, ok := l.Propose([]byte("x")); ok && l.Term() == term {
			t.Fatal("leads on in the term in which the order may still arrive")
		}
		n.until("leads on", func() bool { return l.LeaderReady() && l.HasLease(n.now) })
		if n.now.Sub(start) > 2*testConfig.ElectionTimeout {
			t.Fatalf("seed %d: %v without a leader", seed, n.now.Sub(start))
		}
		n.dropped[MsgTimeoutNow] = false
		// The lost order arrives after all: it is of an older term.
		n.nodes[n.others(l)[0]].Step(Message{Kind: MsgTimeoutNow, From: l.ID(), To: n.others(l)[0], Term: term}, n.now)
		n.commit("2")
		if !l.IsLeader() || !l.TransferLeadership() {
			t.Fatal("can't hand over once more")
		}
		n.until("another leads", func() bool { x := n.leader(); return x != nil && x != l })
	}
}

func TestTransferWaitsForTheLastEntry(t *testing.T) {
	n := newTestCluster(t, 2, "a", "b", "c")
	n.commit("1")
	l := n.leader()
	n.until("acknowledged", func() bool { return l.peers[n.others(l)[0]].match == l.LastIndex() })
	l.Propose([]byte("2"))
	if !l.TransferLeadership() {
		t.Fatal("nobody to hand over to")
	}
	for _, m := range l.Ready().Messages {
		if m.Kind == MsgTimeoutNow {
			t.Fatalf("%s is told to lead without the last entry", m.To)
		}
	}
	// The entry was lost with that; the next heartbeat brings it.
	start := n.now
	n.until("another leads", func() bool { x := n.leader(); return x != nil && x != l })
	if n.now.Sub(start) > testConfig.ElectionTimeout {
		t.Fatalf("handing over took %v", n.now.Sub(start))
	}
}
