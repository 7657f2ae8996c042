package server

import (
	"fmt"
	"testing"
	"time"
)

// TestExpiredAppointmentRecordsAreRemoved guards against records of servers that left which
// accumulate with each restart. Records must be kept until they expire.
func TestExpiredAppointmentRecordsAreRemoved(t *testing.T) {
	const restarts = 1000
	appointments, now := newAppointments(), time.Now()
	for n := range restarts {
		id := fmt.Sprint("disk-", n)
		appointments.leavingUntil[id], appointments.releasedAt[id] = now.Add(shutdownReleasePeriod), now
		appointments.removeExpired(now)
		if appointments.leavingUntil[id].IsZero() || appointments.releasedAt[id].IsZero() {
			t.Fatal("records were removed before they expired")
		}
		now = now.Add(shutdownReleasePeriod + time.Millisecond)
	}
	appointments.removeExpired(now)
	if len(appointments.leavingUntil)+len(appointments.releasedAt) > 0 {
		t.Errorf("%d leaving and %d released servers are recorded after %d restarts, want none", len(appointments.leavingUntil), len(appointments.releasedAt), restarts)
	}
}
