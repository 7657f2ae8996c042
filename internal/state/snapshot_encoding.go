package state

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxSnapshotElements is the maximum number of rows of one table in a snapshot, far above the
	// planned cluster size.
	maxSnapshotElements = 1 << 22
	// maxSnapshotNesting is the maximum nesting depth of a snapshot, in levels.
	maxSnapshotNesting = 16
	// cborUnsignedInteger is the major type of an unsigned integer, which the first byte of its
	// encoding contains above cborMajorTypeShift.
	cborUnsignedInteger = 0
	cborMajorTypeShift  = 5
)

// snapshotEncoding is canonical: it sorts the keys of maps, so that equal states have
// the same encoding and their digests can be compared.
var snapshotEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic("state: " + err.Error())
	}
	return mode
}()

// snapshotDecoding allows larger tables than the library's default limit of 131,072
// rows. With that limit a larger state could be saved but not loaded again.
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

// EncodeSnapshot encodes the complete state. Equal states have the same encoding: the tables as a
// map, after the number of the format in force unless that is FormatUnmarked. Programs that support
// no other format therefore fail to decode the snapshot.
func (s *Store) EncodeSnapshot() []byte {
	var snapshot bytes.Buffer
	encoder := snapshotEncoding.NewEncoder(&snapshot)
	if s.Format != FormatUnmarked {
		mustEncode(encoder, s.Format)
	}
	mustEncode(encoder, s)
	return snapshot.Bytes()
}

func mustEncode(encoder *cbor.Encoder, value any) {
	if err := encoder.Encode(value); err != nil {
		panic("state: " + err.Error())
	}
}

// DecodeSnapshot decodes a state that EncodeSnapshot encoded; an empty slice is an empty
// state. The limits are the default for a state without limits: an empty one, or one
// saved before they were part of it. DecodeSnapshot returns an error if the snapshot
// cannot be decoded or its tables are inconsistent with each other.
func DecodeSnapshot(raw []byte, limits Limits) (*Store, error) {
	s := New(limits)
	if len(raw) == 0 {
		return s, nil
	}
	tables, err := s.decodeFormat(raw)
	if err != nil {
		return nil, err
	}
	if err := snapshotDecoding.Unmarshal(tables, s); err != nil {
		return nil, fmt.Errorf("state: cannot decode snapshot: %w", err)
	}
	if err := s.deriveFromUntrusted(); err != nil {
		return nil, err
	}
	return s, nil
}

// decodeFormat sets the format to that of a snapshot and returns the encoded tables. It returns an
// error if this program does not support the format.
func (s *Store) decodeFormat(raw []byte) (tables []byte, err error) {
	if raw[0]>>cborMajorTypeShift != cborUnsignedInteger {
		return raw, nil
	}
	if tables, err = snapshotDecoding.UnmarshalFirst(raw, &s.Format); err != nil {
		return nil, fmt.Errorf("state: cannot decode the format of a snapshot: %w", err)
	}
	if s.Format <= FormatUnmarked || s.Format > FormatVersion {
		return nil, fmt.Errorf("state: snapshot has format %d, expected %d to %d", s.Format, FormatUnmarked, FormatVersion)
	}
	return tables, nil
}

// deriveFromUntrusted is derive for tables that may be corrupt: a row that refers to a
// missing row is an error, not a panic.
func (s *Store) deriveFromUntrusted() (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("state: inconsistent tables in snapshot: %v", r)
		}
	}()
	s.derive()
	return nil
}

// BindSnapshotIndex checks that the state has the log index of the snapshot that it was
// loaded from. A state without an index, because it is new or was saved before the index
// was part of it, gets that index. For any other state a different index is an error.
func (s *Store) BindSnapshotIndex(index uint64) error {
	if s.AppliedIndex == 0 {
		s.AppliedIndex = index
	}
	if s.AppliedIndex != index {
		return fmt.Errorf("state: snapshot contains state at index %d, expected index %d", s.AppliedIndex, index)
	}
	return nil
}
