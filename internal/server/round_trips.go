package server

import (
	"time"

	"tealpond/internal/tuning"
)

// watchRoundTrips hands the leadership over while a quorum still hears this leader, but late:
// all that it answers takes as long, and soon after that it has no lease.
func (r *Replica) watchRoundTrips(now time.Time) {
	if !r.leading || r.node == nil {
		r.heardLateSince = time.Time{}
		return
	}
	r.handleRoundTrip(now, r.node.QuorumRoundTrip())
}

// handleRoundTrip hands over after LateRoundTripTimeout of late answers, at most once in
// MinLeaderTenure.
func (r *Replica) handleRoundTrip(now time.Time, roundTrip time.Duration) {
	switch {
	case roundTrip <= tuning.MaxLeaderRoundTrip:
		r.heardLateSince = time.Time{}
		return
	case r.heardLateSince.IsZero():
		r.heardLateSince = now
	}
	if now.Sub(r.heardLateSince) < tuning.LateRoundTripTimeout || now.Sub(r.leadingSince) < tuning.MinLeaderTenure {
		return
	}
	r.heardLateSince = now
	transferred := r.node.TransferLeadership()
	_ = r.log.Log("level", "warn", "event", "leader.heard_late", "round_trip", roundTrip.Round(time.Millisecond), "transferred", transferred)
}
