package tally

import (
	"maps"
	"slices"
)

// Add is one change of a tally.
type Add struct {
	_      struct{} `cbor:",toarray"`
	Tally  string   // its name
	ID     string   // of the change, chosen by the caller; it counts once
	Amount int64
}

// Position names an add by where it came in first.
type Position struct {
	_      struct{} `cbor:",toarray"`
	Origin string   // a process of a replica
	Number uint64   // from 1 on
}

// Run is a run of adds of one origin, numbered without gaps.
type Run struct {
	_      struct{} `cbor:",toarray"`
	Origin string
	First  uint64 // the number of the first
	Adds   []Add
}

// Vector gives, for each origin, the number up to which all its adds are there.
type Vector map[string]uint64

// Covers tells whether all adds of another vector are there too.
func (v Vector) Covers(other Vector) bool {
	for origin, number := range other {
		if v[origin] < number {
			return false
		}
	}
	return true
}

// addKey is what an add is known by.
type addKey struct{ tally, id string }

// entry is an add that is known: its amount, and the first place in which it was seen here.
type entry struct {
	amount   int64
	position Position
}

// Set is the union of all adds that a replica has. It is not safe for concurrent use.
type Set struct {
	byOrigin map[string][]Add
	entries  map[addKey]entry
	totals   map[string]int64
}

// NewSet makes an empty set.
func NewSet() *Set {
	return &Set{byOrigin: map[string][]Add{}, entries: map[addKey]entry{}, totals: map[string]int64{}}
}

// Merge takes over those adds of a run that are new and follow what is there without a gap;
// it gives how many these are.
func (s *Set) Merge(run Run) (taken int) {
	known := uint64(len(s.byOrigin[run.Origin]))
	if run.First == 0 || run.First > known+1 {
		return 0
	}
	skip := known + 1 - run.First
	if skip >= uint64(len(run.Adds)) {
		return 0
	}
	for _, add := range run.Adds[skip:] {
		s.byOrigin[run.Origin] = append(s.byOrigin[run.Origin], add)
		s.count(add, Position{Origin: run.Origin, Number: uint64(len(s.byOrigin[run.Origin]))})
		taken++
	}
	return taken
}

// count adds an amount to its tally, unless its ID has counted. Callers use an ID for one
// amount only; if one came with two, the larger counts, so that the order doesn't matter.
func (s *Set) count(add Add, position Position) {
	key := addKey{add.Tally, add.ID}
	known, seen := s.entries[key]
	switch {
	case !seen:
		s.entries[key] = entry{add.Amount, position}
		s.totals[add.Tally] += add.Amount
	case add.Amount > known.amount:
		s.entries[key] = entry{add.Amount, known.position}
		s.totals[add.Tally] += add.Amount - known.amount
	}
}

// Total is the sum of a tally; 0 if there is no such tally.
func (s *Set) Total(tally string) int64 { return s.totals[tally] }

// Totals gives all tallies with their sums. The caller must not change it.
func (s *Set) Totals() map[string]int64 { return s.totals }

// Len is the number of adds that count.
func (s *Set) Len() int { return len(s.entries) }

// Find gives the place of an add that is there.
func (s *Set) Find(tally, id string) (Position, bool) {
	known, ok := s.entries[addKey{tally, id}]
	return known.position, ok
}

// Vector is what is there.
func (s *Set) Vector() Vector {
	vector := make(Vector, len(s.byOrigin))
	for origin, adds := range s.byOrigin {
		vector[origin] = uint64(len(adds))
	}
	return vector
}

// Newest is the number up to which all adds of an origin are there.
func (s *Set) Newest(origin string) uint64 { return uint64(len(s.byOrigin[origin])) }

// Has tells whether an add is there, by its place.
func (s *Set) Has(position Position) bool {
	return s.Newest(position.Origin) >= position.Number
}

// Missing gives the adds beyond a vector, of at most so many; only those of an origin, unless
// that is empty. They are in the order of their origins.
func (s *Set) Missing(vector Vector, only string, most int) []Run {
	var runs []Run
	origins := []string{only}
	if only == "" {
		origins = slices.Sorted(maps.Keys(s.byOrigin))
	}
	for _, origin := range origins {
		adds := s.byOrigin[origin]
		known := vector[origin]
		if known >= uint64(len(adds)) || most <= 0 {
			continue
		}
		lacking := adds[known:]
		lacking = lacking[:min(len(lacking), most)]
		most -= len(lacking)
		runs = append(runs, Run{Origin: origin, First: known + 1, Adds: lacking})
	}
	return runs
}
