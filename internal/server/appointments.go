package server

import (
	"maps"
	"slices"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

// appointments is what the leader knows of the voters that may aggregate for a
// zone.
type appointments struct {
	heardSince    map[string]time.Time // by member ID: since when it has been heard without a gap
	leavingUntil  map[string]time.Time // by member ID: it is leaving, and until when that is believed
	changePending map[string]bool      // by zone: a change is proposed and not yet applied
	zonesListedAt time.Time
}

func newAppointments() appointments {
	return appointments{heardSince: map[string]time.Time{}, leavingUntil: map[string]time.Time{}, changePending: map[string]bool{}}
}

// canAggregate tells whether a voter may aggregate for a zone now, and notes since
// when it is heard.
func (r *Replica) canAggregate(voter raft.Member, now time.Time) bool {
	heard := r.node.SilentFor(voter.ID) < tuning.AggregatorSilenceTimeout
	leaving := !now.After(r.appointments.leavingUntil[voter.ID])
	ok := voter.ID != r.self.ID && heard && !leaving
	if !ok {
		delete(r.appointments.heardSince, voter.ID)
	} else if r.appointments.heardSince[voter.ID].IsZero() {
		r.appointments.heardSince[voter.ID] = now
	}
	return ok
}

// appointAggregators gives each zone that has workers an aggregator: a voter of
// the zone that does not lead; if there is none and the leader isn't in the zone
// itself, the voter with the fewest zones.
func (r *Replica) appointAggregators(now time.Time) {
	var candidates []raft.Member
	for _, voter := range r.node.Voters() {
		if r.canAggregate(voter, now) {
			candidates = append(candidates, voter)
		}
	}
	eager, zoneCount := map[string]bool{}, map[string]int{}
	for _, aggregator := range r.state.Aggregators {
		zoneCount[aggregator.Member]++
		eager[aggregator.Member], eager[aggregator.Standby] = true, true
	}
	r.node.SetEagerCommitPeers(eager)
	for _, zone := range r.zonesToServe(now) {
		if !r.appointments.changePending[zone] {
			r.appointAggregator(zone, candidates, zoneCount, now)
		}
	}
}

// zonesToServe are the zones that have an aggregator and, once in a while, those of
// all workers, in the order of their names.
func (r *Replica) zonesToServe(now time.Time) []string {
	zones := map[string]bool{}
	for zone := range r.state.Aggregators {
		zones[zone] = true
	}
	if now.Sub(r.appointments.zonesListedAt) >= tuning.WorkerSilenceTimeout {
		// Not each time, since it walks all workers.
		r.appointments.zonesListedAt = now
		for _, worker := range r.state.Workers {
			if !worker.Dead {
				zones[worker.Zone] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// appointAggregator proposes an aggregator and a standby for one zone, if they change.
func (r *Replica) appointAggregator(zone string, candidates []raft.Member, zoneCount map[string]int, now time.Time) {
	choice := aggregatorChoice{
		zone:         zone,
		current:      r.state.Aggregators[zone],
		candidates:   candidates,
		zoneOf:       r.zoneOf,
		zoneCount:    zoneCount,
		leaderInZone: r.zoneOf(r.self.Node) == zone || r.settings.Zone == zone,
		heardSince:   r.appointments.heardSince,
		now:          now,
	}
	appointed, changed := choice.appoint()
	if !changed {
		return
	}
	r.appointments.changePending[zone] = true
	command := &state.AppointAggregator{Aggregator: appointed, BaseRevision: choice.current.Revision}
	r.enqueueCommand(state.CommandAppointAggregator, command, func(outcome state.Outcome, known bool) {
		delete(r.appointments.changePending, zone)
		if known && outcome.Code == state.CodeOK {
			_ = r.log.Log("level", "info", "event", "aggregator.appointed", "zone", zone,
				"address", appointed.Address, "standby", appointed.StandbyAddress, "revision", outcome.Value)
		}
	})
}
