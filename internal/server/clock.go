package server

import (
	"slices"
	"time"
)

// clock is the state's clock in ms: it goes on from the newest reading in the log, so
// that it never runs backwards when the leader changes.
func (r *Replica) clock(now time.Time) int64 {
	return r.clockBase + now.Sub(r.leadingSince).Milliseconds()
}

// wallClock is the wall-clock time in Unix ms: the median of the members' offsets
// from this leader's monotonic clock, so that a jump of one machine's clock alone has
// no effect. Without a recent reading of another member it goes on from the last
// offset.
func (r *Replica) wallClock(now time.Time) int64 {
	elapsed := now.Sub(r.leadingSince).Milliseconds()
	offsets := []int64{now.UnixMilli() - elapsed}
	for _, clock := range r.node.PeerWallClocks(now) {
		offsets = append(offsets, clock-elapsed)
	}
	if !r.wallClockKnown || len(offsets) > 1 {
		r.wallClockOffset, r.wallClockKnown = lowerMedian(offsets), true
	}
	return r.wallClockOffset + elapsed
}

// lowerMedian is the median of some offsets, the lower of two in the middle, since a
// periodic job may start late but not early. It sorts its argument, which must not be
// empty.
func lowerMedian(offsets []int64) int64 {
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}
