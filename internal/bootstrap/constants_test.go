package bootstrap

import "testing"

// TestCandidateTTLCoversSeveralAnnouncements checks that a candidate does not expire until more than three
// announcement intervals have passed.
func TestCandidateTTLCoversSeveralAnnouncements(t *testing.T) {
	if candidateTTL <= 3*AnnounceInterval {
		t.Errorf("candidates expire after %v, want more than three intervals of %v", candidateTTL, AnnounceInterval)
	}
}
