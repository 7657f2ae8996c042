package server

import (
	"math"
	"slices"
	"time"
)

// clockNeverSeen is the offset of a state clock of which no entry is known.
const clockNeverSeen = time.Duration(math.MinInt64 / 2)

// clock is the state's clock in ms, which never runs backwards when the leader changes: it
// goes on from the newest reading in the log, or from where this replica, as a follower,
// saw the leader's clock, which takes the time between two leaders into account. It is
// never ahead of the time that has passed since any entry was stamped.
func (r *Replica) clock(now time.Time) int64 {
	return r.clockBase + now.Sub(r.leadingSince).Milliseconds()
}

// learnClocks records the clocks of the newest entry that was applied, and of its term.
// Before any entry the clock doesn't run yet: replicas start at different moments, and each would
// take its own for the zero of the cluster's clock.
//
// Within a term the earliest reading for the time that has passed since counts: others were
// applied late. A leader of a later term may have started behind, from the newest entry of its
// log; then its clock is the cluster's, and what was seen of the one before would be ahead of it:
// a lock that the later one granted would be over too soon.
func (r *Replica) learnClocks(now time.Time, term uint64) {
	if r.state.WallClock > 0 {
		r.clusterTime.learn(now, time.Duration(r.state.WallClock)*time.Millisecond)
	}
	if r.state.Clock > 0 {
		seen := time.Duration(r.state.Clock)*time.Millisecond - now.Sub(r.clusterTime.origin)
		if term == r.clockSeenTerm {
			seen = max(seen, r.clockSeen)
		}
		r.clockSeen, r.clockSeenTerm = seen, term
	}
}

// beginClocks begins the clocks of a term of leadership.
func (r *Replica) beginClocks(now time.Time) {
	seen := r.clockSeen + now.Sub(r.clusterTime.origin)
	r.clockBase = max(r.state.Clock, seen.Milliseconds())
	r.clusterTime.beginTerm()
}

// wallClock is the wall-clock time in Unix ms, see clusterTime. Members without a recent
// reading count for nothing.
func (r *Replica) wallClock(now time.Time) int64 {
	members := []time.Duration{r.timeOfDay.read(now, machineTime(now))}
	for _, clock := range r.node.PeerWallClocks(now) {
		members = append(members, time.Duration(clock)*time.Millisecond)
	}
	wall, step := r.clusterTime.read(now, members)
	switch {
	case step.adopted:
		_ = r.log.Log("level", "warn", "event", "clock.adopted", "off_ms", step.offBy.Milliseconds(), "members", len(members))
	case step.began:
		_ = r.log.Log("level", "warn", "event", "clock.apart", "off_ms", step.offBy.Milliseconds(), "members", len(members))
	}
	return wall.Milliseconds()
}

// lowerMedian is the median of some times, the lower of two in the middle, since a
// periodic job may start late but not early. It sorts its argument, which must not be
// empty.
func lowerMedian(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[(len(times)-1)/2]
}
