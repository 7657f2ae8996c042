package core

import (
	"testing"

	"tealpond/internal/link"
	"tealpond/internal/member"
)

// TestAttachKeepsTheNewestKnownState: a side daemon that is told all anew, after
// its aggregator took a snapshot, must not be told of a state older than the one
// that it spoke of last.
func TestAttachKeepsTheNewestKnownState(t *testing.T) {
	c := &Core{kids: map[string]*kid{}}
	s := &link.Stream{}
	for i, known := range []uint64{100, 120, 110} {
		c.attach(member.Renew{Worker: "w", Fence: 1, Known: known}, s)
		if want := []uint64{100, 120, 120}[i]; c.kids["w"].known != want {
			t.Errorf("after it knew %d: %d, want %d", known, c.kids["w"].known, want)
		}
	}
	c.attach(member.Renew{Worker: "w", Fence: 2, Known: 130}, s)
	if k := c.kids["w"]; k.known != 130 || k.fence != 2 || !c.unsynced {
		t.Errorf("under the next fence: %+v", k)
	}
}
