package api

import "testing"

// TestOperatorRequestTimeoutIsBelowOneSecond guards the response time: operators switch to another daemon after a second.
func TestOperatorRequestTimeoutIsBelowOneSecond(t *testing.T) {
	if controlRequestTimeout.Seconds() >= 1 || controlLeaderWait >= controlRequestTimeout {
		t.Errorf("controlRequestTimeout is %v, want less than 1 s and more than controlLeaderWait, %v",
			controlRequestTimeout, controlLeaderWait)
	}
}
