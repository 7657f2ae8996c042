package tally

import (
	"crypto/sha256"
	"slices"
)

// idBytes is the length of an ID, in bytes.
const idBytes = 16

// ID identifies an add: a hash of its tally and of the ID that the caller chose. The probability
// that two of n adds have the same ID by chance is n*n / 2^129, which is 1.5e-27 for a million; one
// of them would then not count.
type ID [idBytes]byte

// NewID returns the ID of an add from the ID that its caller chose.
func NewID(tally, callersID string) ID {
	// A tally's name has no zero byte, so the pairs are unambiguous.
	sum := sha256.Sum256([]byte(tally + "\x00" + callersID))
	return ID(sum[:idBytes])
}

// Add is one change of a tally.
type Add struct {
	_      struct{} `cbor:",toarray"`
	Tally  string   // the tally's name
	ID     ID       // counts once
	Amount int64
}

// Position identifies an add by the replica file in which it was numbered.
type Position struct {
	_      struct{} `cbor:",toarray"`
	Origin string   // identifies a tally file
	Number uint64   // starts at 1
}

// Run is a sequence of adds of one origin, numbered without gaps.
type Run struct {
	_      struct{} `cbor:",toarray"`
	Origin string
	First  uint64 // the number of the first
	Adds   []Add
}

// Last returns the number of the run's last add.
func (r Run) Last() uint64 { return r.First + uint64(len(r.Adds)) - 1 }

// location is a Position with an index in place of the origin's name, which saves memory: there are
// many adds and few origins.
type location struct {
	origin uint32 // index in Set.origins
	number uint32
}

// origin holds the adds of one origin in a Set.
type origin struct {
	name    string
	adds    []Add
	written uint64 // number up to which they are on the disk
	// contents is the sum of the hashes of the adds on the disk.
	contents uint64
}

// Set is the union of all adds that a replica has: those on its disk, which count, and those that
// are being written. It is not safe for concurrent use.
type Set struct {
	origins    []*origin
	byName     map[string]uint32
	tallyNames map[string]string // interned names of tallies
	// positionByID has, for each ID, the position of the add that counts.
	positionByID map[ID]location
	// supersededAmounts has the amount that still counts for an ID while the add at the key's
	// position, which has a larger amount, is not on the disk yet.
	supersededAmounts map[location]int64
	totals            map[string]int64
	vector            Vector
	digest            Digest
	contents          uint64 // sum of the hashes of all adds on the disk
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{byName: map[string]uint32{}, tallyNames: map[string]string{}, positionByID: map[ID]location{},
		supersededAmounts: map[location]int64{}, totals: map[string]int64{}, vector: Vector{}}
}

// originIndex returns the index of an origin, and creates the origin if it is new.
func (s *Set) originIndex(name string) uint32 {
	index, known := s.byName[name]
	if !known {
		index = uint32(len(s.origins))
		s.byName[name] = index
		s.origins = append(s.origins, &origin{name: name})
	}
	return index
}

// Stage adds and returns those adds of a run that are new and continue the known ones without a
// gap; it returns an empty run if there are none. They don't count before MarkWritten.
func (s *Set) Stage(run Run) Run {
	known := s.LastNumber(run.Origin)
	if run.First == 0 || run.First > known+1 || run.Last() <= known {
		return Run{}
	}
	index := s.originIndex(run.Origin)
	taken := Run{Origin: run.Origin, First: known + 1, Adds: run.Adds[known+1-run.First:]}
	for i, add := range taken.Adds {
		add.Tally = s.intern(add.Tally)
		s.origins[index].adds = append(s.origins[index].adds, add)
		s.indexAdd(add, location{index, uint32(taken.First) + uint32(i)})
	}
	return taken
}

// intern returns the shared copy of a tally's name.
func (s *Set) intern(name string) string {
	if known, ok := s.tallyNames[name]; ok {
		return known
	}
	s.tallyNames[name] = name
	return name
}

// indexAdd records the position of an add whose ID is new. Callers use an ID with one amount only;
// if an ID comes with two amounts, the larger counts, so that the order doesn't matter.
func (s *Set) indexAdd(add Add, at location) {
	known, seen := s.positionByID[add.ID]
	if !seen {
		s.positionByID[add.ID] = at
		return
	}
	counting := s.add(known)
	if add.Amount <= counting.Amount {
		return
	}
	s.positionByID[add.ID] = at
	if amount, waiting := s.supersededAmounts[known]; waiting {
		delete(s.supersededAmounts, known)
		s.supersededAmounts[at] = amount
	} else if s.isWritten(known) {
		s.supersededAmounts[at] = counting.Amount
	}
}

func (s *Set) add(at location) Add { return s.origins[at.origin].adds[at.number-1] }

func (s *Set) isWritten(at location) bool { return s.origins[at.origin].written >= uint64(at.number) }

// MarkWritten records that staged adds are on the disk: from now on they count.
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
		at := location{index, uint32(number)}
		add := s.add(at)
		hash := hashAdd(origin.name, number, add)
		origin.contents += hash
		s.contents += hash
		if s.positionByID[add.ID] == at {
			s.totals[add.Tally] += add.Amount - s.supersededAmounts[at]
			delete(s.supersededAmounts, at)
		}
	}
	origin.written = last
	s.digest = s.digest.withNumber(origin.name, s.vector[origin.name], last)
	s.vector[origin.name] = last
}

// Total returns the sum of a tally; 0 if there is no such tally.
func (s *Set) Total(tally string) int64 { return s.totals[tally] }

// Totals returns the sums of all tallies. The caller must not modify it.
func (s *Set) Totals() map[string]int64 { return s.totals }

// Len returns the number of different IDs.
func (s *Set) Len() int { return len(s.positionByID) }

// Find returns the position of the add that counts for an ID.
func (s *Set) Find(id ID) (Position, bool) {
	at, known := s.positionByID[id]
	if !known {
		return Position{}, false
	}
	return Position{Origin: s.origins[at.origin].name, Number: uint64(at.number)}, true
}

// Vector describes what is on the disk. The caller must not modify it.
func (s *Set) Vector() Vector { return s.vector }

// Digest returns the digest of the vector.
func (s *Set) Digest() Digest { return s.digest }

// LastNumber returns the number up to which all adds of an origin are in the set, whether on the
// disk or being written.
func (s *Set) LastNumber(origin string) uint64 {
	index, known := s.byName[origin]
	if !known {
		return 0
	}
	return uint64(len(s.origins[index].adds))
}

// Has reports whether the add at a position is on the disk.
func (s *Set) Has(position Position) bool {
	return s.vector[position.Origin] >= position.Number
}

// AddsAfter returns up to limit adds on the disk that a vector doesn't cover, sorted by origin.
func (s *Set) AddsAfter(vector Vector, limit int) []Run {
	var behind []string
	for name, written := range s.vector {
		if vector[name] < written {
			behind = append(behind, name)
		}
	}
	slices.Sort(behind)
	var runs []Run
	for _, name := range behind {
		if limit <= 0 {
			break
		}
		run := s.OriginAddsAfter(name, vector[name], limit)
		limit -= len(run.Adds)
		runs = append(runs, run)
	}
	return runs
}

// OriginAddsAfter returns up to limit adds of an origin that are on the disk and have a number
// above known; an empty run if there are none.
func (s *Set) OriginAddsAfter(name string, known uint64, limit int) Run {
	written := s.vector[name]
	if known >= written {
		return Run{}
	}
	adds := s.origins[s.byName[name]].adds[known:written]
	return Run{Origin: name, First: known + 1, Adds: adds[:min(len(adds), limit)]}
}
