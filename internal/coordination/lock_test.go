package coordination

import (
	"errors"
	"testing"

	"tealpond/internal/timing"
)

const testHoldMs = 3000 // ms

func (t *Tables) mustAcquire(test *testing.T, holder string, clock int64) int64 {
	test.Helper()
	fence, err := t.Acquire(Acquire{Name: "l", Holder: holder, HoldMs: testHoldMs}, clock)
	if err != nil {
		test.Fatalf("%s at %d: %v", holder, clock, err)
	}
	return fence
}

// TestLockOutlastsTheHoldOnTheSlowestClock checks that another caller gets a lock only once the hold
// has ended on the slowest permitted clock of the holder, and that it gets a higher fence.
func TestLockOutlastsTheHoldOnTheSlowestClock(t *testing.T) {
	tables := New()
	first := tables.mustAcquire(t, "a", 1000)
	end := int64(1000 + testHoldMs*timing.LeaseClockDriftFactor)
	for _, clock := range []int64{1000, 1000 + testHoldMs, end} {
		if _, err := tables.Acquire(Acquire{Name: "l", Holder: "b", HoldMs: testHoldMs},
			clock); !errors.Is(err, ErrHeld) {
			t.Errorf("at %d: %v", clock, err)
		}
		if !tables.HeldByOther(Acquire{Name: "l", Holder: "b"}, clock) {
			t.Errorf("at %d HeldByOther reports false", clock)
		}
	}
	if second := tables.mustAcquire(t, "b", end+lockExpiryMargin.Milliseconds()); second <= first {
		t.Errorf("fence %d after %d", second, first)
	}
	if err := tables.Renew(Renew{Name: "l", Holder: "a", Fence: first, HoldMs: testHoldMs},
		end); !errors.Is(err, ErrLost) {
		t.Errorf("the first holder's renewal: %v", err)
	}
}

// TestLateCallsAreHarmless checks that no late or repeated call shortens a hold, ends a newer hold,
// or restores a released one.
func TestLateCallsAreHarmless(t *testing.T) {
	tables := New()
	first := tables.mustAcquire(t, "a", 1000)
	until := tables.Locks["l"].ExpiresAt
	if _, err := tables.Acquire(Acquire{Name: "l", Holder: "a", HoldMs: 10}, 1001); err != nil ||
		tables.Locks["l"].ExpiresAt != until {
		t.Errorf("after a short acquisition the lock expires at %d, %v", tables.Locks["l"].ExpiresAt, err)
	}
	if err := tables.Renew(Renew{Name: "l", Holder: "a", Fence: first, HoldMs: 10}, 1002); err != nil ||
		tables.Locks["l"].ExpiresAt != until {
		t.Errorf("after a short renewal under the first fence the lock expires at %d, %v",
			tables.Locks["l"].ExpiresAt, err)
	}
	second := tables.mustAcquire(t, "a", 1500)
	tables.Release(Release{Name: "l", Holder: "a", Fence: first})
	if !tables.Holds("l", "a", second, 1501) {
		t.Error("a late release of the first acquisition ends the hold of the second")
	}
	tables.Release(Release{Name: "l", Holder: "b", Fence: second})
	tables.Release(Release{Name: "other", Holder: "a", Fence: second})
	if !tables.Holds("l", "a", second, 1501) {
		t.Error("a release by another caller ends the hold")
	}
	tables.Release(Release{Name: "l", Holder: "a", Fence: second})
	if err := tables.Renew(Renew{Name: "l", Holder: "a", Fence: second, HoldMs: testHoldMs},
		1502); !errors.Is(err, ErrLost) {
		t.Errorf("a late renewal of a released lock: %v", err)
	}
	third := tables.mustAcquire(t, "b", 1503)
	if third <= second || tables.Holds("l", "b", second, 1503) {
		t.Errorf("fence %d after %d", third, second)
	}
}

// TestExpiredLockIsNotRenewed checks that an expired hold can't be renewed, even if no other caller
// has acquired the lock.
func TestExpiredLockIsNotRenewed(t *testing.T) {
	tables := New()
	fence := tables.mustAcquire(t, "a", 1000)
	if err := tables.Renew(Renew{Name: "l", Holder: "a", Fence: fence, HoldMs: testHoldMs},
		1000+2*testHoldMs); !errors.Is(err, ErrLost) {
		t.Errorf("%v", err)
	}
	if again := tables.mustAcquire(t, "a", 1000+2*testHoldMs); again <= fence || tables.Locks["l"].FirstFence != again {
		t.Errorf("%+v after fence %d", tables.Locks["l"], fence)
	}
}

// TestFencesRiseAfterExpiryAndClone checks that fences keep rising after the row of a lock was
// dropped and after the tables were cloned.
func TestFencesRiseAfterExpiryAndClone(t *testing.T) {
	tables := New()
	fence := tables.mustAcquire(t, "a", 1000)
	tables.Expire(1000 + 2*testHoldMs)
	if len(tables.Locks) != 0 {
		t.Errorf("%d rows of expired locks are kept", len(tables.Locks))
	}
	tables = tables.Clone()
	if next := tables.mustAcquire(t, "a", 20_000); next <= fence {
		t.Errorf("fence %d after %d", next, fence)
	}
}

// TestHoldTimeIsBounded checks that negative and huge hold times are limited.
func TestHoldTimeIsBounded(t *testing.T) {
	for _, ms := range []int64{-5, 1 << 62} {
		if end := expiry(1000, ms); end < 1000 || end > 1000+2*maxLockHold.Milliseconds() {
			t.Errorf("a hold of %d ms ends at %d", ms, end)
		}
	}
}
