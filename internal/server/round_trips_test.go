package server

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/tuning"
)

// TestLeaderThatIsHeardLateHandsOver: after a second of late answers, but not in its first
// seconds, and not for answers that are late now and then.
func TestLeaderThatIsHeardLateHandsOver(t *testing.T) {
	late := tuning.MaxLeaderRoundTrip + time.Millisecond
	for name, c := range map[string]struct {
		tenure    time.Duration
		roundTrip func(i int) time.Duration
		want      bool
	}{
		"in time":      {time.Minute, func(int) time.Duration { return tuning.MaxLeaderRoundTrip }, false},
		"late":         {time.Minute, func(int) time.Duration { return late }, true},
		"now and then": {time.Minute, func(i int) time.Duration { return late * time.Duration(i%5) }, false},
		"just elected": {0, func(int) time.Duration { return late }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replica := newLeader(t).replica
				replica.leadingSince = time.Now().Add(-c.tenure)
				for i := range 15 {
					replica.handleRoundTrip(time.Now(), c.roundTrip(i))
					time.Sleep(tuning.HeartbeatInterval)
				}
				handedOver := false
				for _, message := range replica.node.Ready().Messages {
					handedOver = handedOver || message.Kind == raft.MsgTimeoutNow
				}
				if handedOver != c.want {
					t.Errorf("handed over: %v", handedOver)
				}
			})
		})
	}
}
