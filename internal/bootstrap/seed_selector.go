package bootstrap

import (
	"slices"
	"time"
)

// seedTimeout is how long a candidate waits for a response of the selected seed before it
// selects the next one.
const seedTimeout = 5 * time.Second

// SeedSelector selects the seed to which a candidate for the first cluster
// announces itself. All candidates select the same one, the first in lexical order:
// two seeds that collect candidates at the same time could each propose a set, and either form
// separate clusters or block each other. Another seed is selected only after the
// current one has not responded for seedTimeout. The zero value is ready
// for use. It is not safe for concurrent use.
type SeedSelector struct {
	respondedAt time.Time // the last response, or when the current seed was selected
	rotations   int       // how often the next seed was selected
}

// Select returns the seed to announce to now, or an empty string if there are no seeds. The order of
// the seeds does not matter.
func (s *SeedSelector) Select(seeds []string, now time.Time) string {
	if len(seeds) == 0 {
		return ""
	}
	if s.respondedAt.IsZero() {
		s.respondedAt = now
	}
	if now.Sub(s.respondedAt) >= seedTimeout {
		s.respondedAt = now
		s.rotations++
	}
	sorted := slices.Sorted(slices.Values(seeds))
	return sorted[s.rotations%len(sorted)]
}

// OnResponse records a response of the current seed.
func (s *SeedSelector) OnResponse(now time.Time) { s.respondedAt = now }
