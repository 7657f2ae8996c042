package state

import (
	"math"
	"time"
)

const (
	// crashBackoff is the time for which a node's runner gets no work at a crash count of 2, as
	// after two crashes in short succession. It doubles with each increase of the count by one,
	// up to maxCrashBackoff.
	crashBackoff = 500 * time.Millisecond
	// maxCrashBackoff is the longest backoff. It must end before a job that waits although capacity
	// is free counts as lost, which is after 3 s.
	maxCrashBackoff = 2500 * time.Millisecond
	// crashCountHalfLife is the half-life of the decaying crash count.
	crashCountHalfLife = 8 * time.Second
)

// CrashBackoff is the decaying count of recent crashes of a node's runner.
type CrashBackoff struct {
	_         struct{} `cbor:",toarray"`
	Crashes   float64  // at UpdatedAt; halves every crashCountHalfLife
	UpdatedAt int64
}

// minBackoffCrashes is the crash count from which a backoff applies. A second crash
// within one half-life of the first reaches it.
const minBackoffCrashes = 1.5

// crashRetentionHalfLives is the number of half-lives without a crash after which a
// node's crash count is removed.
const crashRetentionHalfLives = 8

// recordCrash counts a crash of a node's runner. It returns the backoff in ms during
// which the node's next worker gets no work. The backoff is 0 while the decayed
// count, including this crash, is below minBackoffCrashes. Otherwise it is crashBackoff times
// 2^(count-2), up to maxCrashBackoff.
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

// pruneCrashBackoffs removes the crash counts of nodes that had no crash for
// crashRetentionHalfLives half-lives.
func (s *Store) pruneCrashBackoffs() {
	for node, backoff := range s.CrashBackoffs {
		if s.Clock-backoff.UpdatedAt > crashRetentionHalfLives*crashCountHalfLife.Milliseconds() {
			delete(s.CrashBackoffs, node)
		}
	}
}
