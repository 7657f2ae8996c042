package server

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestRoundTripsDetectSustainedDelay checks that late responses are detected after
// lateRoundTripTimeout, and that a large configuration that delays responses for less time has no
// effect.
func TestRoundTripsDetectSustainedDelay(t *testing.T) {
	const samples = 100
	for name, test := range map[string]struct {
		roundTrip func(i int) time.Duration
		want      bool
	}{
		"on time":                 {func(int) time.Duration { return maxLeaderRoundTrip }, false},
		"late":                    {func(int) time.Duration { return 2 * maxLeaderRoundTrip }, true},
		"alternately late":        {func(i int) time.Duration { return maxLeaderRoundTrip * time.Duration(i%5) }, true},
		"large messages at times": {func(i int) time.Duration { return maxLeaderRoundTrip * time.Duration(4*(i/12%5/4)) }, false},
		"no response":             {func(int) time.Duration { return 1 << 62 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			now, trips, late := time.Now(), roundTrips{}, false
			for i := range samples {
				now = now.Add(roundTripSampleInterval)
				trips.sample(now, test.roundTrip(i))
				late = late || trips.lateForAtLeast(lateRoundTripTimeout, now)
			}
			if late != test.want {
				t.Errorf("detected as late: %v", late)
			}
		})
	}
}

// TestLeaderTransfersToVoterWithBetterLink checks that a leader whose responses have been late for
// a second transfers leadership to the voter with the best link, if that link is clearly better
// than its own.
func TestLeaderTransfersToVoterWithBetterLink(t *testing.T) {
	const ms = time.Millisecond
	narrow, wide := linkQuality{Latency: 300 * ms, Transfer: 200 * ms}, linkQuality{Latency: 2 * ms, Transfer: 5 * ms}
	widest := linkQuality{Latency: 3 * ms, Transfer: 2 * ms}
	for name, test := range map[string]struct {
		own     linkQuality
		reports map[string]linkQuality
		lateFor time.Duration
		want    string // the voter that leadership is transferred to, "" for none
	}{
		"one better":                {narrow, map[string]linkQuality{"b": wide}, time.Second, "b"},
		"best of two":               {narrow, map[string]linkQuality{"b": widest, "c": wide}, time.Second, "b"},
		"not late for long enough":  {narrow, map[string]linkQuality{"b": wide}, time.Second - ms, ""},
		"no report":                 {narrow, nil, time.Second, ""},
		"none clearly better":       {wide, map[string]linkQuality{"b": widest, "c": wide}, time.Second, ""},
		"all links narrow":          {narrow, map[string]linkQuality{"b": {Latency: 2 * ms, Transfer: 150 * ms}}, time.Second, ""},
		"all distant":               {linkQuality{Latency: 80 * ms, Transfer: 9 * ms}, map[string]linkQuality{"b": {Latency: 80 * ms, Transfer: ms}}, time.Second, ""},
		"report of a former member": {narrow, map[string]linkQuality{"gone": wide}, time.Second, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLeader(t)
				now := time.Now()
				h.replica.roundTrips = roundTrips{smoothed: 10 * maxLeaderRoundTrip, sampledAt: now, lateSince: now.Add(-test.lateFor)}
				h.replica.linkTrial = linkTrial{id: now.UnixNano(), reports: test.reports}
				h.replica.linkMeasurement = linkMeasurement{kind: probeReport, quality: test.own}
				if got := h.replica.voterWithBetterLink(now); test.lateFor >= time.Second && got != test.want {
					t.Errorf("voter with the better link is %q", got)
				}
				h.replica.watchRoundTrips(t.Context(), now)
				if transferred := !h.replica.node.LeaderReady(); transferred != (test.want != "") {
					t.Errorf("leadership transferred: %v", transferred)
				}
			})
		})
	}
}

// TestLinkTrialIsRateLimited checks that links are not compared soon after the election or after
// the last comparison.
func TestLinkTrialIsRateLimited(t *testing.T) {
	for name, test := range map[string]struct {
		leadingFor, sinceTrial, lateFor time.Duration
		want                            bool
	}{
		"late":            {time.Minute, time.Minute, time.Second, true},
		"on time":         {time.Minute, time.Minute, 0, false},
		"just elected":    {time.Second, time.Minute, time.Second, false},
		"just compared":   {time.Minute, time.Second, time.Second, false},
		"compared before": {time.Minute, linkTrialInterval, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLeader(t)
				now := time.Now()
				h.replica.leadingSince = now.Add(-test.leadingFor)
				h.replica.roundTrips = roundTrips{smoothed: 10 * maxLeaderRoundTrip, sampledAt: now, lateSince: now.Add(-test.lateFor)}
				h.replica.linkTrial.endedAt = now.Add(-test.sinceTrial)
				h.replica.watchRoundTrips(t.Context(), now)
				if started := h.replica.linkTrial.id != 0; started != test.want {
					t.Errorf("link trial started: %v", started)
				}
			})
		})
	}
}
