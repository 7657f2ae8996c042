package raft

import (
	"slices"
	"testing"
	"time"
)

// others are the voters beside the leader, in order.
func (c *testCluster) others(leader *Node) []string {
	return slices.DeleteFunc(c.names(), func(x string) bool { return x == leader.ID() })
}

func TestMemberThatLostAcknowledgedEntriesIsNotCounted(t *testing.T) {
	for seed := int64(0); seed < 10; seed++ {
		n := newTestCluster(t, seed, "a", "b", "c")
		n.commit("1")
		l := n.leader()
		gone, third := n.others(l)[0], n.others(l)[1]
		old := *n.disks[gone]
		n.commit("2")
		n.commit("3")
		n.until("all have it", func() bool { return n.hasApplied(gone, "3") && n.hasApplied(third, "3") })
		n.kill(gone)
		n.disks[gone] = &old
		n.start(gone)
		n.until("told", func() bool { return slices.Equal(l.FaultyPeers(), []string{gone}) })
		n.until("a lease from the third", func() bool { return l.HasLease(n.now) })
		n.cut[l.ID()+">"+third] = true
		settled := l.CommitIndex()
		l.Propose([]byte("4"))
		for range 30 {
			n.step()
		}
		if l.CommitIndex() > settled {
			t.Fatalf("seed %d: committed with the help of a disk that forgets", seed)
		}
		n.cut[l.ID()+">"+third] = false
		n.commit("5")
	}
}

func TestStaleRejectionIsIgnored(t *testing.T) {
	n := newTestCluster(t, 1, "a", "b", "c")
	n.commit("1")
	l := n.leader()
	x := n.others(l)[0]
	n.until("acknowledged", func() bool { return l.peers[x].match == l.LastIndex() })
	first := l.lastStamp
	n.commit("2")
	n.until("acknowledged", func() bool { return l.peers[x].match == l.LastIndex() })
	n.commit("3")
	late := Message{Kind: MsgAppendResponse, From: x, To: l.ID(), Term: l.Term(), Reject: true, Index: 1, LogTerm: l.Term(), SendStamp: first}
	for _, late.Commit = range []uint64{2, l.LastIndex()} {
		l.Step(late, n.now)
		if l.peers[x].probing || len(l.FaultyPeers()) > 0 {
			t.Fatalf("a late refusal of index %d was taken for a new one", late.Commit)
		}
	}
	// A thawed leader's message is refused for its term; nothing is said of the log.
	f := n.nodes[x]
	f.Ready()
	f.Step(Message{Kind: MsgAppend, From: l.ID(), To: x, Term: l.Term() - 1, Index: 90, SendStamp: l.lastStamp + 1}, n.now)
	o := f.Ready()
	l.Step(append(o.Messages, o.MessagesAfterSync...)[0], n.now)
	if l.peers[x].probing || len(l.FaultyPeers()) > 0 {
		t.Fatal("a refusal of an older term was taken for one of this log")
	}
}

func TestStampsUseTheMonotonicClock(t *testing.T) {
	n := newTestCluster(t, 1, "a", "b", "c")
	n.commit("1")
	l := n.leader()
	l.Tick(n.now.Add(testConfig.HeartbeatInterval))
	for _, m := range l.Ready().Messages {
		if m.Kind == MsgAppend && m.SendStamp > int64(n.now.Add(time.Second).Sub(l.startedAt)) {
			t.Fatalf("stamp %d holds the time of day, which may jump", m.SendStamp)
		}
	}
}

// TestFollowerBehindCompactedLogGetsSnapshot: the entries that a member lacks are no
// longer held when it answers again. (Without the mend this never ends.)
func TestFollowerBehindCompactedLogGetsSnapshot(t *testing.T) {
	n := newTestCluster(t, 1, "a", "b", "c")
	n.commit("1")
	l := n.leader()
	x := n.others(l)[0]
	n.until("acknowledged", func() bool { return l.peers[x].match == l.LastIndex() })
	n.cut[x+">"+l.ID()], n.cut[l.ID()+">"+x] = true, true
	for range 9 {
		n.commit("2")
	}
	l.Compact(l.AppliedIndex())
	p := l.peers[x]
	p.next = p.match + 2 // large entries: one in each append
	l.Step(Message{Kind: MsgAppendResponse, From: x, To: l.ID(), Term: l.Term(), Index: p.match + 1, SendStamp: l.lastStamp}, n.now)
	sent := false
	for _, m := range l.Ready().Messages {
		sent = sent || m.Kind == MsgSnapshot && m.To == x
	}
	if !sent {
		t.Fatal("no snapshot for a member that lacks what is no longer held")
	}
}
