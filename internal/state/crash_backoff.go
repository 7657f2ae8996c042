package state

import (
	"math"

	"tealpond/internal/tuning"
)

// CrashBackoff counts how often a node's runner crashed lately.
type CrashBackoff struct {
	_         struct{} `cbor:",toarray"`
	Crashes   float64  // at UpdatedAt; halves with each tuning.CrashCountHalfLife
	UpdatedAt int64
}

// recordCrash counts a crash of a node's runner. It returns for how many ms the
// node's next worker gets no work: none after the first crash, then twice as
// long with each, up to tuning.MaxCrashBackoff.
func (s *Store) recordCrash(node string) int64 {
	backoff := s.CrashBackoffs[node]
	faded := backoff.Crashes * math.Exp2(-float64(s.Clock-backoff.UpdatedAt)/float64(tuning.CrashCountHalfLife.Milliseconds()))
	backoff = CrashBackoff{Crashes: faded + 1, UpdatedAt: s.Clock}
	if s.CrashBackoffs == nil {
		s.CrashBackoffs = map[string]CrashBackoff{}
	}
	s.CrashBackoffs[node] = backoff
	if backoff.Crashes < 1.5 {
		return 0
	}
	return int64(min(float64(tuning.CrashBackoff.Milliseconds())*math.Exp2(backoff.Crashes-2), float64(tuning.MaxCrashBackoff.Milliseconds())))
}

// forgetOldCrashes removes the counts of nodes that have been calm for eight
// half-lives.
func (s *Store) forgetOldCrashes() {
	for node, backoff := range s.CrashBackoffs {
		if s.Clock-backoff.UpdatedAt > 8*tuning.CrashCountHalfLife.Milliseconds() {
			delete(s.CrashBackoffs, node)
		}
	}
}
