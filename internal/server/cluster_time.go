package server

import (
	"time"
)

const (
	// clockStepTolerance is by how much a time of day may be off the estimate and still count as
	// drift; it is above the error of a reading over the network.
	clockStepTolerance = 100 * time.Millisecond
	// clockStepHold is how long the members' readings must be off the cluster's wall clock, without a
	// break and to the same side, before they are taken over.
	clockStepHold = 10 * time.Second
	// clockWindow is for how long a follower uses a reading of the leader's clock.
	clockWindow = 5 * time.Second
)

// clusterTime is the wall clock of the cluster, as a process knows it on its own monotonic
// clock. Followers learn it from the entries that they apply, so that one that becomes
// leader goes on where the leader before it was. A leader holds it against the members'
// times of day: small differences are slewed away, larger ones are taken over only once
// they have lasted for clockStepHold, and without any entry before, at once.
type clusterTime struct {
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

// clockStep is what a reading of the members' times of day did to the cluster's clock.
type clockStep struct {
	offBy   time.Duration // the median of the members less the cluster's clock
	began   bool          // they went apart now
	adopted bool          // the difference was taken over
}

// newClusterTime begins to learn at a moment.
func newClusterTime(now time.Time) clusterTime { return clusterTime{origin: now} }

// learn records the wall clock of an entry that is applied now. An entry is applied
// after it was stamped, so the largest offset of late is the truest.
func (c *clusterTime) learn(now time.Time, wall time.Duration) {
	c.learned.add(now, wall-now.Sub(c.origin))
}

// beginTerm forgets what was known as leader of an earlier term.
func (c *clusterTime) beginTerm() {
	c.known, c.offSince = false, time.Time{}
}

// read returns a leader's wall clock, given the members' times of day, its own included.
func (c *clusterTime) read(now time.Time, members []time.Duration) (time.Duration, clockStep) {
	elapsed := now.Sub(c.origin)
	target := lowerMedian(members) - elapsed
	if !c.known {
		offset, ok := c.learned.latest()
		if !ok {
			offset = target
		}
		c.offset, c.known, c.readAt = offset, true, now
	}
	step := c.follow(now, target)
	c.readAt = now
	return c.offset + elapsed, step
}

// follow holds the offset against that of the members.
func (c *clusterTime) follow(now time.Time, target time.Duration) clockStep {
	off := target - c.offset
	if off <= clockStepTolerance && off >= -clockStepTolerance {
		c.offSince = time.Time{}
		c.offset = slew(c.offset, target, now.Sub(c.readAt))
		return clockStep{offBy: off}
	}
	step := clockStep{offBy: off}
	if c.offSince.IsZero() || c.ahead != (off > 0) {
		c.offSince, c.ahead, step.began = now, off > 0, true
	}
	if now.Sub(c.offSince) >= clockStepHold {
		c.offset, c.offSince, step.adopted = target, time.Time{}, true
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
	case now.Sub(l.windowAt) >= clockWindow:
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
