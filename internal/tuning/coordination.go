package tuning

import "time"

// Locks, numbers, keys and watches of applications.
const (
	// LockExpiryMargin is added to a lock's hold, beside LeaseClockDriftFactor, before
	// another caller may get the lock: stamps are rounded to ms.
	LockExpiryMargin = 20 * time.Millisecond
	// MaxLockHold is the longest hold of a lock; a caller that asks for more gets this.
	MaxLockHold = time.Hour
	// PutMemory is for how long the outcome of a put is remembered by its value, so that
	// one that is sent again, or comes late from a daemon that was frozen, gets the same
	// answer. Callers repeat a put for seconds; cuts and freezes last for tens of seconds.
	PutMemory = 2 * time.Minute
	// DefaultKeyHistory is for how long a watch may resume where the settings name no
	// historyS.
	DefaultKeyHistory = time.Minute
	// KeyHistoryMargin is added to that: an answer takes a moment to its caller.
	KeyHistoryMargin = 2 * time.Second
	// MaxWatchEvents is the number of events in one answer of a watch. The next call
	// brings the rest.
	MaxWatchEvents = 500
	// MaxWatchWait is the longest time for which a watch is held; the caller asks again.
	MaxWatchWait = 30 * time.Second
	// CoordinationRequestTimeout is how long a call of an application may take.
	// Applications turn to another daemon after a second of silence, in which the answer
	// must arrive.
	CoordinationRequestTimeout = 850 * time.Millisecond
	// MaxCoordinationBodyBytes is the size of the largest body of such a call, in bytes.
	MaxCoordinationBodyBytes = 64 << 10
	// MaxCoordinationNameBytes is the length of the longest name of a lock, a counter or
	// a key, and of a holder, in bytes.
	MaxCoordinationNameBytes = 256
	// MaxCoordinationRows bounds the locks, the counters, the keys and the remembered
	// puts, each: at 200 bytes a row all four take 80 MB of a server's memory.
	MaxCoordinationRows = 100_000
)
