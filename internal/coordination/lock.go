package coordination

import (
	"errors"
	"math"
	"time"

	"tealpond/internal/timing"
)

const (
	// lockExpiryMargin is added to the hold time of a lock, besides timing.LeaseClockDriftFactor, before
	// another caller may get the lock, since timestamps are rounded to ms.
	lockExpiryMargin = 20 * time.Millisecond
	// maxLockHold is the longest hold time of a lock; a caller that asks for more gets this.
	maxLockHold = time.Hour
)

// ErrHeld is returned if another caller holds the lock, or may still assume that it does.
var ErrHeld = errors.New("another holds the lock")

// ErrLost is returned if the caller no longer holds the lock under its fence.
var ErrLost = errors.New("the lock was lost")

// Lock is the row of a lock that is held.
type Lock struct {
	_          struct{} `cbor:",toarray"`
	Holder     string
	Fence      int64 // fencing token of the newest acquisition; higher than all earlier ones, of any lock
	FirstFence int64 // fencing token of the acquisition with which the hold began
	ExpiresAt  int64 // by the state clock, in ms
	AcquiredAt int64 // by the state clock, in ms
}

// Acquire requests a lock. A caller that holds it already gets more time and a new fence.
type Acquire struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Holder string
	HoldMs int64
}

// Renew requests more time for a lock held under a fence.
type Renew struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Holder string
	Fence  int64
	HoldMs int64
}

// Release releases a lock held under a fence.
type Release struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Holder string
	Fence  int64
}

// expired reports whether the caller can no longer regard itself as the holder.
//
// A caller measures its hold time from before it sent the call. The state clock at the entry
// that granted the lock is later than that, and between two entries it never runs ahead of the true
// time (server, clock.go). The caller's own clock may be slow by timing.LeaseClockDriftFactor. So
// the caller's hold has ended once the clock of any later entry has reached ExpiresAt.
func (l Lock) expired(clock int64) bool { return clock >= l.ExpiresAt }

// expiry returns the time by which a hold granted now has ended for its holder, on any clock.
func expiry(clock, holdMs int64) int64 {
	holdMs = min(max(holdMs, 0), maxLockHold.Milliseconds())
	return clock + int64(math.Ceil(float64(holdMs)*timing.LeaseClockDriftFactor)) + lockExpiryMargin.Milliseconds()
}

// HeldByOther reports whether another caller holds the lock, so that an acquisition would be
// refused. Nil tables are empty.
func (t *Tables) HeldByOther(request Acquire, clock int64) bool {
	if t == nil {
		return false
	}
	lock, ok := t.Locks[request.Name]
	return ok && lock.Holder != request.Holder && !lock.expired(clock)
}

// Acquire grants a lock to a caller and returns its new fence. The error is ErrHeld, or ErrFull if
// the lock has no row and the table is full.
//
// A caller that already holds the lock gets a new fence too. Assume that a caller releases a lock,
// gets no answer and acquires the lock again: the release may arrive late, and under the same fence
// it would end the new hold. The cost falls on an acquisition that arrives twice: the caller may
// know the fence of the first copy only. It can renew under that fence but not release under it, and
// then the lock is free only once it expires.
func (t *Tables) Acquire(request Acquire, clock int64) (fence int64, err error) {
	if t.HeldByOther(request, clock) {
		return 0, ErrHeld
	}
	lock, ok := t.Locks[request.Name]
	if !ok && isFull(t.Locks) {
		return 0, ErrFull
	}
	t.LastFence++
	if !ok || lock.expired(clock) || lock.Holder != request.Holder {
		lock = Lock{Holder: request.Holder, FirstFence: t.LastFence, AcquiredAt: clock}
	}
	lock.Fence = t.LastFence
	// A late call must not shorten the hold that a newer call was granted.
	lock.ExpiresAt = max(lock.ExpiresAt, expiry(clock, request.HoldMs))
	t.Locks[request.Name] = lock
	return lock.Fence, nil
}

// Holds reports whether a caller holds a lock under a fence. Any fence of the current hold counts,
// since the caller may know that of either copy of a repeated acquisition. Nil tables are empty.
func (t *Tables) Holds(name, holder string, fence, clock int64) bool {
	if t == nil {
		return false
	}
	lock, ok := t.Locks[name]
	return ok && lock.Holder == holder && lock.FirstFence <= fence && fence <= lock.Fence && !lock.expired(clock)
}

// Renew extends the hold of a caller; the error is ErrLost. An expired hold isn't renewed: its
// caller has given it up, and a late renewal would block the lock for all others.
func (t *Tables) Renew(request Renew, clock int64) error {
	if !t.Holds(request.Name, request.Holder, request.Fence, clock) {
		return ErrLost
	}
	lock := t.Locks[request.Name]
	lock.ExpiresAt = max(lock.ExpiresAt, expiry(clock, request.HoldMs))
	t.Locks[request.Name] = lock
	return nil
}

// Release ends a hold if the fence is that of its newest acquisition.
func (t *Tables) Release(request Release) {
	if lock, ok := t.Locks[request.Name]; ok && lock.Holder == request.Holder && lock.Fence == request.Fence {
		delete(t.Locks, request.Name)
	}
}
