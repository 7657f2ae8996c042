package coordination

import (
	"errors"
	"testing"

	"tealpond/internal/timing"
)

const hold = 3000 // ms

func (t *Tables) mustAcquire(test *testing.T, holder string, clock int64) int64 {
	test.Helper()
	fence, err := t.Acquire(Acquire{Name: "l", Holder: holder, HoldMs: hold}, clock)
	if err != nil {
		test.Fatalf("%s at %d: %v", holder, clock, err)
	}
	return fence
}

// TestLockIsHeldForTheHoldByTheSlowestClock: another gets it once no clock of the holder
// can show that the hold still lasts, and under a higher fence.
func TestLockIsHeldForTheHoldByTheSlowestClock(t *testing.T) {
	tables := New()
	first := tables.mustAcquire(t, "a", 1000)
	end := int64(1000 + hold*timing.LeaseClockDriftFactor)
	for _, clock := range []int64{1000, 1000 + hold, end} {
		if _, err := tables.Acquire(Acquire{Name: "l", Holder: "b", HoldMs: hold}, clock); !errors.Is(err, ErrHeld) {
			t.Errorf("at %d: %v", clock, err)
		}
		if !tables.HeldByOther(Acquire{Name: "l", Holder: "b"}, clock) {
			t.Errorf("at %d it isn't known to be held", clock)
		}
	}
	if second := tables.mustAcquire(t, "b", end+lockExpiryMargin.Milliseconds()); second <= first {
		t.Errorf("fence %d after %d", second, first)
	}
	if err := tables.Renew(Renew{Name: "l", Holder: "a", Fence: first, HoldMs: hold}, end); !errors.Is(err, ErrLost) {
		t.Errorf("the first holder's renewal: %v", err)
	}
}

// TestLateCallsDoNoHarm: no call that comes late or twice shortens a hold, ends a newer
// one, or revives one that was given back.
func TestLateCallsDoNoHarm(t *testing.T) {
	tables := New()
	first := tables.mustAcquire(t, "a", 1000)
	until := tables.Locks["l"].ExpiresAt
	if _, err := tables.Acquire(Acquire{Name: "l", Holder: "a", HoldMs: 10}, 1001); err != nil || tables.Locks["l"].ExpiresAt != until {
		t.Errorf("a short acquisition leaves the lock until %d, %v", tables.Locks["l"].ExpiresAt, err)
	}
	if err := tables.Renew(Renew{Name: "l", Holder: "a", Fence: first, HoldMs: 10}, 1002); err != nil || tables.Locks["l"].ExpiresAt != until {
		t.Errorf("a short renewal under the first fence leaves the lock until %d, %v", tables.Locks["l"].ExpiresAt, err)
	}
	second := tables.mustAcquire(t, "a", 1500)
	tables.Release(Release{Name: "l", Holder: "a", Fence: first})
	if !tables.Holds("l", "a", second, 1501) {
		t.Error("a late release of the first acquisition ends the hold of the second")
	}
	tables.Release(Release{Name: "l", Holder: "b", Fence: second})
	tables.Release(Release{Name: "other", Holder: "a", Fence: second})
	if !tables.Holds("l", "a", second, 1501) {
		t.Error("another's release ends the hold")
	}
	tables.Release(Release{Name: "l", Holder: "a", Fence: second})
	if err := tables.Renew(Renew{Name: "l", Holder: "a", Fence: second, HoldMs: hold}, 1502); !errors.Is(err, ErrLost) {
		t.Errorf("a late renewal of a lock that was given back: %v", err)
	}
	third := tables.mustAcquire(t, "b", 1503)
	if third <= second || tables.Holds("l", "b", second, 1503) {
		t.Errorf("fence %d after %d", third, second)
	}
}

// TestExpiredHoldIsNotRevived, not even if nobody else took the lock.
func TestExpiredHoldIsNotRevived(t *testing.T) {
	tables := New()
	fence := tables.mustAcquire(t, "a", 1000)
	if err := tables.Renew(Renew{Name: "l", Holder: "a", Fence: fence, HoldMs: hold}, 1000+2*hold); !errors.Is(err, ErrLost) {
		t.Errorf("%v", err)
	}
	if again := tables.mustAcquire(t, "a", 1000+2*hold); again <= fence || tables.Locks["l"].FirstFence != again {
		t.Errorf("%+v after fence %d", tables.Locks["l"], fence)
	}
}

// TestFencesRiseOverForgottenRowsAndCopies: the end of a lock's row, and a copy of the
// tables, take nothing from the fence.
func TestFencesRiseOverForgottenRowsAndCopies(t *testing.T) {
	tables := New()
	fence := tables.mustAcquire(t, "a", 1000)
	tables.Forget(1000 + 2*hold)
	if len(tables.Locks) != 0 {
		t.Errorf("%d rows of locks nobody holds", len(tables.Locks))
	}
	tables = tables.Clone()
	if next := tables.mustAcquire(t, "a", 20_000); next <= fence {
		t.Errorf("fence %d after %d", next, fence)
	}
}

// TestHoldIsBounded: whatever a caller asks for.
func TestHoldIsBounded(t *testing.T) {
	for _, ms := range []int64{-5, 1 << 62} {
		if end := expiry(1000, ms); end < 1000 || end > 1000+2*maxLockHold.Milliseconds() {
			t.Errorf("a hold of %d ms ends at %d", ms, end)
		}
	}
}
