package server

import (
	"testing"

	"tealpond/internal/raft"
)

// TestDigestCount: replica "a" has digest 1; what the others report decides.
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
		{"alone", 1, nil, digestsConfirmed, 1, 1},
		{"half of two is no majority", 2, nil, digestsUndecided, 0, 1},
		{"two of three", 3, map[string]uint64{"b": 1}, digestsConfirmed, 1, 1},
		{"one of three differs", 3, map[string]uint64{"b": 2}, digestsUndecided, 0, 2},
		{"both others differ alike", 3, map[string]uint64{"b": 2, "c": 2}, digestsDiverged, 2, 2},
		{"all of three differ", 3, map[string]uint64{"b": 2, "c": 3}, digestsDisagree, 0, 3},
		{"one of two differs", 2, map[string]uint64{"b": 2}, digestsDisagree, 0, 2},
		{"who is no voter does not count", 3, map[string]uint64{"x": 1, "y": 1}, digestsUndecided, 0, 1},
		{"two and two of five", 5, map[string]uint64{"b": 1, "c": 2, "d": 2}, digestsUndecided, 0, 2},
		{"what another says of this replica does not count", 3, map[string]uint64{"a": 2, "b": 2}, digestsUndecided, 0, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDigestTracker()
			if count := d.count(index, "a", voters(test.voters)); count != (digestCount{}) {
				t.Fatalf("counted without an own digest: %+v", count)
			}
			d.addOwn(index, 1)
			for member, digest := range test.reported {
				d.addReported(member, index, digest)
			}
			if count, want := d.count(index, "a", voters(test.voters)), (digestCount{test.verdict, test.majority, test.distinct}); count != want {
				t.Errorf("%+v, want %+v", count, want)
			}
			if d.decided[index] != (test.verdict != digestsUndecided) {
				t.Errorf("decided: %v", d.decided[index])
			}
			if count := d.count(index, "a", voters(test.voters)); test.verdict != digestsUndecided && count != (digestCount{}) {
				t.Errorf("counted twice: %+v", count)
			}
		})
	}
}

// TestDigestCompare: a replica that differs from the agreed digest has diverged, once,
// in whichever order the two are known.
func TestDigestCompare(t *testing.T) {
	d := newDigestTracker()
	d.addOwn(500, 1)
	if d.compare(500, 1) || d.divergedAt != 0 {
		t.Error("it diverged with an equal digest")
	}
	if d.compare(1000, 2) || d.divergedAt != 0 {
		t.Error("it diverged without a digest of its own")
	}
	agreed, known := d.addOwn(1000, 3)
	if !known || agreed != 2 {
		t.Fatalf("the agreed digest was lost: %d, %v", agreed, known)
	}
	if !d.compare(1000, agreed) || d.divergedAt != 1000 {
		t.Error("it did not diverge")
	}
	if d.compare(500, 9) || d.divergedAt != 1000 {
		t.Error("it diverged twice")
	}
	if _, known := d.addOwn(1000, 3); known {
		t.Error("an agreed digest is given back twice")
	}
}

// TestOldDigestsAreDropped: those further back than can be compared.
func TestOldDigestsAreDropped(t *testing.T) {
	const last = digestsKept*digestInterval + 1
	d := newDigestTracker()
	for index := uint64(1); index <= 2; index++ {
		d.addOwn(index, 1)
		d.compare(index+10, 1) // kept as agreed
		d.addReported("b", index, 1)
		d.decided[index] = true
	}
	d.addOwn(last+1, 1)
	if len(d.own) != 2 || d.own[2] != 1 || len(d.reported) != 1 || len(d.decided) != 1 || len(d.agreed) != 2 {
		t.Errorf("kept: %+v", d)
	}
	if d.discardOwn(); len(d.own) != 0 || len(d.agreed) != 2 {
		t.Errorf("after its state was replaced: %+v", d)
	}
}
