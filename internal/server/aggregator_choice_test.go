package server

import (
	"testing"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
)

// TestAggregatorChoice: voters "b" and "c" are in zone z, "d" and "e" in zone y.
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
		justReturned        string // IDs of those that were silent a moment ago
		member, wantStandby string // that are appointed
		changed             bool
	}{
		{name: "voters of the zone first", candidates: "dcb", member: "b", wantStandby: "c", changed: true},
		{name: "one of the zone, and a standby from elsewhere", candidates: "dc", member: "c", wantStandby: "d", changed: true},
		{name: "none of the zone: the one with the fewest zones", candidates: "de", zoneCount: map[string]int{"d": 2, "e": 1}, member: "e", wantStandby: "d", changed: true},
		{name: "none of the zone, the leader is", candidates: "de", leaderInZone: true, member: "", wantStandby: "", changed: false},
		{name: "the leader is in the zone too: no standby from elsewhere", candidates: "cd", leaderInZone: true, member: "c", wantStandby: "", changed: true},
		{name: "the present one stays, with more zones and the later ID", current: appointed("c", "b"), candidates: "bc", zoneCount: map[string]int{"c": 5}, member: "c", wantStandby: "b", changed: false},
		{name: "the present one is gone", current: appointed("c", "b"), candidates: "bd", member: "b", wantStandby: "d", changed: true},
		{name: "nobody is left", current: appointed("c", "b"), candidates: "", member: "", wantStandby: "", changed: true},
		{name: "a better one, heard for long", current: appointed("d", "e"), candidates: "bde", member: "b", wantStandby: "d", changed: true},
		{name: "a better one that was silent a moment ago", current: appointed("d", "e"), candidates: "bde", justReturned: "b", member: "b", wantStandby: "d", changed: false},
		{name: "the same, as the present one is gone", current: appointed("d", "e"), candidates: "be", justReturned: "b", member: "b", wantStandby: "e", changed: true},
		{name: "a better standby, heard for long", current: appointed("b", "d"), candidates: "bcd", member: "b", wantStandby: "c", changed: true},
		{name: "a better standby that was silent a moment ago", current: appointed("b", "d"), candidates: "bcd", justReturned: "c", member: "b", wantStandby: "c", changed: false},
		{name: "the zones are not known yet", current: appointed("x", ""), candidates: "xy", leaderInZone: true, member: "x", wantStandby: "", changed: false},
		{name: "the zone of the present one is not known yet, that of another is", current: appointed("x", "b"), candidates: "bx", leaderInZone: true, member: "x", wantStandby: "b", changed: false},
		{name: "the present one leads, and the zone of its standby is not known yet", current: appointed("a", "x"), candidates: "x", leaderInZone: true, member: "", wantStandby: "", changed: true},
		{name: "the standby is gone", current: appointed("b", "c"), candidates: "b", member: "b", wantStandby: "", changed: true},
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
				t.Errorf("%+v, changed %v; want %+v, %v", got, changed, want, test.changed)
			}
		})
	}
}

// TestAggregatorChoiceAfterAddressChange: a voter that came back at another address
// is appointed anew, although its ID is the same.
func TestAggregatorChoiceAfterAddressChange(t *testing.T) {
	choice := aggregatorChoice{zone: "z", current: state.ZoneAggregator{Zone: "z", Member: "b", Address: "old"},
		candidates: []raft.Member{{Node: "node-b", ID: "b", Addr: "new"}}, zoneOf: func(string) string { return "z" }, now: time.Unix(1000, 0)}
	choice.contactSince = map[string]time.Time{"b": choice.now}
	if got, changed := choice.appoint(); got.Address != "new" || !changed {
		t.Errorf("%+v, changed %v", got, changed)
	}
}
