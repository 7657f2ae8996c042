package state

import "testing"

// TestAppointmentOnAnOlderRevisionIsRefused: of two writers that saw the same
// revision of a zone only the first changes it.
func TestAppointmentOnAnOlderRevisionIsRefused(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	for _, c := range []struct {
		zone, member string
		base         uint64
		code         Code
		value        int64
	}{
		{"z1", "a", 0, CodeOK, 1},
		{"z1", "b", 0, CodePreconditionFailed, 1},
		{"z2", "b", 0, CodeOK, 1},
		{"z1", "c", 1, CodeOK, 2},
		{"z1", "d", 7, CodePreconditionFailed, 2},
	} {
		aggregator := ZoneAggregator{Zone: c.zone, Member: c.member}
		if o := f.apply(&AppointAggregator{Aggregator: aggregator, BaseRevision: c.base}); o.Code != c.code || o.Value != c.value {
			t.Errorf("%s to %s on %d: %+v", c.zone, c.member, c.base, o)
		}
	}
	if z1, z2 := f.store.Aggregators["z1"], f.store.Aggregators["z2"]; z1.Member != "c" || z2.Member != "b" {
		t.Errorf("appointed are %s and %s", z1.Member, z2.Member)
	}
}
