package store

import (
	"math"

	"tealpond/internal/tune"
)

// Flap is how often a node's runner was lost lately; it fades with time.
type Flap struct {
	_     struct{} `cbor:",toarray"`
	Count float64
	At    int64
}

// flapped notes that a node lost its runner and gives how long its next life
// gets no work: nothing after the first loss, then twice as long each time.
func (s *Store) flapped(node string) int64 {
	f := s.Flaps[node]
	faded := f.Count * math.Exp2(-float64(s.Clock-f.At)/float64(tune.FlapFade.Milliseconds()))
	f = Flap{Count: faded + 1, At: s.Clock}
	if s.Flaps == nil {
		s.Flaps = map[string]Flap{}
	}
	s.Flaps[node] = f
	if f.Count < 1.5 {
		return 0
	}
	return int64(min(float64(tune.FlapPause.Milliseconds())*math.Exp2(f.Count-2), float64(tune.FlapMost.Milliseconds())))
}

// fadeFlaps forgets nodes that have been calm.
func (s *Store) fadeFlaps() {
	for n, f := range s.Flaps {
		if s.Clock-f.At > 8*tune.FlapFade.Milliseconds() {
			delete(s.Flaps, n)
		}
	}
}
