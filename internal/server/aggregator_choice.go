package server

import (
	"slices"
	"sort"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
)

// aggregatorReturnDelay is how long a daemon in the zone itself must have been heard before it
// replaces an aggregator outside the zone.
const aggregatorReturnDelay = 3 * time.Second

// aggregatorChoice is the choice of one zone's aggregator and its standby. It is
// pure: its fields are all that it rests on.
type aggregatorChoice struct {
	zone         string
	current      state.ZoneAggregator
	candidates   []raft.Member            // the voters that may aggregate now
	zoneOf       func(node string) string // empty if unknown
	zoneCount    map[string]int           // by member ID: the zones it aggregates for now
	leaderInZone bool
	contactSince map[string]time.Time // by member ID: since when it has been heard without a gap
	now          time.Time
}

// appoint chooses an aggregator and a standby; changed reports whether that is worth
// a change. Both are empty if no candidate serves the zone better than the leader.
func (c *aggregatorChoice) appoint() (appointed state.ZoneAggregator, changed bool) {
	ranked := c.ranked()
	appointed = state.ZoneAggregator{Zone: c.zone}
	if len(ranked) > 0 && c.serves(ranked[0]) {
		appointed.Member, appointed.Address = ranked[0].ID, ranked[0].Addr
		if len(ranked) > 1 && c.serves(ranked[1]) {
			appointed.Standby, appointed.StandbyAddress = ranked[1].ID, ranked[1].Addr
		}
	}
	return appointed, c.worthChanging(appointed)
}

// inZone reports whether a server is in the zone. A leader that was elected a moment ago
// has not heard of all servers' zones yet; of the present aggregator it takes over what
// an earlier leader knew.
func (c *aggregatorChoice) inZone(server raft.Member) bool {
	zone := c.zoneOf(server.Node)
	return zone == c.zone || zone == "" && server.ID == c.current.Member
}

// serves reports whether a voter serves the zone better than the leader does itself.
func (c *aggregatorChoice) serves(voter raft.Member) bool { return c.inZone(voter) || !c.leaderInZone }

// ranked are the candidates, the best first.
func (c *aggregatorChoice) ranked() []raft.Member {
	ranked := slices.Clone(c.candidates)
	sort.SliceStable(ranked, func(i, j int) bool { return c.better(ranked[i], ranked[j]) })
	return ranked
}

// better reports whether voter a is to be preferred to voter b.
func (c *aggregatorChoice) better(a, b raft.Member) bool {
	if c.inZone(a) != c.inZone(b) {
		return c.inZone(a)
	}
	// The present aggregator stays: a change costs each agent a new connection.
	aIsCurrent, bIsCurrent := a.ID == c.current.Member, b.ID == c.current.Member
	if !aIsCurrent && !bIsCurrent && c.zoneCount[a.ID] != c.zoneCount[b.ID] {
		return c.zoneCount[a.ID] < c.zoneCount[b.ID]
	}
	return aIsCurrent || !bIsCurrent && a.ID < b.ID
}

// worthChanging reports whether an appointment is worth a change of the current one.
// While the current aggregator is available, a voter that was silent a moment ago
// is not appointed, since it may fall silent again.
func (c *aggregatorChoice) worthChanging(appointed state.ZoneAggregator) bool {
	sameMember := appointed.Member == c.current.Member && appointed.Address == c.current.Address
	if sameMember && appointed.Standby == c.current.Standby && appointed.StandbyAddress == c.current.StandbyAddress {
		return false
	}
	available := slices.ContainsFunc(c.candidates, func(voter raft.Member) bool {
		return voter.ID == c.current.Member && voter.Addr == c.current.Address
	})
	if !available {
		return true
	}
	if sameMember {
		return !c.justReturned(appointed.Standby)
	}
	return appointed.Member == c.current.Member || !c.justReturned(appointed.Member)
}

// justReturned reports whether a voter was silent a moment ago.
func (c *aggregatorChoice) justReturned(id string) bool {
	return c.now.Sub(c.contactSince[id]) < aggregatorReturnDelay
}
