package server

import (
	"testing"

	"tealpond/internal/bootstrap"
	"tealpond/internal/timing"
)

// TestConstantRelations checks the relations between constants that the server relies on.
func TestConstantRelations(t *testing.T) {
	for name, holds := range map[string]bool{
		"snapshots are taken at digests":                  SnapshotInterval%digestInterval == 0,
		"a snapshot leaves fewer entries than it covers":  snapshotTrailingEntries < SnapshotInterval,
		"a candidate expires after several announcements": candidateExpiry > 3*bootstrap.AnnounceInterval,
		"an aggregator waits longer than an election":     aggregatorRequestTimeout > timing.ExpectedElectionTime && aggregatorLeaderLossTimeout > timing.ExpectedElectionTime,
	} {
		if !holds {
			t.Errorf("relation does not hold: %s", name)
		}
	}
}
