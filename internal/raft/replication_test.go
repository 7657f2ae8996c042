package raft

import (
	"slices"
	"testing"
	"time"
)

// others are the voters beside the leader, in order.
func (n *testNet) others(l *Node) []string {
	return slices.DeleteFunc(n.names(), func(x string) bool { return x == l.Me() })
}

func TestMemberThatLostWhatItAcknowledgedCountsNoMore(t *testing.T) {
	for seed := int64(0); seed < 10; seed++ {
		n := newNet(t, seed, "a", "b", "c")
		n.put("1")
		l := n.lead()
		gone, third := n.others(l)[0], n.others(l)[1]
		old := *n.disks[gone]
		n.put("2")
		n.put("3")
		n.until("all have it", func() bool { return n.has(gone, "3") && n.has(third, "3") })
		n.kill(gone)
		n.disks[gone] = &old
		n.start(gone)
		n.until("told", func() bool { return slices.Equal(l.Faulty(), []string{gone}) })
		n.until("a lease from the third", func() bool { return l.Lease(n.now) })
		n.cut[l.Me()+">"+third] = true
		settled := l.Commit()
		l.Propose([]byte("4"))
		for range 30 {
			n.step()
		}
		if l.Commit() > settled {
			t.Fatalf("seed %d: committed with the help of a disk that forgets", seed)
		}
		n.cut[l.Me()+">"+third] = false
		n.put("5")
	}
}

func TestLateRefusalDoesNoHarm(t *testing.T) {
	n := newNet(t, 1, "a", "b", "c")
	n.put("1")
	l := n.lead()
	x := n.others(l)[0]
	n.until("acknowledged", func() bool { return l.peers[x].match == l.LastIndex() })
	first := l.stamped
	n.put("2")
	n.until("acknowledged", func() bool { return l.peers[x].match == l.LastIndex() })
	n.put("3")
	late := Msg{Kind: MsgAppendAnswer, From: x, To: l.Me(), Term: l.Term(), Reject: true, Index: 1, LogTerm: l.Term(), Sent: first}
	for _, late.Commit = range []uint64{2, l.LastIndex()} {
		l.Step(late, n.now)
		if l.peers[x].probing || len(l.Faulty()) > 0 {
			t.Fatalf("a late refusal of index %d was taken for a new one", late.Commit)
		}
	}
	// A thawed leader's message is refused for its term; nothing is said of the log.
	f := n.nodes[x]
	f.Take()
	f.Step(Msg{Kind: MsgAppend, From: l.Me(), To: x, Term: l.Term() - 1, Index: 90, Sent: l.stamped + 1}, n.now)
	o := f.Take()
	l.Step(append(o.Now, o.After...)[0], n.now)
	if l.peers[x].probing || len(l.Faulty()) > 0 {
		t.Fatal("a refusal of an older term was taken for one of this log")
	}
}

func TestSteadyStampsOnly(t *testing.T) {
	n := newNet(t, 1, "a", "b", "c")
	n.put("1")
	l := n.lead()
	l.Tick(n.now.Add(testTiming.Beat))
	for _, m := range l.Take().Now {
		if m.Kind == MsgAppend && m.Sent > int64(n.now.Add(time.Second).Sub(l.started)) {
			t.Fatalf("stamp %d holds the time of day, which may jump", m.Sent)
		}
	}
}

// TestMemberBehindTheLogWithOpenWindow: the entries that a member lacks are no
// longer held when it answers again. (Without the mend this never ends.)
func TestMemberBehindTheLogWithOpenWindow(t *testing.T) {
	n := newNet(t, 1, "a", "b", "c")
	n.put("1")
	l := n.lead()
	x := n.others(l)[0]
	n.until("acknowledged", func() bool { return l.peers[x].match == l.LastIndex() })
	n.cut[x+">"+l.Me()], n.cut[l.Me()+">"+x] = true, true
	for range 9 {
		n.put("2")
	}
	l.Drop(l.Applied())
	p := l.peers[x]
	p.next = p.match + 2 // large entries: one in each append
	l.Step(Msg{Kind: MsgAppendAnswer, From: x, To: l.Me(), Term: l.Term(), Index: p.match + 1, Sent: l.stamped}, n.now)
	sent := false
	for _, m := range l.Take().Now {
		sent = sent || m.Kind == MsgPoint && m.To == x
	}
	if !sent {
		t.Fatal("no snapshot for a member that lacks what is no longer held")
	}
}
