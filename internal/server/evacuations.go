package server

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

const (
	// defaultEvacuationTime is the time after an evacuation order from which nothing is started in the
	// zone any more, where the settings don't name it.
	defaultEvacuationTime = 5 * time.Second
	// evacuationGraceShare is the share of the evacuation time during which runs that were placed
	// before the order may still be started, so that gangs stay complete.
	evacuationGraceShare = 0.4
)

// evacuationNotice records when this replica noticed the order in force for a zone.
type evacuationNotice struct {
	changedAt int64 // of the order, on the state clock
	at        time.Time
}

// handleZoneEvacuation returns the order in force for a zone. The leader has applied each
// order that was ever acknowledged.
func (r *Replica) handleZoneEvacuation(zone *string, _ *transport.Stream, reply replyFunc) {
	evacuation := r.state.Evacuations[*zone]
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(rpc.ZoneEvacuation{Zone: *zone, Evacuated: evacuation.Evacuated, Revision: evacuation.Revision})})
}

// handleEvacuateZone orders that a zone's workers get no new work, or revokes that order. It
// is refused if the order in force is newer than the one that the caller knows.
func (r *Replica) handleEvacuateZone(order *rpc.ZoneEvacuation, _ *transport.Stream, reply replyFunc) {
	command := &state.EvacuateZone{Zone: order.Zone, Evacuated: order.Evacuated, BaseRevision: order.Revision}
	r.enqueueCommand(state.CommandEvacuateZone, command, func(outcome state.Outcome, known bool) {
		if known && outcome.Code == state.CodeOK {
			_ = r.log.Log("level", "info", "event", "zone.evacuation_changed", "zone", order.Zone, "evacuated", order.Evacuated, "revision", outcome.Value)
		}
		outcomeReply(reply)(outcome, known)
	})
}

// noticeEvacuations records when the orders that were applied in this loop iteration were
// noticed.
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

// startGrace returns the remaining time in which runs that were placed in an evacuated zone
// before the order may still be started; evacuated is false if the zone is not evacuated. The
// grace period lets partially started gangs finish starting. It is a share of the configured
// evacuation time, so that nothing is started later than Bounds.EvacuateMs after the order.
func (r *Replica) startGrace(zone string, now time.Time) (grace time.Duration, evacuated bool) {
	since, evacuated := r.state.IsEvacuated(zone)
	if !evacuated {
		return 0, false
	}
	age := max(now.Sub(r.evacuationNotices[zone].at), time.Duration(r.state.Clock-since)*time.Millisecond)
	return max(r.evacuationGrace()-age, 0), true
}

// evacuationGrace returns the time after an evacuation order in which runs may still be started.
func (r *Replica) evacuationGrace() time.Duration {
	bound := time.Duration(r.settings.Bounds.EvacuateMs) * time.Millisecond
	if bound <= 0 {
		bound = defaultEvacuationTime
	}
	return time.Duration(evacuationGraceShare * float64(bound))
}
