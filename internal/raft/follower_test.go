package raft

import "testing"

// TestRejectionHint: of a log with entries 2 to 9, committed up to 4.
func TestRejectionHint(t *testing.T) {
	for _, test := range []struct {
		name        string
		index, want uint64
	}{
		{"the log ends before", 20, 9},
		{"the last entry differs", 9, 8},
		{"an earlier entry differs", 6, 5},
		{"only committed entries can agree", 5, 4},
		{"committed entries always agree", 3, 4},
		{"nothing before", 0, 9},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := followerWith(9)
			node.commitIndex = 4
			if got := node.rejectionHint(test.index); got != test.want {
				t.Errorf("hint %d, want %d", got, test.want)
			}
		})
	}
}

// TestMergeEntries: entries of the leader are added to a log with entries 2 to 5 of
// term 1.
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
		written  int // entries
	}{
		{"heartbeat", nil, false, 5, 0},
		{"all are there", entriesOf(3, 1, 1), false, 5, 0},
		{"next ones", entriesOf(6, 1, 2), true, 7, 2},
		{"some are there", entriesOf(4, 1, 1, 2), true, 6, 1},
		{"one differs", entriesOf(3, 1, 2, 2), true, 5, 2},
		{"the log gets shorter", entriesOf(3, 2), true, 3, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := followerWith(5)
			appended := node.mergeEntries(test.entries)
			if appended != test.appended || node.LastIndex() != test.last || len(node.pending.Entries) != test.written {
				t.Errorf("appended %v, last %d, %d to write", appended, node.LastIndex(), len(node.pending.Entries))
			}
			for _, entry := range test.entries {
				if term, ok := node.TermAt(entry.Index); !ok || term != entry.Term {
					t.Errorf("entry %d has term %d", entry.Index, term)
				}
			}
		})
	}
}
