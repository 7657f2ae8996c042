package clock

import (
	"slices"
	"time"
)

const (
	// stepTolerance is the largest difference between the members' time of day and the cluster's wall
	// clock that counts as drift; it is above the error of a reading over the network.
	stepTolerance = 100 * time.Millisecond
	// stepConfirmTime is how long the members' time of day must differ from the cluster's wall clock,
	// without interruption and in the same direction, before it is adopted.
	stepConfirmTime = 10 * time.Second
	// observationWindow is the length of the windows of observedOffset. A follower uses an observed
	// offset of the leader's clock for one to two windows.
	observationWindow = 5 * time.Second
)

// Wall is the wall clock of a group of replicas, kept as an offset to the process's own monotonic
// clock. Followers observe it in the entries that they apply, so that a new leader continues from
// where the previous one was. A leader compares it with the median of the members' times of day.
// Small differences are removed by slewing. Larger ones are adopted only once they have lasted for
// stepConfirmTime. Without any earlier entry, the median is adopted at once.
type Wall struct {
	origin    time.Time     // reference time of the offsets
	offset    time.Duration // of a leader: time since 1970 at the origin
	hasOffset bool          // offset was set in the current term
	readAt    time.Time     // time of the leader's last reading
	observed  observedOffset

	// divergedSince is since when the members' time of day has differed from the clock by more than
	// stepTolerance in one direction; zero if it doesn't. ahead reports whether the members' time is
	// ahead of the clock.
	divergedSince time.Time
	ahead         bool
}

// Step is the effect of a reading of the members' times of day on the cluster's clock.
type Step struct {
	Difference time.Duration // median of the members minus the cluster's clock
	Diverged   bool          // a difference above the tolerance began with this reading
	Adopted    bool          // the members' time was adopted
}

// NewWall returns a clock that observes entries from now on.
func NewWall(now time.Time) Wall { return Wall{origin: now} }

// Observe records the wall clock of an entry that is applied now. Entries are applied after they were
// stamped, so the largest recent offset is the most accurate.
func (w *Wall) Observe(now time.Time, wall time.Duration) {
	w.observed.add(now, wall-now.Sub(w.origin))
}

// BeginTerm discards the offset of an earlier term as leader.
func (w *Wall) BeginTerm() {
	w.hasOffset, w.divergedSince = false, time.Time{}
}

// Read returns the wall clock of a leader; members are the members' times of day, its own included.
func (w *Wall) Read(now time.Time, members []time.Duration) (time.Duration, Step) {
	elapsed := now.Sub(w.origin)
	target := lowerMedian(members) - elapsed
	if !w.hasOffset {
		offset, ok := w.observed.latest()
		if !ok {
			offset = target
		}
		w.offset, w.hasOffset, w.readAt = offset, true, now
	}
	step := w.follow(now, target)
	w.readAt = now
	return w.offset + elapsed, step
}

// follow compares the offset with that of the members, and adjusts it.
func (w *Wall) follow(now time.Time, target time.Duration) Step {
	difference := target - w.offset
	if difference <= stepTolerance && difference >= -stepTolerance {
		w.divergedSince = time.Time{}
		w.offset = slew(w.offset, target, now.Sub(w.readAt))
		return Step{Difference: difference}
	}
	step := Step{Difference: difference}
	if w.divergedSince.IsZero() || w.ahead != (difference > 0) {
		w.divergedSince, w.ahead, step.Diverged = now, difference > 0, true
	}
	if now.Sub(w.divergedSince) >= stepConfirmTime {
		w.offset, w.divergedSince, step.Adopted = target, time.Time{}, true
	}
	return step
}

// observedOffset is the largest of the offsets observed in the last one to two windows.
type observedOffset struct {
	windowStart       time.Time
	current, previous time.Duration
	windowCount       int // windows that have an offset: 0, 1 (current) or 2
}

// add records an offset.
func (l *observedOffset) add(now time.Time, offset time.Duration) {
	switch {
	case l.windowCount == 0:
		l.windowStart, l.current, l.windowCount = now, offset, 1
	case now.Sub(l.windowStart) >= observationWindow:
		l.windowStart, l.previous, l.current, l.windowCount = now, l.current, offset, 2
	default:
		l.current = max(l.current, offset)
	}
}

// latest returns the largest offset; false if none was recorded.
func (l *observedOffset) latest() (time.Duration, bool) {
	if l.windowCount == 2 {
		return max(l.current, l.previous), true
	}
	return l.current, l.windowCount > 0
}

// lowerMedian returns the median of the times, or the lower of two middle ones, since a periodic
// job may start late but not early. It sorts its argument, which must not be empty.
func lowerMedian(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[(len(times)-1)/2]
}
