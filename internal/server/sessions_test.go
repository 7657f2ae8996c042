package server

import (
	"testing"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// TestReopenedSessionKeepsNewestKnownIndex: an agent that is synced again, after its
// aggregator took a snapshot, must not be sent assignments of a state older than the
// one that it named last.
func TestReopenedSessionKeepsNewestKnownIndex(t *testing.T) {
	replica := newReplica()
	stream := &transport.Stream{}
	for i, known := range []uint64{100, 120, 110} {
		replica.openSession(&rpc.LeaseRenewal{Worker: "w", Fence: 1, KnownIndex: known}, stream)
		if want := []uint64{100, 120, 120}[i]; replica.sessions["w"].knownIndex != want {
			t.Errorf("after it knew %d: %d, want %d", known, replica.sessions["w"].knownIndex, want)
		}
	}
	replica.openSession(&rpc.LeaseRenewal{Worker: "w", Fence: 2, KnownIndex: 130}, stream)
	if session := replica.sessions["w"]; session.knownIndex != 130 || session.fence != 2 || !replica.sessionsUnsynced {
		t.Errorf("under the next fence: %+v", session)
	}
}
