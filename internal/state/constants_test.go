package state

import "testing"

// TestBackoffEndsBeforeAWaitingJobCountsAsLost: that is after three seconds.
func TestBackoffEndsBeforeAWaitingJobCountsAsLost(t *testing.T) {
	if maxCrashBackoff.Seconds() >= 3 {
		t.Errorf("a backoff may take %v", maxCrashBackoff)
	}
}
