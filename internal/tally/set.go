package tally

import (
	"crypto/sha256"
	"slices"
)

// idBytes is the length of an ID, in bytes.
const idBytes = 16

// ID is what an add is known by: a hash of its tally and of the ID that the caller chose.
// Two of n adds have the same ID by chance with a probability of n*n / 2^129, which is 1.5e-27
// for a million; one of them would then not count.
type ID [idBytes]byte

// NewID is the ID of an add with a caller's ID.
func NewID(tally, callersID string) ID {
	// A tally's name has no zero byte, so that the pairs can't be confused.
	sum := sha256.Sum256([]byte(tally + "\x00" + callersID))
	return ID(sum[:idBytes])
}

// Add is one change of a tally.
type Add struct {
	_      struct{} `cbor:",toarray"`
	Tally  string   // its name
	ID     ID       // of the change; it counts once
	Amount int64
}

// Position names an add by where it came in first.
type Position struct {
	_      struct{} `cbor:",toarray"`
	Origin string   // a file of tallies
	Number uint64   // from 1 on
}

// Run is a run of adds of one origin, numbered without gaps.
type Run struct {
	_      struct{} `cbor:",toarray"`
	Origin string
	First  uint64 // the number of the first
	Adds   []Add
}

// Last is the number of the run's last add.
func (r Run) Last() uint64 { return r.First + uint64(len(r.Adds)) - 1 }

// place is a Position in short form: adds are many, origins few.
type place struct {
	origin uint32 // index in Set.origins
	number uint32
}

// origin is what a Set has of one origin.
type origin struct {
	name    string
	adds    []Add
	written uint64 // the number up to which they are on the disk
	// contents is the sum of the hashes of those on the disk.
	contents uint64
}

// Set is the union of all adds that a replica has: those on its disk, which count, and those
// that are on their way there. It is not safe for concurrent use.
type Set struct {
	origins []*origin
	byName  map[string]uint32
	names   map[string]string // of tallies: each is kept once
	// entries has the place of the add that counts for each ID.
	entries map[ID]place
	// superseded is the amount that counts for an ID for as long as the add at a place,
	// which has a larger one, is not on the disk.
	superseded map[place]int64
	totals     map[string]int64
	vector     Vector
	digest     Digest
	contents   uint64 // the sum of the hashes of all adds on the disk
}

// NewSet makes an empty set.
func NewSet() *Set {
	return &Set{byName: map[string]uint32{}, names: map[string]string{}, entries: map[ID]place{},
		superseded: map[place]int64{}, totals: map[string]int64{}, vector: Vector{}}
}

// originIndex returns the index of an origin, which is made if it is new.
func (s *Set) originIndex(name string) uint32 {
	index, known := s.byName[name]
	if !known {
		index = uint32(len(s.origins))
		s.byName[name] = index
		s.origins = append(s.origins, &origin{name: name})
	}
	return index
}

// Stage takes over those adds of a run that are new and follow what is there without a gap,
// and returns them; its run is empty if there are none. They don't count before MarkWritten.
func (s *Set) Stage(run Run) Run {
	known := s.Newest(run.Origin)
	if run.First == 0 || run.First > known+1 || run.Last() <= known {
		return Run{}
	}
	index := s.originIndex(run.Origin)
	taken := Run{Origin: run.Origin, First: known + 1, Adds: run.Adds[known+1-run.First:]}
	for i, add := range taken.Adds {
		add.Tally = s.intern(add.Tally)
		s.origins[index].adds = append(s.origins[index].adds, add)
		s.enter(add, place{index, uint32(taken.First) + uint32(i)})
	}
	return taken
}

// intern returns one copy of a tally's name.
func (s *Set) intern(name string) string {
	if known, ok := s.names[name]; ok {
		return known
	}
	s.names[name] = name
	return name
}

