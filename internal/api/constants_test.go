package api

import "testing"

// TestOperatorsGetTheResponseWithinASecond: after that they turn to another daemon.
func TestOperatorsGetTheResponseWithinASecond(t *testing.T) {
	if controlRequestTimeout.Seconds() >= 1 || controlLeaderWait >= controlRequestTimeout {
		t.Errorf("an operator's request takes %v, of which %v wait for a leader", controlRequestTimeout, controlLeaderWait)
	}
}
