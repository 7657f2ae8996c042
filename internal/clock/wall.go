package clock

import (
	"slices"
	"time"
)

const (
	// stepTolerance is by how much a time of day may be off the estimate and still count as
	// drift; it is above the error of a reading over the network.
	stepTolerance = 100 * time.Millisecond
	// stepHold is how long the members' readings must be off the cluster's wall clock, without a
	// break and to the same side, before they are taken over.
	stepHold = 10 * time.Second
	// window is for how long a follower uses a reading of the leader's clock.
	window = 5 * time.Second
)

// Wall is the wall clock of a group of replicas, as a process knows it on its own monotonic
// clock. Followers learn it from the entries that they apply, so that one that becomes
// leader goes on where the leader before it was. A leader holds it against the members'
// times of day: small differences are slewed away, larger ones are taken over only once
// they have lasted for stepHold, and without any entry before, at once.
type Wall struct {
	origin  time.Time     // of the offsets
	offset  time.Duration // of a leader: time since 1970 at the origin
	known   bool          // offset is that of the present term
	readAt  time.Time
	learned learnedOffset

	// Since when the members' times of day were off by more than the tolerance, all to
	// one side; zero if they are not.
	offSince time.Time
	ahead    bool
}

// Step is what a reading of the members' times of day did to the cluster's clock.
type Step struct {
	OffBy   time.Duration // the median of the members less the cluster's clock
	Began   bool          // they went apart now
	Adopted bool          // the difference was taken over
}

// NewWall returns a clock that begins to learn at a moment.
func NewWall(now time.Time) Wall { return Wall{origin: now} }

// Learn records the wall clock of an entry that is applied now. An entry is applied
// after it was stamped, so the largest offset of late is the truest.
func (w *Wall) Learn(now time.Time, wall time.Duration) {
	w.learned.add(now, wall-now.Sub(w.origin))
}

// BeginTerm forgets what was known as leader of an earlier term.
func (w *Wall) BeginTerm() {
	w.known, w.offSince = false, time.Time{}
}

// Read returns a leader's wall clock, given the members' times of day, its own included.
func (w *Wall) Read(now time.Time, members []time.Duration) (time.Duration, Step) {
	elapsed := now.Sub(w.origin)
	target := lowerMedian(members) - elapsed
	if !w.known {
		offset, ok := w.learned.latest()
		if !ok {
			offset = target
		}
		w.offset, w.known, w.readAt = offset, true, now
	}
	step := w.follow(now, target)
	w.readAt = now
	return w.offset + elapsed, step
}

// follow holds the offset against that of the members.
func (w *Wall) follow(now time.Time, target time.Duration) Step {
	off := target - w.offset
	if off <= stepTolerance && off >= -stepTolerance {
		w.offSince = time.Time{}
		w.offset = slew(w.offset, target, now.Sub(w.readAt))
		return Step{OffBy: off}
	}
	step := Step{OffBy: off}
	if w.offSince.IsZero() || w.ahead != (off > 0) {
		w.offSince, w.ahead, step.Began = now, off > 0, true
	}
	if now.Sub(w.offSince) >= stepHold {
		w.offset, w.offSince, step.Adopted = target, time.Time{}, true
	}
	return step
}

// learnedOffset is the largest of the offsets of the last one to two windows.
type learnedOffset struct {
	windowAt         time.Time
	present, earlier time.Duration
	windows          int // that have an offset: 0, 1, or 2 for both
}

// add records an offset.
func (l *learnedOffset) add(now time.Time, offset time.Duration) {
	switch {
	case l.windows == 0:
		l.windowAt, l.present, l.windows = now, offset, 1
	case now.Sub(l.windowAt) >= window:
		l.windowAt, l.earlier, l.present, l.windows = now, l.present, offset, 2
	default:
		l.present = max(l.present, offset)
	}
}

// latest returns the largest offset; false if there was none.
func (l *learnedOffset) latest() (time.Duration, bool) {
	if l.windows == 2 {
		return max(l.present, l.earlier), true
	}
	return l.present, l.windows > 0
}

// lowerMedian is the median of some times, the lower of two in the middle, since a
// periodic job may start late but not early. It sorts its argument, which must not be
// empty.
func lowerMedian(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[(len(times)-1)/2]
}
