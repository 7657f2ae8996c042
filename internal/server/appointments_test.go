package server

import (
	"fmt"
	"testing"
	"time"
)

// TestLeavingServersAreForgotten: what is known of servers that left doesn't grow with restarts,
// and counts for as long as it did.
func TestLeavingServersAreForgotten(t *testing.T) {
	const restarts = 1000
	appointments, now := newAppointments(), time.Now()
	for n := range restarts {
		id := fmt.Sprint("disk-", n)
		appointments.leavingUntil[id], appointments.releasedAt[id] = now.Add(shutdownReleasePeriod), now
		appointments.removeExpired(now)
		if appointments.leavingUntil[id].IsZero() || appointments.releasedAt[id].IsZero() {
			t.Fatal("forgotten at once")
		}
		now = now.Add(shutdownReleasePeriod + time.Millisecond)
	}
	appointments.removeExpired(now)
	if len(appointments.leavingUntil)+len(appointments.releasedAt) > 0 {
		t.Errorf("%d and %d are known after %d restarts", len(appointments.leavingUntil), len(appointments.releasedAt), restarts)
	}
}
