package clock

import (
	"math"
	"time"
)

// unknownOffset is the offset of a clock before any entry was observed.
const unknownOffset = time.Duration(math.MinInt64 / 2)

// Monotonic is the monotonic clock that a leader stamps on entries. It never runs backwards when
// the leader changes. A new leader continues from the newest stamp in the log or, if that is later,
// from the previous leader's clock as it observed it as a follower, which accounts for the time
// between the two leaders. Since any stamped entry, the clock has advanced by at most the elapsed
// time.
type Monotonic struct {
	origin       time.Time     // reference time of observed
	observed     time.Duration // the leader's clock at origin, as observed by this follower
	observedTerm uint64        // term of the entry from which observed was computed
	base         int64         // the clock, in ms, when this replica's term as leader began
	baseAt       time.Time     // when that term began
}

// NewMonotonic returns a clock that observes entries from now on.
func NewMonotonic(now time.Time) Monotonic { return Monotonic{origin: now, observed: unknownOffset} }

// Observe records the stamp, in ms, of the newest applied entry, and its term. Before any entry the
// stamp is 0 and the clock doesn't run yet: replicas start at different times, and each would take
// its own start for the zero of the group's clock.
//
// Within a term the largest offset counts, since smaller ones come from entries that were applied
// late. The leader of a later term may have started from the newest entry of its log, behind the
// clock of the previous leader. Its clock then is the clock of the group. An offset observed under
// the previous leader would be ahead of it, and a lock granted in the later term would expire too
// early.
func (m *Monotonic) Observe(now time.Time, term uint64, stamp int64) {
	if stamp <= 0 {
		return
	}
	observed := time.Duration(stamp)*time.Millisecond - now.Sub(m.origin)
	if term == m.observedTerm {
		observed = max(observed, m.observed)
	}
	m.observed, m.observedTerm = observed, term
}

// BeginTerm starts the clock for a term as leader; newest is the newest stamp in the log, in ms.
func (m *Monotonic) BeginTerm(now time.Time, newest int64) {
	observed := m.observed + now.Sub(m.origin)
	m.base, m.baseAt = max(newest, observed.Milliseconds()), now
}

// Read returns the clock of a leader, in ms.
func (m *Monotonic) Read(now time.Time) int64 { return m.base + now.Sub(m.baseAt).Milliseconds() }
