package server

import (
	"context"
	"time"
)

const (
	// maxLeaderRoundTrip is the smoothed round-trip time to a quorum above which a leader has the
	// voters compare their links.
	maxLeaderRoundTrip = 60 * time.Millisecond
	// roundTripSampleInterval is the interval at which the round-trip time to a quorum is sampled.
	// roundTripWeight is the weight of each sample in the smoothed value.
	roundTripSampleInterval = 40 * time.Millisecond
	roundTripWeight         = 0.2
	// lateRoundTripTimeout is how long a quorum must respond late before the leader transfers
	// leadership. Sending a large configuration takes less time than that.
	lateRoundTripTimeout = time.Second
	// linkTrialInterval is the time between two comparisons of the voters' links, and between an
	// election and the first comparison. A comparison takes at most linkTrialTimeout.
	linkTrialInterval = 8 * time.Second
	linkTrialTimeout  = 2 * time.Second
)

// watchRoundTrips has the voters compare their links while a quorum responds late to this leader,
// and transfers leadership to a voter whose link is clearly better. Every request to a leader on a
// bad link takes as long as its round trips, and such a leader soon loses its lease. The transfer
// takes place after lateRoundTripTimeout, and links are compared at most once per
// linkTrialInterval.
func (r *Replica) watchRoundTrips(ctx context.Context, now time.Time) {
	trips := &r.roundTrips
	if !r.leading || r.node == nil {
		*trips, r.linkTrial = roundTrips{}, linkTrial{}
		return
	}
	r.sentBytes.update(now)
	if now.Sub(trips.sampledAt) >= roundTripSampleInterval {
		trips.sample(now, r.node.QuorumRoundTrip())
	}
	if r.linkTrial.id != 0 {
		r.continueLinkTrial(now)
		return
	}
	lastTrial := r.leadingSince
	if r.linkTrial.endedAt.After(lastTrial) {
		lastTrial = r.linkTrial.endedAt
	}
	if trips.lateForAtLeast(lateRoundTripTimeout/2, now) && now.Sub(lastTrial) >= linkTrialInterval {
		r.startLinkTrial(ctx, now)
	}
}

// continueLinkTrial transfers leadership if another voter's link is better. It ends the trial after
// linkTrialTimeout, or once responses are on time again.
func (r *Replica) continueLinkTrial(now time.Time) {
	trips := &r.roundTrips
	startedAt := time.Unix(0, r.linkTrial.id)
	betterVoter := ""
	if trips.lateForAtLeast(lateRoundTripTimeout, now) {
		betterVoter = r.voterWithBetterLink(now)
	}
	if betterVoter == "" && !trips.lateSince.IsZero() && now.Sub(startedAt) < linkTrialTimeout {
		return
	}
	own := r.linkMeasurement.currentQuality(now)
	reports := r.linkTrial.reports
	r.linkTrial = linkTrial{endedAt: now}
	if trips.lateSince.IsZero() {
		return
	}
	transferred := betterVoter != "" && r.node.TransferLeadershipTo(betterVoter) == nil
	_ = r.log.Log("level", "warn", "event", "leader.heard_late", "round_trip", trips.smoothed.Round(time.Millisecond),
		"latency", own.Latency.Round(time.Millisecond), "transfer", own.Transfer.Round(time.Millisecond),
		"reports", len(reports), "better", betterVoter, "transferred", transferred)
}

// roundTrips tracks a leader's round-trip times to a quorum.
type roundTrips struct {
	smoothed  time.Duration
	sampledAt time.Time // zero if never
	lateSince time.Time // when the smoothed round trip became too long; zero if it is not
}

// sample adds a round-trip time to the smoothed value.
func (t *roundTrips) sample(now time.Time, roundTrip time.Duration) {
	roundTrip = min(roundTrip, lateRoundTripTimeout) // raft.NoQuorum, if there is none yet, is far longer
	t.smoothed += time.Duration(roundTripWeight * float64(roundTrip-t.smoothed))
	t.sampledAt = now
	switch {
	case t.smoothed <= maxLeaderRoundTrip:
		t.lateSince = time.Time{}
	case t.lateSince.IsZero():
		t.lateSince = now
	}
}

// lateForAtLeast reports whether responses have been late for at least the given duration.
func (t *roundTrips) lateForAtLeast(duration time.Duration, now time.Time) bool {
	return !t.lateSince.IsZero() && now.Sub(t.lateSince) >= duration
}
