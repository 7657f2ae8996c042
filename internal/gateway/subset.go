package gateway

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Position is the position of a daemon among the daemons of its zone.
type Position struct {
	Index int
	Count int // 0: unknown
	Total int // daemons in all zones
}

const (
	// daemonsPerRunner is how many daemons of a zone use one runner. With fewer, each daemon
	// sees more of a runner's load through its own requests; with more, an uneven distribution
	// of clients over daemons is balanced better and daemons can stand in for each other.
	daemonsPerRunner = 3
	// minSubset is the minimum number of runners of a service that a daemon uses.
	minSubset = 4
)

// subset returns the runners of a service that this daemon uses. The runners are placed on a
// hash ring in an order that all daemons agree on, and each daemon uses an arc that starts at
// its own position. Every runner therefore serves about the same number of daemons, and adding
// or removing a runner or a daemon moves few arcs. A daemon keeps connections only to the
// runners of its arc, and its outstanding requests are a large part of their load.
func (p Position) subset(runners []*runnerState) []*runnerState {
	if p.Count <= 0 {
		return runners
	}
	n := max(minSubset, (len(runners)*daemonsPerRunner+p.Count-1)/p.Count)
	if len(runners) <= n {
		return runners
	}
	ring := slices.Clone(runners)
	slices.SortFunc(ring, func(a, b *runnerState) int {
		return cmp.Or(cmp.Compare(ringPosition(a.ID), ringPosition(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	start := p.Index * len(ring) / p.Count
	arc := make([]*runnerState, n)
	for i := range arc {
		arc[i] = ring[(start+i)%len(ring)]
	}
	return arc
}

// ringPosition returns the position of a runner on the hash ring.
func ringPosition(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // never fails
	return hash.Sum64()
}
