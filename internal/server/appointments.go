package server

import (
	"maps"
	"slices"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
	"tealpond/internal/timing"
)

const (
	// learnerAnnounceTimeout is how long a new leader keeps a learner as a zone's aggregator that
	// has not announced itself to it yet.
	learnerAnnounceTimeout = 1500 * time.Millisecond
	// shutdownReleasePeriod is how long a voter that was allowed to shut down counts as gone although
	// it is still in contact.
	shutdownReleasePeriod = 2 * time.Second
)

// appointments is what the leader knows about the servers that may aggregate for a
// zone.
type appointments struct {
	contactSince  map[string]time.Time // by member ID: start of the current contact without a gap
	leavingUntil  map[string]time.Time // by member ID: the server is leaving, as announced, until this time
	releasedAt    map[string]time.Time // by member ID: when it was allowed to shut down
	changePending map[string]bool      // by zone: a change is proposed and not yet applied
	zonesListedAt time.Time            // when the zones of all workers were last listed
}

func newAppointments() appointments {
	return appointments{contactSince: map[string]time.Time{}, leavingUntil: map[string]time.Time{}, releasedAt: map[string]time.Time{}, changePending: map[string]bool{}}
}

// removeExpired removes the expired records of servers that were leaving or released.
func (a *appointments) removeExpired(now time.Time) {
	maps.DeleteFunc(a.leavingUntil, func(_ string, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(a.releasedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= shutdownReleasePeriod })
}

// canAggregate reports whether a server may aggregate for a zone now, and records since
// when it is in contact.
func (r *Replica) canAggregate(server raft.Member, now time.Time) bool {
	inContact := r.node.TimeSinceContact(server.ID) < aggregatorSilenceTimeout
	leaving := !now.After(r.appointments.leavingUntil[server.ID])
	ok := server.ID != r.self.ID && inContact && !leaving
	if !ok {
		delete(r.appointments.contactSince, server.ID)
	} else if r.appointments.contactSince[server.ID].IsZero() {
		r.appointments.contactSince[server.ID] = now
	}
	return ok
}

// appointAggregators appoints an aggregator for each zone that has workers: a server in
// the zone that is not the leader. If there is none and the leader isn't in the zone
// itself, it is the server that aggregates for the fewest zones.
func (r *Replica) appointAggregators(now time.Time) {
	r.appointments.removeExpired(now)
	var candidates []raft.Member
	for _, server := range append(r.node.Voters(), r.caughtUpLearners()...) {
		if r.canAggregate(server, now) {
			candidates = append(candidates, server)
		}
	}
	eager, zoneCount := map[string]bool{}, map[string]int{}
	for _, aggregator := range r.state.Aggregators {
		zoneCount[aggregator.Member]++
		eager[aggregator.Member], eager[aggregator.Standby] = true, true
	}
	r.node.SetEagerCommitPeers(eager)
	for _, zone := range r.zonesToServe(now) {
		if !r.appointments.changePending[zone] && !r.awaitsLearner(r.state.Aggregators[zone], now) {
			r.appointAggregator(zone, candidates, zoneCount, now)
		}
	}
}

// caughtUpLearners returns the learners that may aggregate: the state that they have applied
// is as new as that of a voter.
func (r *Replica) caughtUpLearners() []raft.Member {
	var learners []raft.Member
	for _, candidate := range r.liveCandidates() {
		if r.canBecomeVoter(candidate) {
			learners = append(learners, candidate)
		}
	}
	return learners
}

// awaitsLearner reports whether a zone's aggregator may be a learner that has not announced
// itself to this newly elected leader yet: learners announce themselves to each new leader.
func (r *Replica) awaitsLearner(current state.ZoneAggregator, now time.Time) bool {
	if current.Member == "" || r.node.IsVoter(current.Member) || now.Before(r.appointments.leavingUntil[current.Member]) {
		return false
	}
	_, announced := r.membership.candidates[current.Member]
	return !announced && now.Sub(r.leadingSince) < learnerAnnounceTimeout
}

// zonesToServe returns the zones that have an aggregator and, once each
// timing.WorkerSilenceTimeout, those of all workers, sorted by name.
func (r *Replica) zonesToServe(now time.Time) []string {
	zones := map[string]bool{}
	for zone := range r.state.Aggregators {
		zones[zone] = true
	}
	if now.Sub(r.appointments.zonesListedAt) >= timing.WorkerSilenceTimeout {
		// This is not done each time, since it iterates over all workers.
		r.appointments.zonesListedAt = now
		for _, worker := range r.state.Workers {
			if !worker.Dead {
				zones[worker.Zone] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// appointAggregator proposes an aggregator and a standby for one zone if they should change.
func (r *Replica) appointAggregator(zone string, candidates []raft.Member, zoneCount map[string]int, now time.Time) {
	choice := aggregatorChoice{
		zone:         zone,
		current:      r.state.Aggregators[zone],
		candidates:   candidates,
		zoneOf:       r.zoneOf,
		zoneCount:    zoneCount,
		leaderInZone: r.zoneOf(r.self.Node) == zone || r.settings.Zone == zone,
		contactSince: r.appointments.contactSince,
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
