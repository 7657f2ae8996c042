package clock

import (
	"math"
	"time"
)

// neverSeen is the offset of a clock of which no entry is known.
const neverSeen = time.Duration(math.MinInt64 / 2)

// Monotonic is the clock that a leader stamps on entries. It never runs backwards when the leader
// changes: it goes on from the newest stamp in the log, or from where this replica, as a follower,
// saw the leader's clock, which takes the time between two leaders into account. It is never ahead
// of the time that has passed since any entry was stamped.
type Monotonic struct {
	origin   time.Time     // of seen
	seen     time.Duration // the leader's clock at origin, as a follower saw it
	seenTerm uint64        // of the entry by which seen is known
	base     int64         // the clock when this replica's term began, in ms
	since    time.Time     // when that was
}

// NewMonotonic returns a clock that begins to learn at a moment.
func NewMonotonic(now time.Time) Monotonic { return Monotonic{origin: now, seen: neverSeen} }

// Learn records the stamp, in ms, of the newest entry that was applied, and its term. Before any
// entry the stamp is 0 and the clock doesn't run yet: replicas start at different moments, and
// each would take its own for the zero of the group's clock.
//
// Within a term the earliest reading for the time that has passed since counts: others were
// applied late. A leader of a later term may have started behind, from the newest entry of its
// log; then its clock is the group's, and what was seen of the one before would be ahead of it:
// a lock that the later one granted would be over too soon.
func (m *Monotonic) Learn(now time.Time, term uint64, stamp int64) {
	if stamp <= 0 {
		return
	}
	seen := time.Duration(stamp)*time.Millisecond - now.Sub(m.origin)
	if term == m.seenTerm {
		seen = max(seen, m.seen)
	}
	m.seen, m.seenTerm = seen, term
}

// BeginTerm begins a term of leadership; newest is the newest stamp in the log, in ms.
func (m *Monotonic) BeginTerm(now time.Time, newest int64) {
	seen := m.seen + now.Sub(m.origin)
	m.base, m.since = max(newest, seen.Milliseconds()), now
}

// Read returns a leader's clock, in ms.
func (m *Monotonic) Read(now time.Time) int64 { return m.base + now.Sub(m.since).Milliseconds() }
