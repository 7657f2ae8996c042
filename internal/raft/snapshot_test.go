package raft

import (
	"testing"
	"time"
)

// followerWith is a member "b" whose log holds entries 2 to last of term 1.
func followerWith(last uint64) *Node {
	var entries []Entry
	for i := uint64(2); i <= last; i++ {
		entries = append(entries, Entry{Index: i, Term: 1, Data: []byte("x")})
	}
	voters := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	return New("b", HardState{Term: 1}, Snapshot{Index: 1, Voters: voters}, entries, time.Unix(1000, 0), testConfig, 1)
}

func (n *Node) receive(m Message) {
	m.To = n.id
	if m.From == "" {
		m.From = "a"
	}
	if m.Term == 0 {
		m.Term = n.term
	}
	n.Step(m, n.now)
}

func snapshotAt(index, term uint64) *Snapshot {
	return &Snapshot{Index: index, Term: term, Voters: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Data: []byte("s")}
}

func TestSnapshotIsNotAcknowledgedBeforeItIsSynced(t *testing.T) {
	n := followerWith(1)
	n.receive(Message{Kind: MsgSnapshot, Snapshot: snapshotAt(9, 1), SendStamp: 1})
	first := n.Ready()
	if first.Snapshot == nil || len(first.Messages) > 0 || len(first.MessagesAfterSync) != 1 {
		t.Fatalf("snapshot handed out as %+v", first)
	}
	// An append below what is committed rests on the snapshot too.
	n.receive(Message{Kind: MsgAppend, Index: 7, LogTerm: 1, Entries: []Entry{{Index: 8, Term: 1}}, SendStamp: 2})
	if o := n.Ready(); len(o.Messages) > 0 || len(o.MessagesAfterSync) != 1 {
		t.Fatalf("acknowledged before the sync: %+v", o.Messages)
	}
	n.WriteSynced(first.WriteToken)
	n.receive(Message{Kind: MsgAppend, Index: 7, LogTerm: 1, Entries: []Entry{{Index: 8, Term: 1}}, SendStamp: 3})
	if o := n.Ready(); len(o.Messages) != 1 || o.Messages[0].Index != 9 {
		t.Fatalf("not acknowledged after it: %+v", o)
	}
}

func TestSnapshotKeepsAMatchingSuffix(t *testing.T) {
	n := followerWith(12)
	n.receive(Message{Kind: MsgSnapshot, Snapshot: snapshotAt(9, 1), SendStamp: 1})
	o := n.Ready()
	if n.LastIndex() != 12 || o.Snapshot != nil {
		t.Fatalf("last entry %d, snapshot %v: entries above it are gone", n.LastIndex(), o.Snapshot)
	}
	if got := n.NextCommittedEntries(); len(got) != 8 || got[7].Index != 9 {
		t.Fatalf("settled %d entries, not those up to the snapshot", len(got))
	}
	if a := append(o.Messages, o.MessagesAfterSync...); len(a) != 1 || a[0].Reject || a[0].Index != 9 {
		t.Fatalf("answered %+v", a)
	}
}

func TestSnapshotReplacesConflictingLog(t *testing.T) {
	n := followerWith(12)
	n.receive(Message{Kind: MsgSnapshot, Term: 2, Snapshot: snapshotAt(9, 2), SendStamp: 1})
	if o := n.Ready(); n.LastIndex() != 9 || o.Snapshot == nil || o.WriteToken.SnapshotIndex != 9 {
		t.Fatalf("last entry %d, out %+v", n.LastIndex(), o)
	}
}

func TestNoCommittedEntriesWhileSnapshotIsPending(t *testing.T) {
	n := followerWith(3)
	n.receive(Message{Kind: MsgSnapshot, Snapshot: snapshotAt(9, 1), SendStamp: 1})
	n.receive(Message{Kind: MsgAppend, Index: 9, LogTerm: 1, Entries: []Entry{{Index: 10, Term: 1, Data: []byte("y")}}, Commit: 10, SendStamp: 2})
	if got := n.NextCommittedEntries(); len(got) > 0 {
		t.Fatalf("entry %d handed out while the caller has the old state", got[0].Index)
	}
	if o := n.Ready(); o.Snapshot == nil || len(o.Entries) != 1 {
		t.Fatalf("out %+v", o)
	}
	if got := n.NextCommittedEntries(); len(got) != 1 || got[0].Index != 10 {
		t.Fatalf("settled %v after the snapshot", got)
	}
}

func TestSupersededWriteDoesNotProveReappearedEntry(t *testing.T) {
	n := followerWith(1)
	entry := func(term uint64) []Entry { return []Entry{{Index: 2, Term: term}} }
	n.receive(Message{Kind: MsgAppend, Term: 1, Index: 1, Entries: entry(1), SendStamp: 1})
	first := n.Ready()
	n.receive(Message{Kind: MsgAppend, Term: 2, From: "c", Index: 1, Entries: entry(2), SendStamp: 1})
	second := n.Ready()
	n.receive(Message{Kind: MsgAppend, Term: 3, Index: 1, Entries: entry(1), SendStamp: 1})
	third := n.Ready()
	n.WriteSynced(first.WriteToken)
	if n.syncedIndex >= 2 {
		t.Fatal("an older write is taken as proof; the one after it removes the entry")
	}
	n.WriteSynced(second.WriteToken)
	n.WriteSynced(third.WriteToken)
	if n.syncedIndex != 2 {
		t.Fatalf("synced %d after all writes", n.syncedIndex)
	}
}
