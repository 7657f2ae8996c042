package state

import (
	"testing"
)

// TestEntriesApplyOnlyInOrder checks that an entry that does not directly follow the last
// applied one is refused, and that a snapshot is refused if its index differs from that
// of its state.
func TestEntriesApplyOnlyInOrder(t *testing.T) {
	f := newFixture(t)
	entry := encodeBatch(Batch{Commands: []EncodedCommand{EncodeCommand("sweep", &CollectGarbage{})}})
	for name, applyEntry := range map[string]func(){
		"again": func() { f.store.ApplyEntry(f.store.AppliedIndex, entry) },
		"gap":   func() { f.store.ApplyEntry(f.store.AppliedIndex+2, entry) },
		"skip":  func() { f.store.SkipEntry(f.store.AppliedIndex + 2) },
	} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s: the entry was applied, want a panic", name)
				}
			}()
			applyEntry()
		}()
	}
	at := f.store.AppliedIndex
	f.store.SkipEntry(at + 1)
	r := f.restored().store
	if r.BindSnapshotIndex(at+1) != nil || r.BindSnapshotIndex(at) == nil || r.BindSnapshotIndex(at+2) == nil {
		t.Errorf("state at index %d accepts a snapshot index other than its own, or refuses its own", r.AppliedIndex)
	}
	if n := New(Limits{}); n.BindSnapshotIndex(7) != nil || n.AppliedIndex != 7 {
		t.Error("an empty state does not adopt the index of its snapshot")
	}
}
