package server

import (
	"testing"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// TestReopenedSessionKeepsNewestKnownIndex checks that an agent that is synced again, after its
// aggregator installed a snapshot, is not sent assignments of a state older than the newest one
// that it has reported.
func TestReopenedSessionKeepsNewestKnownIndex(t *testing.T) {
	replica := newReplica()
	stream := &transport.Stream{}
	for i, known := range []uint64{100, 120, 110} {
		replica.openSession(&rpc.LeaseRenewal{Worker: "w", Fence: 1, KnownIndex: known}, stream)
		if want := []uint64{100, 120, 120}[i]; replica.sessions["w"].knownIndex != want {
			t.Errorf("after a renewal with known index %d: %d, want %d", known, replica.sessions["w"].knownIndex, want)
		}
	}
	replica.openSession(&rpc.LeaseRenewal{Worker: "w", Fence: 2, KnownIndex: 130}, stream)
	if session := replica.sessions["w"]; session.knownIndex != 130 || session.fence != 2 || !replica.sessionsUnsynced {
		t.Errorf("after a renewal under the next fence: %+v", session)
	}
}

// TestSessionsOfReplacedRunnersAreDropped checks that the session of a replaced runner is removed: an
// agent continues with each new incarnation of its runner on the same stream.
func TestSessionsOfReplacedRunnersAreDropped(t *testing.T) {
	replica := newReplica()
	replica.state.Workers["old"] = &state.Worker{ID: "old", Dead: true}
	replica.state.Workers["other"] = &state.Worker{ID: "other"}
	stream := &transport.Stream{}
	for _, worker := range []string{"old", "other", "not-applied-yet", "new"} {
		replica.openSession(&rpc.LeaseRenewal{Worker: worker, Fence: 1}, stream)
	}
	for worker, kept := range map[string]bool{"old": false, "other": true, "not-applied-yet": true, "new": true} {
		if replica.sessions[worker] != nil != kept {
			t.Errorf("session of %s: kept %v", worker, !kept)
		}
	}
}
