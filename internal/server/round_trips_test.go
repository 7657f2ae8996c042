package server

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLeaderIsHeardLate: after a second of late answers, not for a large configuration that
// holds them up for less.
func TestLeaderIsHeardLate(t *testing.T) {
	const samples = 100
	for name, c := range map[string]struct {
		roundTrip func(i int) time.Duration
		want      bool
	}{
		"in time":             {func(int) time.Duration { return maxLeaderRoundTrip }, false},
		"late":                {func(int) time.Duration { return 2 * maxLeaderRoundTrip }, true},
		"late by turns":       {func(i int) time.Duration { return maxLeaderRoundTrip * time.Duration(i%5) }, true},
		"large, now and then": {func(i int) time.Duration { return maxLeaderRoundTrip * time.Duration(4*(i/12%5/4)) }, false},
		"never answered":      {func(int) time.Duration { return 1 << 62 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			now, trips, late := time.Now(), roundTrips{}, false
			for i := range samples {
				now = now.Add(roundTripSampleInterval)
				trips.sample(now, c.roundTrip(i))
				late = late || trips.isLateFor(lateRoundTripTimeout, now)
			}
			if late != c.want {
				t.Errorf("late: %v", late)
			}
		})
	}
}

// TestLeaderThatIsHeardLateHandsOver: to the voter with the best link, if that is clearly better
// than its own, and only after a second of late answers.
func TestLeaderThatIsHeardLateHandsOver(t *testing.T) {
	const ms = time.Millisecond
	narrow, wide := linkQuality{Latency: 300 * ms, Transfer: 200 * ms}, linkQuality{Latency: 2 * ms, Transfer: 5 * ms}
	widest := linkQuality{Latency: 3 * ms, Transfer: 2 * ms}
	for name, c := range map[string]struct {
		own     linkQuality
		reports map[string]linkQuality
		late    time.Duration
		want    string // the voter that it transfers the leadership to
	}{
		"better":              {narrow, map[string]linkQuality{"b": wide}, time.Second, "b"},
		"the best":            {narrow, map[string]linkQuality{"b": widest, "c": wide}, time.Second, "b"},
		"not late for long":   {narrow, map[string]linkQuality{"b": wide}, time.Second - ms, ""},
		"no report":           {narrow, nil, time.Second, ""},
		"no better":           {wide, map[string]linkQuality{"b": widest, "c": wide}, time.Second, ""},
		"all narrow":          {narrow, map[string]linkQuality{"b": {Latency: 2 * ms, Transfer: 150 * ms}}, time.Second, ""},
		"all far":             {linkQuality{Latency: 80 * ms, Transfer: 9 * ms}, map[string]linkQuality{"b": {Latency: 80 * ms, Transfer: ms}}, time.Second, ""},
		"of one that is gone": {narrow, map[string]linkQuality{"gone": wide}, time.Second, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLeader(t)
				now := time.Now()
				h.replica.roundTrips = roundTrips{smoothed: 10 * maxLeaderRoundTrip, sampledAt: now, lateSince: now.Add(-c.late)}
				h.replica.linkTrial = linkTrial{id: now.UnixNano(), reports: c.reports}
				h.replica.linkMeasurement = linkMeasurement{kind: probeReport, quality: c.own}
				if got := h.replica.betterVoter(now); c.late >= time.Second && got != c.want {
					t.Errorf("the better one is %q", got)
				}
				h.replica.watchRoundTrips(t.Context(), now)
				if handedOver := !h.replica.node.LeaderReady(); handedOver != (c.want != "") {
					t.Errorf("handed over: %v", handedOver)
				}
			})
		})
	}
}

// TestLinksAreComparedNowAndThen: not in a leader's first seconds, nor soon after the last time.
func TestLinksAreComparedNowAndThen(t *testing.T) {
	for name, c := range map[string]struct {
		leads, sinceTrial, late time.Duration
		want                    bool
	}{
		"late":           {time.Minute, time.Minute, time.Second, true},
		"in time":        {time.Minute, time.Minute, 0, false},
		"just elected":   {time.Second, time.Minute, time.Second, false},
		"just compared":  {time.Minute, time.Second, time.Second, false},
		"compared early": {time.Minute, linkTrialInterval, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLeader(t)
				now := time.Now()
				h.replica.leadingSince = now.Add(-c.leads)
				h.replica.roundTrips = roundTrips{smoothed: 10 * maxLeaderRoundTrip, sampledAt: now, lateSince: now.Add(-c.late)}
				h.replica.linkTrial.endedAt = now.Add(-c.sinceTrial)
				h.replica.watchRoundTrips(t.Context(), now)
				if began := h.replica.linkTrial.id != 0; began != c.want {
					t.Errorf("compared: %v", began)
				}
			})
		})
	}
}
