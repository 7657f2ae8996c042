package raft

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// jointConfChange is the data of the entry that starts a configuration change.
// The entry that ends the change holds only the list of voters, the format of all
// configuration entries in the first version of the log.
type jointConfChange struct {
	Voters         []Member `cbor:"voters"`
	OutgoingVoters []Member `cbor:"old"`
}

// encodeConfChange returns the data of a configuration entry. In the entry that
// starts a change, outgoing holds the voters from before it; otherwise it is empty.
func encodeConfChange(voters, outgoing []Member) []byte {
	var change any = voters
	if len(outgoing) > 0 {
		change = jointConfChange{Voters: voters, OutgoingVoters: outgoing}
	}
	raw, err := cbor.Marshal(change)
	if err != nil {
		panic("raft: " + err.Error())
	}
	return raw
}

// DecodeConfChange decodes the data of a configuration entry: the voters and, for
// the entry that starts a change, the outgoing voters.
func DecodeConfChange(data []byte) (voters, outgoing []Member, err error) {
	if cbor.Unmarshal(data, &voters) == nil {
		return voters, nil, nil
	}
	var joint jointConfChange
	err = cbor.Unmarshal(data, &joint)
	return joint.Voters, joint.OutgoingVoters, err
}

// simpleSnapshot is the stored encoding of a snapshot outside a configuration change.
// It predates joint configurations, so disks written by earlier versions hold it.
type simpleSnapshot struct {
	_      struct{} `cbor:",toarray"`
	Index  uint64
	Term   uint64
	Voters []Member
	Data   []byte
}

// jointSnapshot is the stored encoding of a snapshot during a configuration change.
type jointSnapshot struct {
	_              struct{} `cbor:",toarray"`
	Index          uint64
	Term           uint64
	Voters         []Member
	Data           []byte
	OutgoingVoters []Member
}

// MarshalCBOR encodes a snapshot as an array of four fields, or of five during a
// configuration change, with the outgoing voters last.
func (s Snapshot) MarshalCBOR() ([]byte, error) {
	if len(s.OutgoingVoters) == 0 {
		return cbor.Marshal(simpleSnapshot{Index: s.Index, Term: s.Term, Voters: s.Voters, Data: s.Data})
	}
	return cbor.Marshal(jointSnapshot{
		Index: s.Index, Term: s.Term, Voters: s.Voters, Data: s.Data, OutgoingVoters: s.OutgoingVoters,
	})
}

// jointSnapshotHeader is the first byte of an encoded jointSnapshot: the header of a
// CBOR array of five elements.
const jointSnapshotHeader = 0x85

// UnmarshalCBOR decodes the encoding of simpleSnapshot or jointSnapshot.
func (s *Snapshot) UnmarshalCBOR(raw []byte) error {
	if len(raw) == 0 {
		return errors.New("raft: decode snapshot: empty data, want a CBOR array")
	}
	if raw[0] == jointSnapshotHeader {
		var joint jointSnapshot
		if err := cbor.Unmarshal(raw, &joint); err != nil {
			return err
		}
		*s = Snapshot{
			Index: joint.Index, Term: joint.Term, Voters: joint.Voters, Data: joint.Data, OutgoingVoters: joint.OutgoingVoters,
		}
		return nil
	}
	var simple simpleSnapshot
	if err := cbor.Unmarshal(raw, &simple); err != nil {
		return err
	}
	*s = Snapshot{Index: simple.Index, Term: simple.Term, Voters: simple.Voters, Data: simple.Data}
	return nil
}
