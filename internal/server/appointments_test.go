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
	known, now := newAppointments(), time.Now()
	for n := range restarts {
		id := fmt.Sprint("disk-", n)
		known.leavingUntil[id], known.releasedAt[id] = now.Add(shutdownReleasePeriod), now
		known.forgetPast(now)
		if known.leavingUntil[id].IsZero() || known.releasedAt[id].IsZero() {
			t.Fatal("forgotten at once")
		}
		now = now.Add(shutdownReleasePeriod + time.Millisecond)
	}
	known.forgetPast(now)
	if len(known.leavingUntil)+len(known.releasedAt) > 0 {
		t.Errorf("%d and %d are known after %d restarts", len(known.leavingUntil), len(known.releasedAt), restarts)
	}
}
