package state

import "testing"

// TestAppointmentAtStaleRevisionIsRefused checks that of two writers that read the same
// revision of a zone only the first changes it.
func TestAppointmentAtStaleRevisionIsRefused(t *testing.T) {
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
			t.Errorf("zone %s, member %s, base revision %d: unexpected outcome %+v", c.zone, c.member, c.base, o)
		}
	}
	if z1, z2 := f.store.Aggregators["z1"], f.store.Aggregators["z2"]; z1.Member != "c" || z2.Member != "b" {
		t.Errorf("aggregators are %s and %s, want c and b", z1.Member, z2.Member)
	}
}
