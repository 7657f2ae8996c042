package server

import (
	"testing"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
)

// TestAggregatorChoice checks which servers are appointed for zone z. Servers "b" and "c" are in
// zone z, "d" and "e" in zone y; the zones of others are unknown.
func TestAggregatorChoice(t *testing.T) {
	zones := map[string]string{"node-b": "z", "node-c": "z", "node-d": "y", "node-e": "y"}
	now := time.Unix(1000, 0)
	earlier, recently := now.Add(-time.Hour), now.Add(-aggregatorReturnDelay/2)
	appointed := func(member, standby string) state.ZoneAggregator {
		aggregator := state.ZoneAggregator{Zone: "z", Member: member, Address: member, Standby: standby, StandbyAddress: standby, Revision: 7}
		return aggregator
	}
	for _, test := range []struct {
		name                string
		current             state.ZoneAggregator
		candidates          string // IDs, one letter each
		zoneCount           map[string]int
		leaderInZone        bool
		justReturned        string // IDs of those that were silent until recently
		member, wantStandby string // expected appointment
		changed             bool
	}{
		{name: "servers in the zone are preferred", candidates: "dcb", member: "b", wantStandby: "c", changed: true},
		{name: "one server in the zone, standby from another zone", candidates: "dc", member: "c", wantStandby: "d", changed: true},
		{name: "no server in the zone: the one with the fewest zones", candidates: "de", zoneCount: map[string]int{"d": 2, "e": 1}, member: "e", wantStandby: "d", changed: true},
		{name: "no server in the zone except the leader", candidates: "de", leaderInZone: true, member: "", wantStandby: "", changed: false},
		{name: "leader in the zone: no standby from another zone", candidates: "cd", leaderInZone: true, member: "c", wantStandby: "", changed: true},
		{name: "the current aggregator stays despite more zones and a later ID", current: appointed("c", "b"), candidates: "bc", zoneCount: map[string]int{"c": 5}, member: "c", wantStandby: "b", changed: false},
		{name: "the current aggregator is gone", current: appointed("c", "b"), candidates: "bd", member: "b", wantStandby: "d", changed: true},
		{name: "no candidates", current: appointed("c", "b"), candidates: "", member: "", wantStandby: "", changed: true},
		{name: "a better aggregator, long in contact", current: appointed("d", "e"), candidates: "bde", member: "b", wantStandby: "d", changed: true},
		{name: "a better aggregator, silent until recently", current: appointed("d", "e"), candidates: "bde", justReturned: "b", member: "b", wantStandby: "d", changed: false},
		{name: "a better aggregator, silent until recently, while the current one is gone", current: appointed("d", "e"), candidates: "be", justReturned: "b", member: "b", wantStandby: "e", changed: true},
		{name: "a better standby, long in contact", current: appointed("b", "d"), candidates: "bcd", member: "b", wantStandby: "c", changed: true},
		{name: "a better standby, silent until recently", current: appointed("b", "d"), candidates: "bcd", justReturned: "c", member: "b", wantStandby: "c", changed: false},
		{name: "zones not known yet", current: appointed("x", ""), candidates: "xy", leaderInZone: true, member: "x", wantStandby: "", changed: false},
		{name: "zone of the current aggregator not known yet, that of another known", current: appointed("x", "b"), candidates: "bx", leaderInZone: true, member: "x", wantStandby: "b", changed: false},
		{name: "the current aggregator leads, zone of its standby not known yet", current: appointed("a", "x"), candidates: "x", leaderInZone: true, member: "", wantStandby: "", changed: true},
		{name: "standby gone", current: appointed("b", "c"), candidates: "b", member: "b", wantStandby: "", changed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			choice := aggregatorChoice{zone: "z", current: test.current, zoneOf: func(node string) string { return zones[node] }, zoneCount: test.zoneCount,
				leaderInZone: test.leaderInZone, contactSince: map[string]time.Time{}, now: now}
			for _, id := range test.candidates {
				choice.candidates = append(choice.candidates, raft.Member{Node: "node-" + string(id), ID: string(id), Addr: string(id)})
				choice.contactSince[string(id)] = earlier
			}
			for _, id := range test.justReturned {
				choice.contactSince[string(id)] = recently
			}
			got, changed := choice.appoint()
			want := state.ZoneAggregator{Zone: "z", Member: test.member, Address: test.member, Standby: test.wantStandby, StandbyAddress: test.wantStandby}
			if got != want || changed != test.changed {
				t.Errorf("appointed %+v, changed %v; want %+v, %v", got, changed, want, test.changed)
			}
		})
	}
}

// TestAggregatorChoiceAfterAddressChange checks that an aggregator that returned at another
// address is appointed again, although its ID is the same.
func TestAggregatorChoiceAfterAddressChange(t *testing.T) {
	choice := aggregatorChoice{zone: "z", current: state.ZoneAggregator{Zone: "z", Member: "b", Address: "old"},
		candidates: []raft.Member{{Node: "node-b", ID: "b", Addr: "new"}}, zoneOf: func(string) string { return "z" }, now: time.Unix(1000, 0)}
	choice.contactSince = map[string]time.Time{"b": choice.now}
	if got, changed := choice.appoint(); got.Address != "new" || !changed {
		t.Errorf("appointed %+v, changed %v; want address new", got, changed)
	}
}
