package state

import (
	"math"
	"time"
)

const (
	// crashBackoff is how long a runner that was lost a second time gets no work; it doubles at each
	// further loss, up to maxCrashBackoff.
	crashBackoff = 500 * time.Millisecond
	// maxCrashBackoff is the longest crashBackoff; a job that waits for 3 s beside free room counts as
	// lost.
	maxCrashBackoff = 2500 * time.Millisecond
	// crashCountHalfLife is the time in which half of a loss is forgotten.
	crashCountHalfLife = 8 * time.Second
)

// CrashBackoff counts the recent crashes of a node's runner.
type CrashBackoff struct {
	_         struct{} `cbor:",toarray"`
	Crashes   float64  // at UpdatedAt; halves with each crashCountHalfLife
	UpdatedAt int64
}

// minBackoffCrashes is the least count of crashes that leads to a back-off: a second
// crash within one half-life reaches it.
const minBackoffCrashes = 1.5

// crashMemoryHalfLives is after how many half-lives without a crash a node's count
// is removed.
const crashMemoryHalfLives = 8

// recordCrash counts a crash of a node's runner. It returns for how many ms the
// node's next worker gets no work: none after the first crash, then twice as
// long with each, up to maxCrashBackoff.
func (s *Store) recordCrash(node string) int64 {
	backoff := s.CrashBackoffs[node]
	decayed := backoff.Crashes * math.Exp2(-float64(s.Clock-backoff.UpdatedAt)/float64(crashCountHalfLife.Milliseconds()))
	backoff = CrashBackoff{Crashes: decayed + 1, UpdatedAt: s.Clock}
	if s.CrashBackoffs == nil {
		s.CrashBackoffs = map[string]CrashBackoff{}
	}
	s.CrashBackoffs[node] = backoff
	if backoff.Crashes < minBackoffCrashes {
		return 0
	}
	backoffMs := float64(crashBackoff.Milliseconds()) * math.Exp2(backoff.Crashes-2)
	return int64(min(backoffMs, float64(maxCrashBackoff.Milliseconds())))
}

// forgetOldCrashes removes the counts of nodes without a crash for
// crashMemoryHalfLives.
func (s *Store) forgetOldCrashes() {
	for node, backoff := range s.CrashBackoffs {
		if s.Clock-backoff.UpdatedAt > crashMemoryHalfLives*crashCountHalfLife.Milliseconds() {
			delete(s.CrashBackoffs, node)
		}
	}
}
