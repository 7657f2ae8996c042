package bootstrap

import "testing"

// TestAnnouncementsFitIntoACandidatesTime: three of them.
func TestAnnouncementsFitIntoACandidatesTime(t *testing.T) {
	if candidateTTL <= 3*AnnounceInterval {
		t.Errorf("a candidate counts for %v after an announcement, the next is due after %v", candidateTTL, AnnounceInterval)
	}
}
