package server

import (
	"sort"
	"time"
)

// clock is the store's clock: it goes on from the newest stamp in the log.
func (r *Replica) clock(now time.Time) int64 {
	return r.clockBase + now.Sub(r.leadingSince).Milliseconds()
}

// wallClock is the wall-clock time in milliseconds: the median of the members'
// offsets, so that a jump of this machine's clock alone has no effect.
func (r *Replica) wallClock(now time.Time) int64 {
	elapsed := now.Sub(r.leadingSince).Milliseconds()
	offsets := []int64{now.UnixMilli() - elapsed}
	for _, clock := range r.node.PeerWallClocks(now) {
		offsets = append(offsets, clock-elapsed)
	}
	sort.Slice(offsets, func(a, b int) bool { return offsets[a] < offsets[b] })
	// The lower median is taken: to start a run too early breaks a rule, to start
	// it late does not.
	median := offsets[(len(offsets)-1)/2]
	if !r.wallClockKnown || len(offsets) > 1 {
		r.wallClockOffset, r.wallClockKnown = median, true
	}
	return r.wallClockOffset + elapsed
}
