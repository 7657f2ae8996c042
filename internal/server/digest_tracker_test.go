package server

import (
	"testing"

	"tealpond/internal/raft"
)

// TestDigestCount checks the verdict for replica "a", whose digest is 1, for different reports of
// the other voters.
func TestDigestCount(t *testing.T) {
	const index = 500
	voters := func(n int) []raft.Member {
		return []raft.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}[:n]
	}
	for _, test := range []struct {
		name     string
		voters   int
		reported map[string]uint64
		verdict  digestVerdict
		majority uint64
		distinct int
	}{
		{"single voter", 1, nil, digestsConfirmed, 1, 1},
		{"one of two is no majority", 2, nil, digestsUndecided, 0, 1},
		{"two of three", 3, map[string]uint64{"b": 1}, digestsConfirmed, 1, 1},
		{"one of three differs", 3, map[string]uint64{"b": 2}, digestsUndecided, 0, 2},
		{"both others have the same other digest", 3, map[string]uint64{"b": 2, "c": 2}, digestsDiverged, 2, 2},
		{"all of three differ", 3, map[string]uint64{"b": 2, "c": 3}, digestsDisagree, 0, 3},
		{"one of two differs", 2, map[string]uint64{"b": 2}, digestsDisagree, 0, 2},
		{"reports of non-voters do not count", 3, map[string]uint64{"x": 1, "y": 1}, digestsUndecided, 0, 1},
		{"two against two of five", 5, map[string]uint64{"b": 1, "c": 2, "d": 2}, digestsUndecided, 0, 2},
		{"a report on this replica does not count", 3, map[string]uint64{"a": 2, "b": 2}, digestsUndecided, 0, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDigestTracker()
			if count := d.count(index, "a", voters(test.voters)); count != (digestCount{}) {
				t.Fatalf("counted without a local digest: %+v", count)
			}
			d.addLocal(index, 1)
			for member, digest := range test.reported {
				d.addReported(member, index, digest)
			}
			if count, want := d.count(index, "a", voters(test.voters)), (digestCount{test.verdict, test.majority, test.distinct}); count != want {
				t.Errorf("count is %+v, want %+v", count, want)
			}
			if d.decided[index] != (test.verdict != digestsUndecided) {
				t.Errorf("decided: %v", d.decided[index])
			}
			if count := d.count(index, "a", voters(test.voters)); test.verdict != digestsUndecided && count != (digestCount{}) {
				t.Errorf("decided index counted again: %+v", count)
			}
		})
	}
}

// TestDigestCompare checks that a replica whose digest differs from the agreed one is found to have
// diverged exactly once, whichever of the two digests is known first.
func TestDigestCompare(t *testing.T) {
	d := newDigestTracker()
	d.addLocal(500, 1)
	if d.compare(500, 1) || d.divergedAt != 0 {
		t.Error("diverged with an equal digest")
	}
	if d.compare(1000, 2) || d.divergedAt != 0 {
		t.Error("diverged without a local digest")
	}
	agreed, known := d.addLocal(1000, 3)
	if !known || agreed != 2 {
		t.Fatalf("the agreed digest was lost: %d, %v", agreed, known)
	}
	if !d.compare(1000, agreed) || d.divergedAt != 1000 {
		t.Error("different digest not detected")
	}
	if d.compare(500, 9) || d.divergedAt != 1000 {
		t.Error("divergence reported twice")
	}
	if _, known := d.addLocal(1000, 3); known {
		t.Error("agreed digest returned twice")
	}
}

// TestExpiredDigestsAreDiscarded checks that digests too old to be compared are discarded.
func TestExpiredDigestsAreDiscarded(t *testing.T) {
	const retainedUntil = retainedDigests*digestInterval + 1
	d := newDigestTracker()
	for index := uint64(1); index <= 2; index++ {
		d.addLocal(index, 1)
		d.compare(index+10, 1) // kept as agreed
		d.addReported("b", index, 1)
		d.decided[index] = true
	}
	d.addLocal(retainedUntil+1, 1)
	if len(d.local) != 2 || d.local[2] != 1 || len(d.reported) != 1 || len(d.decided) != 1 || len(d.agreed) != 2 {
		t.Errorf("retained digests: %+v", d)
	}
	if d.discardLocal(); len(d.local) != 0 || len(d.agreed) != 2 {
		t.Errorf("digests after the state was replaced: %+v", d)
	}
}
