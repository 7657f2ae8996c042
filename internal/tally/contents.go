package tally

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// A number of an origin stands for one add permanently, unless a file was put back from an older
// copy and gave a number before it heard a peer that knew it. Then two replicas hold different
// adds at one position while their vectors are equal. Messages carry a digest of the contents,
// by which this is noticed; the replicas then compare their adds, the same add is kept at the
// position by all, and the other one, which may have been acknowledged, gets a new position.

// hashAdd is the hash of an add at its position.
func hashAdd(originName string, number uint64, add Add) uint64 {
	text := binary.BigEndian.AppendUint64([]byte(originName), number)
	text = append(text, add.ID[:]...)
	text = binary.BigEndian.AppendUint64(text, uint64(add.Amount))
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:8])
}

// prevails tells which of two adds at one position is kept there by all replicas.
func prevails(a, b Add) bool {
	if order := bytes.Compare(a.ID[:], b.ID[:]); order != 0 {
		return order < 0
	}
	return a.Amount > b.Amount
}

// Contents is a digest of the adds on the disk with their positions: the sum of their hashes.
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

// Differing returns the adds of a run, as one run each, that are to stand at their positions
// instead of the adds that are on the disk here.
func (s *Set) Differing(run Run) []Run {
	var differing []Run
	for i, add := range run.Adds {
		position := Position{Origin: run.Origin, Number: run.First + uint64(i)}
		if position.Number == 0 || !s.Has(position) {
			continue
		}
		if known := s.addAt(position); known != add && prevails(add, known) {
			differing = append(differing, Run{Origin: run.Origin, First: position.Number, Adds: []Add{add}})
		}
	}
	return differing
}

// addAt is the add at a position that is on the disk.
func (s *Set) addAt(position Position) Add {
	return s.add(place{s.byName[position.Origin], uint32(position.Number)})
}

// Replace records that another add is on the disk at a position since. The one that stood
// there must be on the disk at another position, if its ID is a different one.
func (s *Set) Replace(position Position, add Add) {
	at := place{s.byName[position.Origin], uint32(position.Number)}
	before := s.add(at)
	add.Tally = s.intern(add.Tally)
	difference := hashAdd(position.Origin, position.Number, add) - hashAdd(position.Origin, position.Number, before)
	s.origins[at.origin].adds[at.number-1] = add
	s.origins[at.origin].contents += difference
	s.contents += difference
	if s.entries[before.ID] == at {
		s.stopCounting(before, at)
	}
	s.count(add, at)
}

// stopCounting has another place of an ID count, or none if there is none.
func (s *Set) stopCounting(add Add, at place) {
	delete(s.entries, add.ID)
	s.totals[add.Tally] -= add.Amount
	for index, origin := range s.origins {
		for i, other := range origin.adds[:origin.written] {
			if candidate := (place{uint32(index), uint32(i + 1)}); other.ID == add.ID && candidate != at {
				s.count(other, candidate)
			}
		}
	}
}

// count has an add that is on the disk count, unless its ID counts with at least its amount.
func (s *Set) count(add Add, at place) {
	known, seen := s.entries[add.ID]
	counted := int64(0)
	switch {
	case !seen:
	case s.add(known).Amount >= add.Amount:
		return
	case s.isWritten(known):
		counted = s.add(known).Amount
	default:
		counted = s.superseded[known]
		delete(s.superseded, known)
	}
	s.totals[add.Tally] += add.Amount - counted
	s.entries[add.ID] = at
}
