package server

import (
	"context"
	"time"
)

const (
	// maxLeaderRoundTrip is the smoothed round trip to a quorum above which a leader has the voters
	// compare their links.
	maxLeaderRoundTrip = 60 * time.Millisecond
	// roundTripSampleInterval is the time between two samples of the round trip to a quorum,
	// roundTripWeight the weight of each in the smoothed one.
	roundTripSampleInterval = 40 * time.Millisecond
	roundTripWeight         = 0.2
	// lateRoundTripTimeout is how long a quorum answers a leader late before it transfers the
	// leadership; a large configuration on its way is over by then.
	lateRoundTripTimeout = time.Second
	// linkTrialInterval is the time between two comparisons of the voters' links, and between an
	// election and the first; a comparison takes linkTrialTimeout at most.
	linkTrialInterval = 8 * time.Second
	linkTrialTimeout  = 2 * time.Second
)

// watchRoundTrips has the voters compare their links while a quorum answers this leader late, and
// transfers the leadership to one whose link is clearly better: all that a leader on a bad link
// answers takes as long, and soon after that it has no lease. It does so after
// lateRoundTripTimeout, and compares links at most once in linkTrialInterval.
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
	if trips.isLateFor(lateRoundTripTimeout/2, now) && now.Sub(lastTrial) >= linkTrialInterval {
		r.startLinkTrial(ctx, now)
	}
}

// continueLinkTrial transfers the leadership if another voter's link is better, and ends the trial
// once it has taken linkTrialTimeout or answers come in time again.
func (r *Replica) continueLinkTrial(now time.Time) {
	trips := &r.roundTrips
	begun := time.Unix(0, r.linkTrial.id)
	better := ""
	if trips.isLateFor(lateRoundTripTimeout, now) {
		better = r.betterVoter(now)
	}
	if better == "" && !trips.lateSince.IsZero() && now.Sub(begun) < linkTrialTimeout {
		return
	}
	own := r.linkMeasurement.ownQuality(now)
	reports := r.linkTrial.reports
	r.linkTrial = linkTrial{endedAt: now}
	if trips.lateSince.IsZero() {
		return
	}
	transferred := better != "" && r.node.TransferLeadershipTo(better) == nil
	_ = r.log.Log("level", "warn", "event", "leader.heard_late", "round_trip", trips.smoothed.Round(time.Millisecond),
		"latency", own.Latency.Round(time.Millisecond), "transfer", own.Transfer.Round(time.Millisecond),
		"reports", len(reports), "better", better, "transferred", transferred)
}

// roundTrips is what a leader knows of the round trips to a quorum.
type roundTrips struct {
	smoothed  time.Duration
	sampledAt time.Time // zero: never
	lateSince time.Time // since when the smoothed round trip is too long; zero: it isn't
}

// sample takes a round trip into account.
func (t *roundTrips) sample(now time.Time, roundTrip time.Duration) {
	roundTrip = min(roundTrip, lateRoundTripTimeout) // there may be none yet
	t.smoothed += time.Duration(roundTripWeight * float64(roundTrip-t.smoothed))
	t.sampledAt = now
	switch {
	case t.smoothed <= maxLeaderRoundTrip:
		t.lateSince = time.Time{}
	case t.lateSince.IsZero():
		t.lateSince = now
	}
}

// isLateFor reports whether answers have come late for a time.
func (t *roundTrips) isLateFor(duration time.Duration, now time.Time) bool {
	return !t.lateSince.IsZero() && now.Sub(t.lateSince) >= duration
}
