package server

import (
	"time"

	"tealpond/internal/tuning"
)

// watchRoundTrips hands the leadership over while a quorum still hears this leader, but late:
// all that it answers takes as long, and soon after that it has no lease. It does so after
// LateRoundTripTimeout, at most once in MinLeaderTenure.
func (r *Replica) watchRoundTrips(now time.Time) {
	trips := &r.roundTrips
	if !r.leading || r.node == nil {
		*trips = roundTrips{}
		return
	}
	if now.Sub(trips.sampledAt) < tuning.RoundTripSampleInterval {
		return
	}
	trips.sample(now, r.node.QuorumRoundTrip())
	if !trips.isLate(now) || now.Sub(r.leadingSince) < tuning.MinLeaderTenure {
		return
	}
	trips.lateSince = now
	transferred := r.node.TransferLeadership()
	_ = r.log.Log("level", "warn", "event", "leader.heard_late", "round_trip", trips.smoothed.Round(time.Millisecond), "transferred", transferred)
}

// roundTrips is what a leader knows of the round trips to a quorum.
type roundTrips struct {
	smoothed  time.Duration
	sampledAt time.Time // zero: never
	lateSince time.Time // since when the smoothed round trip is too long; zero: it isn't
}

// sample takes a round trip into account.
func (t *roundTrips) sample(now time.Time, roundTrip time.Duration) {
	roundTrip = min(roundTrip, tuning.LateRoundTripTimeout) // there may be none yet
	t.smoothed += time.Duration(tuning.RoundTripWeight * float64(roundTrip-t.smoothed))
	t.sampledAt = now
	switch {
	case t.smoothed <= tuning.MaxLeaderRoundTrip:
		t.lateSince = time.Time{}
	case t.lateSince.IsZero():
		t.lateSince = now
	}
}

// isLate tells whether answers have come late for LateRoundTripTimeout.
func (t *roundTrips) isLate(now time.Time) bool {
	return !t.lateSince.IsZero() && now.Sub(t.lateSince) >= tuning.LateRoundTripTimeout
}
