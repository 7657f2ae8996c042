package raft

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// jointVoters is the data of the entry that starts a change of the voters. The
// entry that ends it, and all of the first form of the log, hold the list of
// voters alone.
type jointVoters struct {
	Voters []Voter `cbor:"voters"`
	Old    []Voter `cbor:"old"`
}

// encodeVoters is the data of a configuration entry; old is empty unless joint.
func encodeVoters(voters, old []Voter) []byte {
	var form any = voters
	if len(old) > 0 {
		form = jointVoters{Voters: voters, Old: old}
	}
	raw, err := cbor.Marshal(form)
	if err != nil {
		panic("raft: " + err.Error())
	}
	return raw
}

// DecodeConf reads the data of a configuration entry: the voters and, while a
// change is under way, those before it.
func DecodeConf(data []byte) (voters, old []Voter, err error) {
	if cbor.Unmarshal(data, &voters) == nil {
		return voters, nil, nil
	}
	var both jointVoters
	err = cbor.Unmarshal(data, &both)
	return both.Voters, both.Old, err
}

// plainPoint is a snapshot outside a change of the voters, in the form that it
// had before there were joint configurations; disks may hold it.
type plainPoint struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Conf  []Voter
	Data  []byte
}

// jointPoint is a snapshot in mid-change.
type jointPoint struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Conf  []Voter
	Data  []byte
	Old   []Voter
}

// MarshalCBOR writes four fields, and a fifth with the old voters in mid-change.
func (p Point) MarshalCBOR() ([]byte, error) {
	if len(p.Old) == 0 {
		return cbor.Marshal(plainPoint{Index: p.Index, Term: p.Term, Conf: p.Conf, Data: p.Data})
	}
	return cbor.Marshal(jointPoint{Index: p.Index, Term: p.Term, Conf: p.Conf, Data: p.Data, Old: p.Old})
}

// jointHead opens the longer form: an array of five.
const jointHead = 0x85

// UnmarshalCBOR reads either form.
func (p *Point) UnmarshalCBOR(raw []byte) error {
	if len(raw) == 0 {
		return errors.New("raft: empty snapshot")
	}
	if raw[0] == jointHead {
		var j jointPoint
		if err := cbor.Unmarshal(raw, &j); err != nil {
			return err
		}
		*p = Point{Index: j.Index, Term: j.Term, Conf: j.Conf, Data: j.Data, Old: j.Old}
		return nil
	}
	var s plainPoint
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return err
	}
	*p = Point{Index: s.Index, Term: s.Term, Conf: s.Conf, Data: s.Data}
	return nil
}
