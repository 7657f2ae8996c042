package server

import (
	"slices"
	"sort"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
)

// aggregatorReturnDelay is how long a server must have been in contact without a gap before it is
// appointed in place of another one while the current aggregator is available.
const aggregatorReturnDelay = 3 * time.Second

// aggregatorChoice chooses the aggregator and the standby of one zone. Its methods are pure:
// the result depends on its fields only.
type aggregatorChoice struct {
	zone         string
	current      state.ZoneAggregator
	candidates   []raft.Member            // the servers that may aggregate now
	zoneOf       func(node string) string // empty if unknown
	zoneCount    map[string]int           // by member ID: the zones it aggregates for now
	leaderInZone bool
	contactSince map[string]time.Time // by member ID: start of the current contact without a gap
	now          time.Time
}

// appoint chooses an aggregator and a standby; changed reports whether the current
// appointment should be replaced by them. Both are empty if no candidate serves the zone
// better than the leader.
func (c *aggregatorChoice) appoint() (appointed state.ZoneAggregator, changed bool) {
	ranked := c.ranked()
	appointed = state.ZoneAggregator{Zone: c.zone}
	if len(ranked) > 0 && c.serves(ranked[0]) {
		appointed.Member, appointed.Address = ranked[0].ID, ranked[0].Addr
		if len(ranked) > 1 && c.serves(ranked[1]) {
			appointed.Standby, appointed.StandbyAddress = ranked[1].ID, ranked[1].Addr
		}
	}
	return appointed, c.shouldChange(appointed)
}

// inZone reports whether a server is in the zone. A newly elected leader doesn't know the
// zones of all servers yet. It assumes that the current aggregator is in the zone, since an
// earlier leader that knew its zone appointed it.
func (c *aggregatorChoice) inZone(server raft.Member) bool {
	zone := c.zoneOf(server.Node)
	return zone == c.zone || zone == "" && server.ID == c.current.Member
}

// serves reports whether a server serves the zone better than the leader does itself.
func (c *aggregatorChoice) serves(m raft.Member) bool { return c.inZone(m) || !c.leaderInZone }

// ranked returns the candidates in order of preference, the best first.
func (c *aggregatorChoice) ranked() []raft.Member {
	ranked := slices.Clone(c.candidates)
	sort.SliceStable(ranked, func(i, j int) bool { return c.better(ranked[i], ranked[j]) })
	return ranked
}

// better reports whether server a is preferred to server b.
func (c *aggregatorChoice) better(a, b raft.Member) bool {
	if c.inZone(a) != c.inZone(b) {
		return c.inZone(a)
	}
	// The current aggregator is preferred: a change costs each agent a new connection.
	aIsCurrent, bIsCurrent := a.ID == c.current.Member, b.ID == c.current.Member
	if !aIsCurrent && !bIsCurrent && c.zoneCount[a.ID] != c.zoneCount[b.ID] {
		return c.zoneCount[a.ID] < c.zoneCount[b.ID]
	}
	return aIsCurrent || !bIsCurrent && a.ID < b.ID
}

// shouldChange reports whether an appointment should replace the current one. While the
// current aggregator is available, a server that was silent until recently is not
// appointed, since it may become silent again.
func (c *aggregatorChoice) shouldChange(appointed state.ZoneAggregator) bool {
	sameMember := appointed.Member == c.current.Member && appointed.Address == c.current.Address
	if sameMember && appointed.Standby == c.current.Standby && appointed.StandbyAddress == c.current.StandbyAddress {
		return false
	}
	available := slices.ContainsFunc(c.candidates, func(server raft.Member) bool {
		return server.ID == c.current.Member && server.Addr == c.current.Address
	})
	if !available {
		return true
	}
	if sameMember {
		return !c.justReturned(appointed.Standby)
	}
	return appointed.Member == c.current.Member || !c.justReturned(appointed.Member)
}

// justReturned reports whether a server was silent within the last aggregatorReturnDelay.
func (c *aggregatorChoice) justReturned(id string) bool {
	return c.now.Sub(c.contactSince[id]) < aggregatorReturnDelay
}
