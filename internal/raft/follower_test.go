package raft

import "testing"

// TestRejectionHint uses a log with entries 2 to 9, of which those up to 4 are committed.
func TestRejectionHint(t *testing.T) {
	for _, test := range []struct {
		name        string
		index, want uint64
	}{
		{"log ends before the index", 20, 9},
		{"last entry differs", 9, 8},
		{"earlier entry differs", 6, 5},
		{"entry after the committed ones differs", 5, 4},
		{"committed entries always match", 3, 4},
		{"index zero", 0, 9},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := newFollower(9)
			node.commitIndex = 4
			if got := node.rejectionHint(test.index); got != test.want {
				t.Errorf("hint %d, want %d", got, test.want)
			}
		})
	}
}

// TestMergeEntries merges entries of the leader into a log with entries 2 to 5 of term 1.
func TestMergeEntries(t *testing.T) {
	entriesOf := func(first uint64, terms ...uint64) []Entry {
		var entries []Entry
		for i, term := range terms {
			entries = append(entries, Entry{Index: first + uint64(i), Term: term})
		}
		return entries
	}
	for _, test := range []struct {
		name     string
		entries  []Entry
		appended bool
		last     uint64
		written  int // number of entries to write
	}{
		{"heartbeat", nil, false, 5, 0},
		{"all present", entriesOf(3, 1, 1), false, 5, 0},
		{"following entries", entriesOf(6, 1, 2), true, 7, 2},
		{"some present", entriesOf(4, 1, 1, 2), true, 6, 1},
		{"conflicting entry", entriesOf(3, 1, 2, 2), true, 5, 2},
		{"log becomes shorter", entriesOf(3, 2), true, 3, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := newFollower(5)
			appended := node.mergeEntries(test.entries)
			if appended != test.appended || node.LastIndex() != test.last || len(node.pending.Entries) != test.written {
				t.Errorf("appended %v, last index %d, %d entries to write", appended, node.LastIndex(), len(node.pending.Entries))
			}
			for _, entry := range test.entries {
				if term, ok := node.TermAt(entry.Index); !ok || term != entry.Term {
					t.Errorf("entry %d has term %d", entry.Index, term)
				}
			}
		})
	}
}
