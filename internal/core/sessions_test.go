package core

import (
	"testing"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// TestAttachKeepsTheNewestKnownState: a side daemon that is told all anew, after
// its aggregator took a snapshot, must not be told of a state older than the one
// that it spoke of last.
func TestAttachKeepsTheNewestKnownState(t *testing.T) {
	c := &Core{sessions: map[string]*sideSession{}}
	stream := &transport.Stream{}
	for i, known := range []uint64{100, 120, 110} {
		c.openSession(rpc.LeaseRenewal{Worker: "w", Fence: 1, KnownIndex: known}, stream)
		if want := []uint64{100, 120, 120}[i]; c.sessions["w"].known != want {
			t.Errorf("after it knew %d: %d, want %d", known, c.sessions["w"].known, want)
		}
	}
	c.openSession(rpc.LeaseRenewal{Worker: "w", Fence: 2, KnownIndex: 130}, stream)
	if session := c.sessions["w"]; session.known != 130 || session.fence != 2 || !c.sessionsUnsynced {
		t.Errorf("under the next fence: %+v", session)
	}
}
