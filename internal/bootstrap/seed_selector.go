package bootstrap

import (
	"slices"
	"time"
)

// seedTimeout is the silence of the seed that collects the candidates after which a candidate
// turns to the next seed.
const seedTimeout = 5 * time.Second

// SeedSelector chooses the seed to which a candidate for the first cluster
// announces itself. All candidates choose the same one, the lowest of the seeds:
// two seeds that gather at the same time could each propose a set, and form a
// cluster of its own or block each other. Another seed is chosen only after the
// present one was silent for seedTimeout. The zero value is ready
// for use; it isn't safe for concurrent use.
type SeedSelector struct {
	respondedAt time.Time // the last response, or when the present seed was chosen
	rotations   int       // how often another seed was chosen
}

// Select returns the seed to announce to now, empty if there is none. The order of
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

// OnResponse notes that the present seed responded.
func (s *SeedSelector) OnResponse(now time.Time) { s.respondedAt = now }
