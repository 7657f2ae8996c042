package state

import (
	"testing"
)

// TestEntriesApplyOnlyInOrder: an entry that does not follow the state, and a
// snapshot at another index than its state's, are never applied.
func TestEntriesApplyOnlyInOrder(t *testing.T) {
	f := newFixture(t)
	entry := encodeBatch(Batch{Commands: []EncodedCommand{EncodeCommand("sweep", &CollectGarbage{})}})
	for name, act := range map[string]func(){
		"again": func() { f.store.ApplyEntry(f.store.AppliedIndex, entry) },
		"gap":   func() { f.store.ApplyEntry(f.store.AppliedIndex+2, entry) },
		"skip":  func() { f.store.SkipEntry(f.store.AppliedIndex + 2) },
	} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s: applied", name)
				}
			}()
			act()
		}()
	}
	at := f.store.AppliedIndex
	f.store.SkipEntry(at + 1)
	c := f.restored().store
	if c.BindSnapshotIndex(at+1) != nil || c.BindSnapshotIndex(at) == nil || c.BindSnapshotIndex(at+2) == nil {
		t.Errorf("a state at %d is bound to another entry", c.AppliedIndex)
	}
	if n := New(Limits{}); n.BindSnapshotIndex(7) != nil || n.AppliedIndex != 7 {
		t.Error("an empty state does not take its snapshot's index")
	}
}
