package raft

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// FuzzForms: no bytes on a disk or from another member bring the readers of
// snapshots and configurations down, and what is read is written alike.
func FuzzForms(f *testing.F) {
	both, _ := cbor.Marshal(Point{Index: 7, Term: 2, Conf: []Voter{testVoter("d")}, Old: []Voter{testVoter("a")}})
	plain, _ := cbor.Marshal(Point{Index: 7, Term: 2, Conf: []Voter{testVoter("d")}})
	for _, raw := range [][]byte{both, plain, encodeVoters([]Voter{testVoter("a")}, nil), encodeVoters([]Voter{testVoter("a")}, []Voter{testVoter("b")}), nil, {jointHead}} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if voters, old, err := DecodeConf(raw); err == nil && len(voters) > 0 {
			if again, before, err := DecodeConf(encodeVoters(voters, old)); err != nil || len(again) != len(voters) || len(before) != len(old) {
				t.Fatalf("%v, %v read back as %v, %v, %v", voters, old, again, before, err)
			}
		}
		var p, q Point
		if p.UnmarshalCBOR(raw) != nil {
			return
		}
		written, err := cbor.Marshal(p)
		if err != nil || cbor.Unmarshal(written, &q) != nil || q.Index != p.Index || len(q.Old) != len(p.Old) || len(q.Conf) != len(p.Conf) {
			t.Fatalf("%+v read back as %+v", p, q)
		}
	})
}
