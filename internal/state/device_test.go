package state

import "testing"

// TestReservationsDoNotOverlap checks that a device can be reserved for an interval that is
// adjacent to another reservation, but not for one that overlaps it.
func TestReservationsDoNotOverlap(t *testing.T) {
	for _, c := range []struct {
		name     string
		device   *Device
		from, to int64
		want     bool
	}{
		{"no device", nil, 0, 10, false},
		{"unhealthy", &Device{}, 0, 10, false},
		{"empty interval", &Device{Healthy: true}, 10, 10, false},
		{"free", &Device{Healthy: true}, 0, 10, true},
		{"before another", &Device{Healthy: true, Reservations: []Reservation{{From: 10, To: 20}}}, 0, 10, true},
		{"after another", &Device{Healthy: true, Reservations: []Reservation{{From: 10, To: 20}}}, 20, 30, true},
		{"overlaps the start of another", &Device{Healthy: true, Reservations: []Reservation{{From: 10, To: 20}}}, 0, 11, false},
		{"overlaps the end of another", &Device{Healthy: true, Reservations: []Reservation{{From: 10, To: 20}}}, 19, 30, false},
		{"within another", &Device{Healthy: true, Reservations: []Reservation{{From: 10, To: 20}}}, 14, 15, false},
		{"around another", &Device{Healthy: true, Reservations: []Reservation{{From: 10, To: 20}}}, 0, OpenEnd, false},
	} {
		if got := New(Limits{}).reserve(c.device, 7, c.from, c.to); got != c.want {
			t.Errorf("%s: reserved %v, want the opposite", c.name, got)
		}
	}
}

// TestReservationsAreRemoved checks that reservations are removed by their allocation, and
// when they have expired.
func TestReservationsAreRemoved(t *testing.T) {
	d := &Device{Reservations: []Reservation{
		{Allocation: 1, From: 0, To: 10},
		{Allocation: 2, From: 10, To: 20},
		{Allocation: 3, From: 20, To: 30},
	}}
	d.dropExpiredReservations(10)
	if len(d.Reservations) != 2 || d.Reservations[0].Allocation != 2 {
		t.Errorf("reservations at 10 are %v, want those of allocations 2 and 3", d.Reservations)
	}
	d.releaseReservations(2)
	if len(d.Reservations) != 1 || d.Reservations[0].Allocation != 3 {
		t.Errorf("reservations are %v after release of allocation 2, want that of allocation 3", d.Reservations)
	}
}
