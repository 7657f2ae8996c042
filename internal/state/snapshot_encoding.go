package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxSnapshotElements is the number of rows of one table in a snapshot, far above the planned
	// cluster size.
	maxSnapshotElements = 1 << 22
	// maxSnapshotNesting is how deep a snapshot may be nested, in levels.
	maxSnapshotNesting = 16
)

// snapshotEncoding is canonical: it sorts the keys of maps, so that equal
// states give the same bytes and their digests can be compared.
var snapshotEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic("state: " + err.Error())
	}
	return mode
}()

// snapshotDecoding allows for larger tables than the library's own bound of
// 131,072 rows, with which a state could be saved and never be loaded again.
var snapshotDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxSnapshotElements,
		MaxMapPairs:      maxSnapshotElements,
		MaxNestedLevels:  maxSnapshotNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic("state: " + err.Error())
	}
	return mode
}()

// EncodeSnapshot encodes the whole state. Equal states give the same bytes.
func (s *Store) EncodeSnapshot() []byte {
	raw, err := snapshotEncoding.Marshal(s)
	if err != nil {
		panic("state: " + err.Error())
	}
	return raw
}

// DecodeSnapshot reads a state that EncodeSnapshot wrote; no bytes are an empty
// state. The limits are the default for a state that has none, because it is empty
// or was saved before they were part of it. A snapshot that can't be read, or whose
// tables contradict one another, is an error.
func DecodeSnapshot(raw []byte, limits Limits) (*Store, error) {
	s := New(limits)
	if len(raw) == 0 {
		return s, nil
	}
	if err := snapshotDecoding.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("state: unreadable snapshot: %w", err)
	}
	if err := s.deriveFromUntrusted(); err != nil {
		return nil, err
	}
	return s, nil
}

// deriveFromUntrusted is derive for tables that may be damaged: rows that refer to
// rows that don't exist are an error, not a panic.
func (s *Store) deriveFromUntrusted() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("state: the tables of a snapshot contradict one another: %v", r)
		}
	}()
	s.derive()
	return nil
}

// BindSnapshotIndex checks that a state is of the log's index that its snapshot
// names. A state without an index, because it is new or was saved before indexes
// were part of it, gets this one; for any other a different index is an error.
func (s *Store) BindSnapshotIndex(index uint64) error {
	if s.AppliedIndex == 0 {
		s.AppliedIndex = index
	}
	if s.AppliedIndex != index {
		return fmt.Errorf("state: the state has applied entry %d, its snapshot stands for %d", s.AppliedIndex, index)
	}
	return nil
}
