package server

import (
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/tuning"
)

// TestLeaderIsHeardLate: after a second of late answers, not for a large configuration that
// holds them up for less.
func TestLeaderIsHeardLate(t *testing.T) {
	const samples = 100
	for name, c := range map[string]struct {
		roundTrip func(i int) time.Duration
		want      bool
	}{
		"in time":             {func(int) time.Duration { return tuning.MaxLeaderRoundTrip }, false},
		"late":                {func(int) time.Duration { return 2 * tuning.MaxLeaderRoundTrip }, true},
		"late by turns":       {func(i int) time.Duration { return tuning.MaxLeaderRoundTrip * time.Duration(i%5) }, true},
		"large, now and then": {func(i int) time.Duration { return tuning.MaxLeaderRoundTrip * time.Duration(4*(i/12%5/4)) }, false},
		"never answered":      {func(int) time.Duration { return 1 << 62 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			now, trips, late := time.Now(), roundTrips{}, false
			for i := range samples {
				now = now.Add(tuning.RoundTripSampleInterval)
				trips.sample(now, c.roundTrip(i))
				late = late || trips.isLate(now)
			}
			if late != c.want {
				t.Errorf("late: %v", late)
			}
		})
	}
}

// TestLeaderThatIsHeardLateHandsOver: but not in its first seconds, and once in so many.
func TestLeaderThatIsHeardLateHandsOver(t *testing.T) {
	for name, c := range map[string]struct {
		tenure time.Duration
		want   bool
	}{"after a while": {time.Minute, true}, "just elected": {0, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLeader(t)
				h.replica.leadingSince = time.Now().Add(-c.tenure)
				h.replica.roundTrips = roundTrips{smoothed: 10 * tuning.MaxLeaderRoundTrip, lateSince: time.Now().Add(-tuning.LateRoundTripTimeout)}
				h.replica.watchRoundTrips(time.Now())
				if handedOver := !h.replica.node.LeaderReady(); handedOver != c.want {
					t.Errorf("handed over: %v", handedOver)
				}
			})
		})
	}
}
