package core

import (
	"sort"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// appointments is what the leader knows of the voters that may aggregate for a
// zone.
type appointments struct {
	heardSince    map[string]time.Time // since when a voter has been heard without a gap
	leavingUntil  map[string]time.Time // voters that are leaving, and how long that is believed
	changing      map[string]bool      // zones whose change is proposed and not yet applied
	zonesListedAt time.Time
}

func newAppointments() appointments {
	return appointments{heardSince: map[string]time.Time{}, leavingUntil: map[string]time.Time{}, changing: map[string]bool{}}
}

// zoneOf is the zone of a core daemon, from its membership lease; empty if
// unknown.
func (c *Core) zoneOf(node string) string { return c.memberLeases[node+"/edge"].Zone }

// eligible tells whether a voter may aggregate for a zone now.
func (c *Core) eligible(voter raft.Member, now time.Time) bool {
	ok := voter.ID != c.self.ID && c.node.SilentFor(voter.ID) < tune.DutySilent && now.After(c.appointments.leavingUntil[voter.ID])
	if !ok {
		delete(c.appointments.heardSince, voter.ID)
	} else if c.appointments.heardSince[voter.ID].IsZero() {
		c.appointments.heardSince[voter.ID] = now
	}
	return ok
}

// appoint gives each zone that has workers an aggregator: a voter of the zone
// that does not lead; if there is none and the leader isn't in the zone itself,
// the voter with the fewest zones.
func (c *Core) appoint(now time.Time) {
	var eligible []raft.Member
	for _, voter := range c.node.Voters() {
		if c.eligible(voter, now) {
			eligible = append(eligible, voter)
		}
	}
	prompt := map[string]bool{}
	held := map[string]int{}
	for _, duty := range c.state.Duties {
		held[duty.Disk]++
		prompt[duty.Disk], prompt[duty.Next] = true, true
	}
	c.node.SetEagerCommitPeers(prompt)
	zones := map[string]bool{}
	for zone := range c.state.Duties {
		zones[zone] = true
	}
	if now.Sub(c.appointments.zonesListedAt) >= tune.Quiet {
		c.appointments.zonesListedAt = now
		for _, worker := range c.state.Workers {
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
		if !c.appointments.changing[zone] {
			c.appointZone(zone, eligible, held, now)
		}
	}
}

// appointZone proposes an aggregator and a standby for one zone, if they change.
func (c *Core) appointZone(zone string, eligible []raft.Member, held map[string]int, now time.Time) {
	old := c.state.Duties[zone]
	inZone := func(voter raft.Member) bool { return c.zoneOf(voter.Node) == zone }
	rank := append([]raft.Member(nil), eligible...)
	sort.SliceStable(rank, func(a, b int) bool {
		if inZone(rank[a]) != inZone(rank[b]) {
			return inZone(rank[a])
		}
		// The present aggregator stays: a change costs each side daemon a new
		// connection.
		if x, y := held[rank[a].ID], held[rank[b].ID]; x != y && rank[a].ID != old.Disk && rank[b].ID != old.Disk {
			return x < y
		}
		return rank[a].ID == old.Disk || rank[b].ID != old.Disk && rank[a].ID < rank[b].ID
	})
	duty := store.Duty{Zone: zone}
	mine := c.zoneOf(c.self.Node) == zone || c.settings.Zone == zone
	if len(rank) > 0 && (inZone(rank[0]) || !mine) {
		duty.Disk, duty.Addr = rank[0].ID, rank[0].Addr
		if len(rank) > 1 && (inZone(rank[1]) || !mine) {
			duty.Next, duty.NextAddr = rank[1].ID, rank[1].Addr
		}
	}
	able := false
	for _, voter := range eligible {
		able = able || voter.ID == old.Disk && voter.Addr == old.Addr
	}
	switch {
	case duty.Disk == old.Disk && duty.Addr == old.Addr && (duty.Next == old.Next && duty.NextAddr == old.NextAddr || now.Sub(c.appointments.heardSince[duty.Next]) < tune.DutyCalm && able):
		return
	case able && duty.Disk != old.Disk && now.Sub(c.appointments.heardSince[duty.Disk]) < tune.DutyCalm:
		// A voter that was silent a moment ago may fall silent again.
		return
	}
	c.appointments.changing[zone] = true
	c.add("appoint", &store.Appoint{Duty: duty, Base: old.No}, func(outcome store.Outcome, ok bool) {
		delete(c.appointments.changing, zone)
		if ok && outcome.Code == 200 {
			_ = c.log.Log("level", "info", "event", "duty.appointed", "zone", zone, "addr", duty.Addr, "next", duty.NextAddr, "no", outcome.N)
		}
	})
}
