package raft

import "testing"

func TestLeaderLeadsOnAfterALostTransfer(t *testing.T) {
	for seed := int64(0); seed < 10; seed++ {
		n := newNet(t, seed, "a", "b", "c")
		n.put("1")
		l := n.lead()
		heard := func() bool {
			return l.peers[n.others(l)[0]].match == l.LastIndex() && l.peers[n.others(l)[1]].match == l.LastIndex()
		}
		n.until("all have it", heard)
		term := l.Term()
		n.lose[MsgTransfer] = true
		if !l.Transfer() {
			t.Fatal("no hand-over")
		}
		start := n.now
		for n.now.Sub(start) < testTiming.Elect {
			n.step()
			if l.leaving && l.Lease(n.now) {
				t.Fatal("trusts its lease while it hands over")
			}
		}
		if _, ok := l.Propose([]byte("x")); ok && l.Term() == term {
			t.Fatal("leads on in the term in which the order may still arrive")
		}
		n.until("leads on", func() bool { return l.Ready() && l.Lease(n.now) })
		if n.now.Sub(start) > 2*testTiming.Elect {
			t.Fatalf("seed %d: %v without a leader", seed, n.now.Sub(start))
		}
		n.lose[MsgTransfer] = false
		// The lost order arrives after all: it is of an older term.
		n.nodes[n.others(l)[0]].Step(Msg{Kind: MsgTransfer, From: l.Me(), To: n.others(l)[0], Term: term}, n.now)
		n.put("2")
		if !l.Leads() || !l.Transfer() {
			t.Fatal("can't hand over once more")
		}
		n.until("another leads", func() bool { x := n.lead(); return x != nil && x != l })
	}
}

func TestTransferWaitsForTheLastEntry(t *testing.T) {
	n := newNet(t, 2, "a", "b", "c")
	n.put("1")
	l := n.lead()
	n.until("acknowledged", func() bool { return l.peers[n.others(l)[0]].match == l.LastIndex() })
	l.Propose([]byte("2"))
	if !l.Transfer() {
		t.Fatal("nobody to hand over to")
	}
	for _, m := range l.Take().Now {
		if m.Kind == MsgTransfer {
			t.Fatalf("%s is told to lead without the last entry", m.To)
		}
	}
	// The entry was lost with that; the next heartbeat brings it.
	start := n.now
	n.until("another leads", func() bool { x := n.lead(); return x != nil && x != l })
	if n.now.Sub(start) > testTiming.Elect {
		t.Fatalf("handing over took %v", n.now.Sub(start))
	}
}
