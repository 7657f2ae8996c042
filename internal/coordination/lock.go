package coordination

import (
	"errors"
	"math"
	"time"

	"tealpond/internal/timing"
)

const (
	// lockExpiryMargin is added to a lock's hold, beside timing.LeaseClockDriftFactor, before another
	// caller may get the lock: stamps are rounded to ms.
	lockExpiryMargin = 20 * time.Millisecond
	// maxLockHold is the longest hold of a lock; a caller that asks for more gets this.
	maxLockHold = time.Hour
)

// ErrHeld is the refusal of a lock that another holds, or may still believe to hold.
var ErrHeld = errors.New("another holds the lock")

// ErrLost is the refusal of a caller that no longer holds the lock under its fence.
var ErrLost = errors.New("the lock was lost")

// Lock is a lock that is held.
type Lock struct {
	_          struct{} `cbor:",toarray"`
	Holder     string
	Fence      int64 // fencing token, of the newest acquisition: above those of all before it, of any lock
	FirstFence int64 // of the acquisition with which the hold began
	ExpiresAt  int64 // by the state's clock, in ms
	AcquiredAt int64 // likewise
}

// Acquire asks for a lock. One who holds the lock gets more time and a new fence.
type Acquire struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Holder string
	HoldMs int64
}

// Renew asks for more time under a fence.
type Renew struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Holder string
	Fence  int64
	HoldMs int64
}

// Release gives a lock back.
type Release struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Holder string
	Fence  int64
}

// expired reports whether no caller can count itself holder any more.
//
// A caller counts its hold from before it sent the call. The state's clock at the entry
// that granted it is later than that, and never runs ahead of the true time between two
// entries (server, clock.go); the caller's own clock may run slow by
// timing.LeaseClockDriftFactor. So at ExpiresAt, by any later entry's clock, the caller's
// hold is over.
func (l Lock) expired(clock int64) bool { return clock >= l.ExpiresAt }

// expiry is when a hold that is granted now has surely ended for its holder.
func expiry(clock, holdMs int64) int64 {
	holdMs = min(max(holdMs, 0), maxLockHold.Milliseconds())
	return clock + int64(math.Ceil(float64(holdMs)*timing.LeaseClockDriftFactor)) + lockExpiryMargin.Milliseconds()
}

// HeldByOther reports whether an acquisition would be refused. Tables that are nil hold
// nothing.
func (t *Tables) HeldByOther(request Acquire, clock int64) bool {
	if t == nil {
		return false
	}
	lock, ok := t.Locks[request.Name]
	return ok && lock.Holder != request.Holder && !lock.expired(clock)
}

// Acquire returns a lock to a caller, under a new fence; the error is ErrHeld, or ErrFull if the
// lock is not held and there is no room for one more.
//
// The fence is new for a caller who holds the lock already, too. Let a caller release a
// lock, hear nothing, and acquire it again; the release may still be on its way, and under
// the same fence would end the hold that the caller has by now. The price is paid by an
// acquisition that comes twice: the caller knows the fence of one of them, renews under it,
// but may not release under it, and the lock is free when its time is over.
func (t *Tables) Acquire(request Acquire, clock int64) (fence int64, err error) {
	if t.HeldByOther(request, clock) {
		return 0, ErrHeld
	}
	lock, ok := t.Locks[request.Name]
	if !ok && lacksRoom(t.Locks) {
		return 0, ErrFull
	}
	t.LastFence++
	if !ok || lock.expired(clock) || lock.Holder != request.Holder {
		lock = Lock{Holder: request.Holder, FirstFence: t.LastFence, AcquiredAt: clock}
	}
	lock.Fence = t.LastFence
	// A late call never shortens what a newer one was given.
	lock.ExpiresAt = max(lock.ExpiresAt, expiry(clock, request.HoldMs))
	t.Locks[request.Name] = lock
	return lock.Fence, nil
}

// Holds reports whether a caller holds a lock under a fence: that of any acquisition of the
// present hold, since of two copies of one either may be the one that the caller knows.
// Tables that are nil hold nothing.
func (t *Tables) Holds(name, holder string, fence, clock int64) bool {
	if t == nil {
		return false
	}
	lock, ok := t.Locks[name]
	return ok && lock.Holder == holder && lock.FirstFence <= fence && fence <= lock.Fence && !lock.expired(clock)
}

// Renew gives the holder more time; the error is ErrLost. A hold that is over isn't
// revived: its caller has given it up, and a late renewal would block the lock for all.
func (t *Tables) Renew(request Renew, clock int64) error {
	if !t.Holds(request.Name, request.Holder, request.Fence, clock) {
		return ErrLost
	}
	lock := t.Locks[request.Name]
	lock.ExpiresAt = max(lock.ExpiresAt, expiry(clock, request.HoldMs))
	t.Locks[request.Name] = lock
	return nil
}

// Release ends a hold, if its newest acquisition has that fence.
func (t *Tables) Release(request Release) {
	if lock, ok := t.Locks[request.Name]; ok && lock.Holder == request.Holder && lock.Fence == request.Fence {
		delete(t.Locks, request.Name)
	}
}
