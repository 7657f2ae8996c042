package state

import (
	"math"

	"tealpond/internal/tuning"
)

// CrashBackoff is how often a node's runner was lost lately; it fades with time.
type CrashBackoff struct {
	_         struct{} `cbor:",toarray"`
	Crashes   float64
	UpdatedAt int64
}

// recordCrash notes that a node lost its runner and gives how long its next life
// gets no work: nothing after the first loss, then twice as long each time.
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

// forgetOldCrashes forgets nodes that have been calm.
func (s *Store) forgetOldCrashes() {
	for node, backoff := range s.CrashBackoffs {
		if s.Clock-backoff.UpdatedAt > 8*tuning.CrashCountHalfLife.Milliseconds() {
			delete(s.CrashBackoffs, node)
		}
	}
}
