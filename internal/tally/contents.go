package tally

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// A number of an origin identifies one add permanently, with one exception: a replica whose file
// was restored from an older copy may assign a number again before it hears from a peer that knows
// the first add of that number. Two replicas then hold different adds at one position while their
// vectors are equal. Messages therefore carry a digest of the contents, which reveals the
// difference. The replicas then compare their adds: all keep the same add at the position, and the
// other one, which may have been acknowledged, gets a new position.

// hashAdd returns the hash of an add at its position.
func hashAdd(originName string, number uint64, add Add) uint64 {
	text := binary.BigEndian.AppendUint64([]byte(originName), number)
	text = append(text, add.ID[:]...)
	text = binary.BigEndian.AppendUint64(text, uint64(add.Amount))
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:8])
}

// takesPrecedence reports whether a is kept at a position that two adds share. All replicas decide
// the same: the lower ID, and for equal IDs the larger amount.
func takesPrecedence(a, b Add) bool {
	if order := bytes.Compare(a.ID[:], b.ID[:]); order != 0 {
		return order < 0
	}
	return a.Amount > b.Amount
}

// Contents returns a digest of the contents: the sum of the hashes of the adds on the disk at their
// positions.
func (s *Set) Contents() uint64 { return s.contents }

// ContentsByOrigin returns the digest of each origin's adds on the disk.
func (s *Set) ContentsByOrigin() map[string]uint64 {
	contents := make(map[string]uint64, len(s.origins))
	for _, origin := range s.origins {
		if origin.written > 0 {
			contents[origin.name] = origin.contents
		}
	}
	return contents
}

// Replacements returns the adds of a run, as one run each, that take precedence over the different
// adds on the disk here at the same positions.
func (s *Set) Replacements(run Run) []Run {
	var differing []Run
	for i, add := range run.Adds {
		position := Position{Origin: run.Origin, Number: run.First + uint64(i)}
		if position.Number == 0 || !s.Has(position) {
			continue
		}
		if known := s.addAt(position); known != add && takesPrecedence(add, known) {
			differing = append(differing, Run{Origin: run.Origin, First: position.Number, Adds: []Add{add}})
		}
	}
	return differing
}

// addAt returns the add on the disk at a position.
func (s *Set) addAt(position Position) Add {
	return s.add(location{s.byName[position.Origin], uint32(position.Number)})
}

// Replace records that another add is now on the disk at a position. The add that was there must be
// on the disk at another position if its ID differs.
func (s *Set) Replace(position Position, add Add) {
	at := location{s.byName[position.Origin], uint32(position.Number)}
	before := s.add(at)
	add.Tally = s.intern(add.Tally)
	difference := hashAdd(position.Origin, position.Number, add) - hashAdd(position.Origin, position.Number, before)
	s.origins[at.origin].adds[at.number-1] = add
	s.origins[at.origin].contents += difference
	s.contents += difference
	if s.positionByID[before.ID] == at {
		s.removeCounted(before, at)
	}
	s.countAdd(add, at)
}

// removeCounted removes an add from the totals and counts another add with the same ID in its
// place, if there is one on the disk.
func (s *Set) removeCounted(add Add, at location) {
	delete(s.positionByID, add.ID)
	s.totals[add.Tally] -= add.Amount
	for index, origin := range s.origins {
		for i, other := range origin.adds[:origin.written] {
			if candidate := (location{uint32(index), uint32(i + 1)}); other.ID == add.ID && candidate != at {
				s.countAdd(other, candidate)
			}
		}
	}
}

// countAdd adds an add that is on the disk to the totals, unless its ID already counts with at
// least the same amount.
func (s *Set) countAdd(add Add, at location) {
	known, seen := s.positionByID[add.ID]
	previousAmount := int64(0)
	switch {
	case !seen:
	case s.add(known).Amount >= add.Amount:
		return
	case s.isWritten(known):
		previousAmount = s.add(known).Amount
	default:
		previousAmount = s.supersededAmounts[known]
		delete(s.supersededAmounts, known)
	}
	s.totals[add.Tally] += add.Amount - previousAmount
	s.positionByID[add.ID] = at
}
