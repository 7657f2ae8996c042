package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/tuning"
)

// snapshotDecoding reads snapshots. The library's own bound of 131,072 rows a table would
// let a larger state be saved and never be loaded again.
var snapshotDecoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: tuning.MaxSnapshotElements, MaxMapPairs: tuning.MaxSnapshotElements, MaxNestedLevels: tuning.MaxSnapshotNesting,
		IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic("store: " + err.Error())
	}
	return m
}()

// decodeSnapshot fills an empty state. Tables that contradict one another, as no state
// of ours does, are an error: what follows from them can't be derived.
func (s *Store) decodeSnapshot(raw []byte) (err error) {
	if err := snapshotDecoding.Unmarshal(raw, s); err != nil {
		return err
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("store: the tables contradict one another: %v", r)
		}
	}()
	s.derive()
	return nil
}
