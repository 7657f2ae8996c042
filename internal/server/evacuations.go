package server

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

const (
	// defaultEvacuationTime is how soon after an order nothing is started in an evacuated zone, where
	// the settings don't say.
	defaultEvacuationTime = 5 * time.Second
	// evacuationGraceShare is the part of the evacuation time in which runs that were placed before
	// the order may still be started, so that gangs are not broken.
	evacuationGraceShare = 0.4
)

// evacuationNotice is when this replica noticed the order in force about a zone.
type evacuationNotice struct {
	changedAt int64 // on the state's clock: of which order
	at        time.Time
}

// handleZoneEvacuation tells the order in force about a zone. The leader has applied each
// one that was ever acknowledged.
func (r *Replica) handleZoneEvacuation(zone *string, _ *transport.Stream, reply replyFunc) {
	evacuation := r.state.Evacuations[*zone]
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(rpc.ZoneEvacuation{Zone: *zone, Evacuated: evacuation.Evacuated, Revision: evacuation.Revision})})
}

// handleEvacuateZone orders that a zone's workers get no new work, or takes that back, if
// no other order has come since the one that the caller knows.
func (r *Replica) handleEvacuateZone(order *rpc.ZoneEvacuation, _ *transport.Stream, reply replyFunc) {
	command := &state.EvacuateZone{Zone: order.Zone, Evacuated: order.Evacuated, BaseRevision: order.Revision}
	r.enqueueCommand(state.CommandEvacuateZone, command, func(outcome state.Outcome, known bool) {
		if known && outcome.Code == state.CodeOK {
			_ = r.log.Log("level", "info", "event", "zone.evacuation_changed", "zone", order.Zone, "evacuated", order.Evacuated, "revision", outcome.Value)
		}
		outcomeReply(reply)(outcome, known)
	})
}

// noticeEvacuations records orders that were applied in this turn.
func (r *Replica) noticeEvacuations(now time.Time) {
	for zone, evacuation := range r.state.Evacuations {
		if known, ok := r.evacuationNotices[zone]; !ok || known.changedAt != evacuation.ChangedAt {
			if r.evacuationNotices == nil {
				r.evacuationNotices = map[string]evacuationNotice{}
			}
			r.evacuationNotices[zone] = evacuationNotice{evacuation.ChangedAt, now}
		}
	}
}

// startGrace is for how long runs of an evacuated zone may still be started that were
// placed before; false if the zone is not evacuated. Gangs of which some members run
// already should not be broken, and the operators' bound must hold.
func (r *Replica) startGrace(zone string, now time.Time) (grace time.Duration, evacuated bool) {
	since, evacuated := r.state.IsEvacuated(zone)
	if !evacuated {
		return 0, false
	}
	age := max(now.Sub(r.evacuationNotices[zone].at), time.Duration(r.state.Clock-since)*time.Millisecond)
	return max(r.evacuationGrace()-age, 0), true
}

// evacuationGrace is for how long after an evacuation runs may be started at all.
func (r *Replica) evacuationGrace() time.Duration {
	bound := time.Duration(r.settings.Bounds.EvacuateMs) * time.Millisecond
	if bound <= 0 {
		bound = defaultEvacuationTime
	}
	return time.Duration(evacuationGraceShare * float64(bound))
}
