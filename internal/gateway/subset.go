package gateway

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Position is a daemon's place among the daemons of its zone.
type Position struct {
	Index int
	Count int // 0: not known
	Total int // of the daemons of all zones
}

const (
	// daemonsPerRunner is how many daemons of a zone use one runner. Fewer would know
	// more of its load by their own requests; more even out that clients come to the
	// daemons unevenly, and stand in for each other.
	daemonsPerRunner = 3
	// minSubset is the least number of runners of a service that a daemon uses.
	minSubset = 4
)

// subset returns the runners of a service that a daemon uses. The runners stand on a circle,
// in an order that all daemons know; each daemon uses those of an arc that begins at its
// place. So each runner serves as many daemons as any other, and a change of either moves
// few arcs. The arc of a daemon is what it has connections to, and what it has under way
// there is a large part of the work of these runners.
func (p Position) subset(runners []*runnerState) []*runnerState {
	if p.Count <= 0 {
		return runners
	}
	n := max(minSubset, (len(runners)*daemonsPerRunner+p.Count-1)/p.Count)
	if len(runners) <= n {
		return runners
	}
	circle := slices.Clone(runners)
	slices.SortFunc(circle, func(a, b *runnerState) int {
		return cmp.Or(cmp.Compare(placeOf(a.ID), placeOf(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	from := p.Index * len(circle) / p.Count
	arc := make([]*runnerState, n)
	for i := range arc {
		arc[i] = circle[(from+i)%len(circle)]
	}
	return arc
}

// placeOf is a runner's place on the circle.
func placeOf(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // it never fails
	return hash.Sum64()
}
