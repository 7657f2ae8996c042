package state

import "testing"

// TestMaxCrashBackoffIsShorterThanLostJobLimit checks that the crash backoff of a node ends
// before a waiting job counts as lost, which is after 3 s.
func TestMaxCrashBackoffIsShorterThanLostJobLimit(t *testing.T) {
	if maxCrashBackoff.Seconds() >= 3 {
		t.Errorf("maximum crash backoff is %v, want less than 3 s", maxCrashBackoff)
	}
}
