package raft

import (
	"testing"
	"time"
)

// followerWith is a member "b" whose log holds entries 2 to last of term 1.
func followerWith(last uint64) *Node {
	var log []Entry
	for i := uint64(2); i <= last; i++ {
		log = append(log, Entry{Index: i, Term: 1, Data: []byte("x")})
	}
	voters := []Voter{{Disk: "a"}, {Disk: "b"}, {Disk: "c"}}
	return New("b", Hard{Term: 1}, Point{Index: 1, Conf: voters}, log, time.Unix(1000, 0), testTiming, 1)
}

func (n *Node) give(m Msg) {
	m.To = n.me
	if m.From == "" {
		m.From = "a"
	}
	if m.Term == 0 {
		m.Term = n.term
	}
	n.Step(m, n.now)
}

func snapshotAt(index, term uint64) *Point {
	return &Point{Index: index, Term: term, Conf: []Voter{{Disk: "a"}, {Disk: "b"}, {Disk: "c"}}, Data: []byte("s")}
}

func TestSnapshotIsNotAcknowledgedBeforeItIsSynced(t *testing.T) {
	n := followerWith(1)
	n.give(Msg{Kind: MsgPoint, Point: snapshotAt(9, 1), Sent: 1})
	first := n.Take()
	if first.Point == nil || len(first.Now) > 0 || len(first.After) != 1 {
		t.Fatalf("snapshot handed out as %+v", first)
	}
	// An append below what is committed rests on the snapshot too.
	n.give(Msg{Kind: MsgAppend, Index: 7, LogTerm: 1, Entries: []Entry{{Index: 8, Term: 1}}, Sent: 2})
	if o := n.Take(); len(o.Now) > 0 || len(o.After) != 1 {
		t.Fatalf("acknowledged before the sync: %+v", o.Now)
	}
	n.Synced(first.Mark)
	n.give(Msg{Kind: MsgAppend, Index: 7, LogTerm: 1, Entries: []Entry{{Index: 8, Term: 1}}, Sent: 3})
	if o := n.Take(); len(o.Now) != 1 || o.Now[0].Index != 9 {
		t.Fatalf("not acknowledged after it: %+v", o)
	}
}

func TestSnapshotKeepsAMatchingSuffix(t *testing.T) {
	n := followerWith(12)
	n.give(Msg{Kind: MsgPoint, Point: snapshotAt(9, 1), Sent: 1})
	o := n.Take()
	if n.LastIndex() != 12 || o.Point != nil {
		t.Fatalf("last entry %d, snapshot %v: entries above it are gone", n.LastIndex(), o.Point)
	}
	if got := n.Settled(); len(got) != 8 || got[7].Index != 9 {
		t.Fatalf("settled %d entries, not those up to the snapshot", len(got))
	}
	if a := append(o.Now, o.After...); len(a) != 1 || a[0].Reject || a[0].Index != 9 {
		t.Fatalf("answered %+v", a)
	}
}

func TestSnapshotReplacesALogThatDiffers(t *testing.T) {
	n := followerWith(12)
	n.give(Msg{Kind: MsgPoint, Term: 2, Point: snapshotAt(9, 2), Sent: 1})
	if o := n.Take(); n.LastIndex() != 9 || o.Point == nil || o.Mark.Point != 9 {
		t.Fatalf("last entry %d, out %+v", n.LastIndex(), o)
	}
}

func TestNothingSettledBeforeThePendingSnapshotIsTaken(t *testing.T) {
	n := followerWith(3)
	n.give(Msg{Kind: MsgPoint, Point: snapshotAt(9, 1), Sent: 1})
	n.give(Msg{Kind: MsgAppend, Index: 9, LogTerm: 1, Entries: []Entry{{Index: 10, Term: 1, Data: []byte("y")}}, Commit: 10, Sent: 2})
	if got := n.Settled(); len(got) > 0 {
		t.Fatalf("entry %d handed out while the caller has the old state", got[0].Index)
	}
	if o := n.Take(); o.Point == nil || len(o.Entries) != 1 {
		t.Fatalf("out %+v", o)
	}
	if got := n.Settled(); len(got) != 1 || got[0].Index != 10 {
		t.Fatalf("settled %v after the snapshot", got)
	}
}

func TestOldWriteProvesNothingOfAnEntryThatCameBack(t *testing.T) {
	n := followerWith(1)
	entry := func(term uint64) []Entry { return []Entry{{Index: 2, Term: term}} }
	n.give(Msg{Kind: MsgAppend, Term: 1, Index: 1, Entries: entry(1), Sent: 1})
	first := n.Take()
	n.give(Msg{Kind: MsgAppend, Term: 2, From: "c", Index: 1, Entries: entry(2), Sent: 1})
	second := n.Take()
	n.give(Msg{Kind: MsgAppend, Term: 3, Index: 1, Entries: entry(1), Sent: 1})
	third := n.Take()
	n.Synced(first.Mark)
	if n.synced >= 2 {
		t.Fatal("an older write is taken as proof; the one after it removes the entry")
	}
	n.Synced(second.Mark)
	n.Synced(third.Mark)
	if n.synced != 2 {
		t.Fatalf("synced %d after all writes", n.synced)
	}
}
