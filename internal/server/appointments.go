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
	// learnerAnnounceTimeout is how long a new leader leaves a zone to a learner that it has not heard
	// of yet.
	learnerAnnounceTimeout = 1500 * time.Millisecond
	// shutdownReleasePeriod is how long a voter that may end counts as gone, though it is still heard.
	shutdownReleasePeriod = 2 * time.Second
)

// appointments is what the leader knows of the servers that may aggregate for a
// zone.
type appointments struct {
	contactSince  map[string]time.Time // by member ID: since when it has been heard without a gap
	leavingUntil  map[string]time.Time // by member ID: it is leaving, and until when that is believed
	releasedAt    map[string]time.Time // by member ID: when it was allowed to end
	changePending map[string]bool      // by zone: a change is proposed and not yet applied
	zonesListedAt time.Time
}

func newAppointments() appointments {
	return appointments{contactSince: map[string]time.Time{}, leavingUntil: map[string]time.Time{}, releasedAt: map[string]time.Time{}, changePending: map[string]bool{}}
}

// forgetPast removes what no longer counts of servers that are leaving or were released.
func (a *appointments) forgetPast(now time.Time) {
	maps.DeleteFunc(a.leavingUntil, func(_ string, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(a.releasedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= shutdownReleasePeriod })
}

// canAggregate reports whether a server may aggregate for a zone now, and notes since
// when it is heard.
func (r *Replica) canAggregate(server raft.Member, now time.Time) bool {
	heard := r.node.TimeSinceContact(server.ID) < aggregatorSilenceTimeout
	leaving := !now.After(r.appointments.leavingUntil[server.ID])
	ok := server.ID != r.self.ID && heard && !leaving
	if !ok {
		delete(r.appointments.contactSince, server.ID)
	} else if r.appointments.contactSince[server.ID].IsZero() {
		r.appointments.contactSince[server.ID] = now
	}
	return ok
}

// appointAggregators gives each zone that has workers an aggregator: a server of
// the zone that does not lead; if there is none and the leader isn't in the zone
// itself, the server with the fewest zones.
func (r *Replica) appointAggregators(now time.Time) {
	r.appointments.forgetPast(now)
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

// caughtUpLearners are the learners that may aggregate: what they have applied is as
// new as that of a voter.
func (r *Replica) caughtUpLearners() []raft.Member {
	var learners []raft.Member
	for _, candidate := range r.liveCandidates() {
		if r.canTakePlace(candidate) {
			learners = append(learners, candidate)
		}
	}
	return learners
}

// awaitsLearner reports whether a zone's aggregator may be a learner that this leader,
// elected a moment ago, has not heard of yet: learners announce themselves to each
// new leader.
func (r *Replica) awaitsLearner(current state.ZoneAggregator, now time.Time) bool {
	if current.Member == "" || r.node.IsVoter(current.Member) || now.Before(r.appointments.leavingUntil[current.Member]) {
		return false
	}
	_, announced := r.membership.candidates[current.Member]
	return !announced && now.Sub(r.leadingSince) < learnerAnnounceTimeout
}

// zonesToServe are the zones that have an aggregator and, once in a while, those of
// all workers, in the order of their names.
func (r *Replica) zonesToServe(now time.Time) []string {
	zones := map[string]bool{}
	for zone := range r.state.Aggregators {
		zones[zone] = true
	}
	if now.Sub(r.appointments.zonesListedAt) >= timing.WorkerSilenceTimeout {
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
