package server

import (
	"sort"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

// appointments is what the leader knows of the voters that may aggregate for a
// zone.
type appointments struct {
	heardSince    map[string]time.Time // since when a voter has been heard without a gap
	leavingUntil  map[string]time.Time // voters that are leaving, and how long that is believed
	changePending map[string]bool      // zones whose change is proposed and not yet applied
	zonesListedAt time.Time
}

func newAppointments() appointments {
	return appointments{heardSince: map[string]time.Time{}, leavingUntil: map[string]time.Time{}, changePending: map[string]bool{}}
}

// canAggregate tells whether a voter may aggregate for a zone now.
func (r *Replica) canAggregate(voter raft.Member, now time.Time) bool {
	ok := voter.ID != r.self.ID && r.node.SilentFor(voter.ID) < tuning.AggregatorSilenceTimeout && now.After(r.appointments.leavingUntil[voter.ID])
	if !ok {
		delete(r.appointments.heardSince, voter.ID)
	} else if r.appointments.heardSince[voter.ID].IsZero() {
		r.appointments.heardSince[voter.ID] = now
	}
	return ok
}

// appointAggregators gives each zone that has workers an aggregator: a voter of the zone
// that does not lead; if there is none and the leader isn't in the zone itself,
// the voter with the fewest zones.
func (r *Replica) appointAggregators(now time.Time) {
	var candidates []raft.Member
	for _, voter := range r.node.Voters() {
		if r.canAggregate(voter, now) {
			candidates = append(candidates, voter)
		}
	}
	watched := map[string]bool{}
	zonesOf := map[string]int{}
	for _, aggregator := range r.state.Aggregators {
		zonesOf[aggregator.Member]++
		watched[aggregator.Member], watched[aggregator.Standby] = true, true
	}
	r.node.SetEagerCommitPeers(watched)
	zones := map[string]bool{}
	for zone := range r.state.Aggregators {
		zones[zone] = true
	}
	if now.Sub(r.appointments.zonesListedAt) >= tuning.WorkerSilenceTimeout {
		r.appointments.zonesListedAt = now
		for _, worker := range r.state.Workers {
			if !worker.Dead {
				zones[worker.Zone] = true
			}
		}
	}
	var names []string
	for zone := range zones {
		names = append(names, zone)
	}
	sort.Strings(names)
	for _, zone := range names {
		if !r.appointments.changePending[zone] {
			r.appointAggregator(zone, candidates, zonesOf, now)
		}
	}
}

// appointAggregator proposes an aggregator and a standby for one zone, if they change.
func (r *Replica) appointAggregator(zone string, candidates []raft.Member, zonesOf map[string]int, now time.Time) {
	current := r.state.Aggregators[zone]
	inZone := func(voter raft.Member) bool { return r.zoneOf(voter.Node) == zone }
	ranked := append([]raft.Member(nil), candidates...)
	sort.SliceStable(ranked, func(a, b int) bool {
		if inZone(ranked[a]) != inZone(ranked[b]) {
			return inZone(ranked[a])
		}
		// The present aggregator stays: a change costs each side daemon a new
		// connection.
		if zonesOfA, zonesOfB := zonesOf[ranked[a].ID], zonesOf[ranked[b].ID]; zonesOfA != zonesOfB && ranked[a].ID != current.Member && ranked[b].ID != current.Member {
			return zonesOfA < zonesOfB
		}
		return ranked[a].ID == current.Member || ranked[b].ID != current.Member && ranked[a].ID < ranked[b].ID
	})
	appointed := state.ZoneAggregator{Zone: zone}
	leaderInZone := r.zoneOf(r.self.Node) == zone || r.settings.Zone == zone
	if len(ranked) > 0 && (inZone(ranked[0]) || !leaderInZone) {
		appointed.Member, appointed.Address = ranked[0].ID, ranked[0].Addr
		if len(ranked) > 1 && (inZone(ranked[1]) || !leaderInZone) {
			appointed.Standby, appointed.StandbyAddress = ranked[1].ID, ranked[1].Addr
		}
	}
	currentAvailable := false
	for _, voter := range candidates {
		currentAvailable = currentAvailable || voter.ID == current.Member && voter.Addr == current.Address
	}
	switch {
	case appointed.Member == current.Member && appointed.Address == current.Address && (appointed.Standby == current.Standby && appointed.StandbyAddress == current.StandbyAddress || now.Sub(r.appointments.heardSince[appointed.Standby]) < tuning.AggregatorReturnDelay && currentAvailable):
		return
	case currentAvailable && appointed.Member != current.Member && now.Sub(r.appointments.heardSince[appointed.Member]) < tuning.AggregatorReturnDelay:
		// A voter that was silent a moment ago may fall silent again.
		return
	}
	r.appointments.changePending[zone] = true
	r.enqueueCommand("appoint", &state.AppointAggregator{Aggregator: appointed, BaseRevision: current.Revision}, func(outcome state.Outcome, ok bool) {
		delete(r.appointments.changePending, zone)
		if ok && outcome.Code == 200 {
			_ = r.log.Log("level", "info", "event", "duty.appointed", "zone", zone, "addr", appointed.Address, "next", appointed.StandbyAddress, "no", outcome.Value)
		}
	})
}
