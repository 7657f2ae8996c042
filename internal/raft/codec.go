package raft

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// jointConfChange is the data of the entry that starts a change of the voters. The
// entry that ends it, and all of the first form of the log, hold the list of
// voters alone.
type jointConfChange struct {
	Voters         []Member `cbor:"voters"`
	OutgoingVoters []Member `cbor:"old"`
}

// encodeConfChange is the data of a configuration entry; old is empty unless joint.
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

// DecodeConfChange reads the data of a configuration entry: the voters and, while a
// change is under way, those before it.
func DecodeConfChange(data []byte) (voters, outgoing []Member, err error) {
	if cbor.Unmarshal(data, &voters) == nil {
		return voters, nil, nil
	}
	var joint jointConfChange
	err = cbor.Unmarshal(data, &joint)
	return joint.Voters, joint.OutgoingVoters, err
}

// simpleSnapshot is a snapshot outside a change of the voters, in the form that it
// had before there were joint configurations; disks may hold it.
type simpleSnapshot struct {
	_      struct{} `cbor:",toarray"`
	Index  uint64
	Term   uint64
	Voters []Member
	Data   []byte
}

// jointSnapshot is a snapshot in mid-change.
type jointSnapshot struct {
	_              struct{} `cbor:",toarray"`
	Index          uint64
	Term           uint64
	Voters         []Member
	Data           []byte
	OutgoingVoters []Member
}

// MarshalCBOR writes four fields, and a fifth with the old voters in mid-change.
func (s Snapshot) MarshalCBOR() ([]byte, error) {
	if len(s.OutgoingVoters) == 0 {
		return cbor.Marshal(simpleSnapshot{Index: s.Index, Term: s.Term, Voters: s.Voters, Data: s.Data})
	}
	return cbor.Marshal(jointSnapshot{Index: s.Index, Term: s.Term, Voters: s.Voters, Data: s.Data, OutgoingVoters: s.OutgoingVoters})
}

// jointSnapshotHeader opens the longer form: an array of five.
const jointSnapshotHeader = 0x85

// UnmarshalCBOR reads either form.
func (s *Snapshot) UnmarshalCBOR(raw []byte) error {
	if len(raw) == 0 {
		return errors.New("raft: empty snapshot")
	}
	if raw[0] == jointSnapshotHeader {
		var joint jointSnapshot
		if err := cbor.Unmarshal(raw, &joint); err != nil {
			return err
		}
		*s = Snapshot{Index: joint.Index, Term: joint.Term, Voters: joint.Voters, Data: joint.Data, OutgoingVoters: joint.OutgoingVoters}
		return nil
	}
	var simple simpleSnapshot
	if err := cbor.Unmarshal(raw, &simple); err != nil {
		return err
	}
	*s = Snapshot{Index: simple.Index, Term: simple.Term, Voters: simple.Voters, Data: simple.Data}
	return nil
}
