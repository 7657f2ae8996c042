package raft

import (
	"slices"
	"testing"
	"time"
)

// newFollower returns a member "b" whose log holds entries 2 to last of term 1.
func newFollower(last uint64) *Node {
	var entries []Entry
	for index := uint64(2); index <= last; index++ {
		entries = append(entries, Entry{Index: index, Term: 1, Data: []byte("x")})
	}
	voters := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	return New("b", HardState{Term: 1}, Snapshot{Index: 1, Voters: voters}, entries, time.Unix(1000, 0), testConfig, 1)
}

// receive passes a message to the node. The sender defaults to "a" and the term to the node's term.
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

// snapshotAtNine returns a snapshot up to entry 9 of the given term.
func snapshotAtNine(term uint64) *Snapshot {
	return &Snapshot{Index: 9, Term: term, Voters: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, Data: []byte("s")}
}

func TestSnapshotIsNotAcknowledgedBeforeItIsSynced(t *testing.T) {
	node := newFollower(1)
	node.receive(Message{Kind: MsgSnapshot, Snapshot: snapshotAtNine(1), SendStamp: 1})
	first := node.Ready()
	if first.Snapshot == nil || len(first.Messages) > 0 || len(first.MessagesAfterSync) != 1 {
		t.Fatalf("unexpected ready %+v", first)
	}
	// The acknowledgement of an append below the commit index depends on the snapshot too.
	node.receive(Message{Kind: MsgAppend, Index: 7, LogTerm: 1, Entries: []Entry{{Index: 8, Term: 1}}, SendStamp: 2})
	if ready := node.Ready(); len(ready.Messages) > 0 || len(ready.MessagesAfterSync) != 1 {
		t.Fatalf("acknowledged before the sync: %+v", ready.Messages)
	}
	node.WriteSynced(first.WriteToken)
	node.receive(Message{Kind: MsgAppend, Index: 7, LogTerm: 1, Entries: []Entry{{Index: 8, Term: 1}}, SendStamp: 3})
	if ready := node.Ready(); len(ready.Messages) != 1 || ready.Messages[0].Index != 9 {
		t.Fatalf("not acknowledged after the sync: %+v", ready)
	}
}

func TestSnapshotKeepsMatchingSuffix(t *testing.T) {
	node := newFollower(12)
	node.receive(Message{Kind: MsgSnapshot, Snapshot: snapshotAtNine(1), SendStamp: 1})
	ready := node.Ready()
	if node.LastIndex() != 12 || ready.Snapshot != nil {
		t.Fatalf("last entry %d, snapshot %v: entries after the snapshot are lost", node.LastIndex(), ready.Snapshot)
	}
	if committed := node.NextCommittedEntries(); len(committed) != 8 || committed[7].Index != 9 {
		t.Fatalf("%d entries committed, want the 8 up to the snapshot", len(committed))
	}
	if responses := slices.Concat(ready.Messages, ready.MessagesAfterSync); len(responses) != 1 || responses[0].Reject || responses[0].Index != 9 {
		t.Fatalf("responses %+v", responses)
	}
}

func TestSnapshotReplacesConflictingLog(t *testing.T) {
	node := newFollower(12)
	node.receive(Message{Kind: MsgSnapshot, Term: 2, Snapshot: snapshotAtNine(2), SendStamp: 1})
	if ready := node.Ready(); node.LastIndex() != 9 || ready.Snapshot == nil || ready.WriteToken.SnapshotIndex != 9 {
		t.Fatalf("last entry %d, ready %+v", node.LastIndex(), ready)
	}
}

func TestNoCommittedEntriesWhileSnapshotIsPending(t *testing.T) {
	node := newFollower(3)
	node.receive(Message{Kind: MsgSnapshot, Snapshot: snapshotAtNine(1), SendStamp: 1})
	node.receive(Message{Kind: MsgAppend, Index: 9, LogTerm: 1, Entries: []Entry{{Index: 10, Term: 1, Data: []byte("y")}}, Commit: 10, SendStamp: 2})
	if committed := node.NextCommittedEntries(); len(committed) > 0 {
		t.Fatalf("entry %d returned while the owner has the old state", committed[0].Index)
	}
	if ready := node.Ready(); ready.Snapshot == nil || len(ready.Entries) != 1 {
		t.Fatalf("ready %+v", ready)
	}
	if committed := node.NextCommittedEntries(); len(committed) != 1 || committed[0].Index != 10 {
		t.Fatalf("committed %v after the snapshot", committed)
	}
}

func TestSupersededWriteDoesNotSyncReappendedEntry(t *testing.T) {
	node := newFollower(1)
	entry := func(term uint64) []Entry { return []Entry{{Index: 2, Term: term}} }
	node.receive(Message{Kind: MsgAppend, Term: 1, Index: 1, Entries: entry(1), SendStamp: 1})
	first := node.Ready()
	node.receive(Message{Kind: MsgAppend, Term: 2, From: "c", Index: 1, Entries: entry(2), SendStamp: 1})
	second := node.Ready()
	node.receive(Message{Kind: MsgAppend, Term: 3, Index: 1, Entries: entry(1), SendStamp: 1})
	third := node.Ready()
	node.WriteSynced(first.WriteToken)
	if node.syncedIndex >= 2 {
		t.Fatal("the first write counts as synced, although the second one removes the entry")
	}
	node.WriteSynced(second.WriteToken)
	node.WriteSynced(third.WriteToken)
	if node.syncedIndex != 2 {
		t.Fatalf("synced index %d after all writes, want 2", node.syncedIndex)
	}
}

// TestRestoredCommitIsAppliedWithoutKnownLeader checks that a restarted member applies the
// entries up to its stored commit index, as far as its log goes, in batches of the
// configured size.
func TestRestoredCommitIsAppliedWithoutKnownLeader(t *testing.T) {
	for _, test := range []struct{ stored, want uint64 }{{0, 1}, {5, 5}, {9, 9}, {100, 9}} {
		config := testConfig
		config.MaxCommittedEntries = 3
		var entries []Entry
		for index := uint64(2); index <= 9; index++ {
			entries = append(entries, Entry{Index: index, Term: 1})
		}
		voters := []Member{testMember("a"), testMember("b"), testMember("c")}
		node := New("b", HardState{Term: 1}, Snapshot{Index: 1, Voters: voters}, entries, time.Unix(1000, 0), config, 1)
		node.RestoreCommit(test.stored)
		applied := uint64(1)
		for committed := node.NextCommittedEntries(); len(committed) > 0; committed = node.NextCommittedEntries() {
			if len(committed) > config.MaxCommittedEntries || committed[0].Index != applied+1 {
				t.Errorf("stored commit index %d: %d entries from %d returned after %d",
					test.stored, len(committed), committed[0].Index, applied)
			}
			applied = committed[len(committed)-1].Index
		}
		if applied != test.want || node.AppliedIndex() != test.want {
			t.Errorf("stored commit index %d: applied up to %d, want %d", test.stored, applied, test.want)
		}
	}
}
