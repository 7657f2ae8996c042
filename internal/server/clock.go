package server

import (
	"time"

	"tealpond/internal/clock"
)

// clock returns the state clock in ms, see clock.Monotonic.
func (r *Replica) clock(now time.Time) int64 { return r.stateClock.Read(now) }

// observeClocks records the clocks and the term of the last applied entry.
func (r *Replica) observeClocks(now time.Time, term uint64) {
	if r.state.WallClock > 0 {
		r.wall.Observe(now, time.Duration(r.state.WallClock)*time.Millisecond)
	}
	r.stateClock.Observe(now, term, r.state.Clock)
}

// startTermClocks starts the clocks for a new term of leadership.
func (r *Replica) startTermClocks(now time.Time) {
	r.stateClock.BeginTerm(now, r.state.Clock)
	r.wall.BeginTerm()
}

// wallClock returns the wall-clock time in Unix ms, see clock.Wall. Members without a recent
// reading are ignored.
func (r *Replica) wallClock(now time.Time) int64 {
	members := []time.Duration{r.timeOfDay.Read(now, clock.MachineTime(now))}
	for _, reading := range r.node.PeerWallClocks(now) {
		members = append(members, time.Duration(reading)*time.Millisecond)
	}
	wall, step := r.wall.Read(now, members)
	switch {
	case step.Adopted:
		_ = r.log.Log("level", "warn", "event", "clock.adopted", "off_ms", step.Difference.Milliseconds(), "members", len(members))
	case step.Diverged:
		_ = r.log.Log("level", "warn", "event", "clock.apart", "off_ms", step.Difference.Milliseconds(), "members", len(members))
	}
	return wall.Milliseconds()
}