// enter notes where an add stands, if its ID has not come before. Callers use an ID for one
// amount only; if one came with two, the larger counts, so that the order doesn't matter.
func (s *Set) enter(add Add, at place) {
	known, seen := s.entries[add.ID]
	if !seen {
		s.entries[add.ID] = at
		return
	}
	counting := s.add(known)
	if add.Amount <= counting.Amount {
		return
	}
	s.entries[add.ID] = at
	if amount, waiting := s.superseded[known]; waiting {
		delete(s.superseded, known)
		s.superseded[at] = amount
	} else if s.isWritten(known) {
		s.superseded[at] = counting.Amount
	}
}

func (s *Set) add(at place) Add { return s.origins[at.origin].adds[at.number-1] }

func (s *Set) isWritten(at place) bool { return s.origins[at.origin].written >= uint64(at.number) }

// MarkWritten records that adds that were staged are on the disk: from now on they count.
func (s *Set) MarkWritten(run Run) {
	index, known := s.byName[run.Origin]
	if !known || len(run.Adds) == 0 {
		return
	}
	origin := s.origins[index]
	last := min(run.Last(), uint64(len(origin.adds)))
	if last <= origin.written {
		return
	}
	for number := origin.written + 1; number <= last; number++ {
		at := place{index, uint32(number)}
		add := s.add(at)
		hash := hashAdd(origin.name, number, add)
		origin.contents += hash
		s.contents += hash
		if s.entries[add.ID] == at {
			s.totals[add.Tally] += add.Amount - s.superseded[at]
			delete(s.superseded, at)
		}
	}
	origin.written = last
	s.digest = s.digest.replace(origin.name, s.vector[origin.name], last)
	s.vector[origin.name] = last
}

// Total is the sum of a tally; 0 if there is no such tally.
func (s *Set) Total(tally string) int64 { return s.totals[tally] }

// Totals returns all tallies with their sums. The caller must not change it.
func (s *Set) Totals() map[string]int64 { return s.totals }

// Len is the number of adds that are known by their IDs.
func (s *Set) Len() int { return len(s.entries) }

// Find returns the place of an add that is there.
func (s *Set) Find(id ID) (Position, bool) {
	at, known := s.entries[id]
	if !known {
		return Position{}, false
	}
	return Position{Origin: s.origins[at.origin].name, Number: uint64(at.number)}, true
}

// Vector is what is on the disk. The caller must not change it.
func (s *Set) Vector() Vector { return s.vector }

// Digest is that of the vector.
func (s *Set) Digest() Digest { return s.digest }

// Newest is the number up to which all adds of an origin are there, on the disk or on their
// way to it.
func (s *Set) Newest(origin string) uint64 {
	index, known := s.byName[origin]
	if !known {
		return 0
	}
	return uint64(len(s.origins[index].adds))
}

// Has reports whether an add is on the disk, by its place.
func (s *Set) Has(position Position) bool {
	return s.vector[position.Origin] >= position.Number
}

// Missing returns the adds on the disk that are beyond a vector, of at most so many, in the
// order of their origins.
func (s *Set) Missing(vector Vector, most int) []Run {
	var lacking []string
	for name, written := range s.vector {
		if vector[name] < written {
			lacking = append(lacking, name)
		}
	}
	slices.Sort(lacking)
	var runs []Run
	for _, name := range lacking {
		if most <= 0 {
			break
		}
		run := s.MissingOf(name, vector[name], most)
		most -= len(run.Adds)
		runs = append(runs, run)
	}
	return runs
}

// MissingOf returns the adds of an origin that are on the disk and beyond a number, of at most
// so many; an empty run if there are none.
func (s *Set) MissingOf(name string, known uint64, most int) Run {
	written := s.vector[name]
	if known >= written {
		return Run{}
	}
	adds := s.origins[s.byName[name]].adds[known:written]
	return Run{Origin: name, First: known + 1, Adds: adds[:min(len(adds), most)]}
}
