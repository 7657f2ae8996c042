package raft

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// FuzzEncodings: no bytes on a disk or from another member bring the readers of
// snapshots and configurations down, and what is read is written alike.
func FuzzEncodings(f *testing.F) {
	both, _ := cbor.Marshal(Snapshot{Index: 7, Term: 2, Voters: []Member{testMember("d")}, OutgoingVoters: []Member{testMember("a")}})
	plain, _ := cbor.Marshal(Snapshot{Index: 7, Term: 2, Voters: []Member{testMember("d")}})
	for _, raw := range [][]byte{both, plain, encodeConfChange([]Member{testMember("a")}, nil), encodeConfChange([]Member{testMember("a")}, []Member{testMember("b")}), nil, {jointSnapshotHeader}} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if voters, old, err := DecodeConfChange(raw); err == nil && len(voters) > 0 {
			if again, before, err := DecodeConfChange(encodeConfChange(voters, old)); err != nil || len(again) != len(voters) || len(before) != len(old) {
				t.Fatalf("%v, %v read back as %v, %v, %v", voters, old, again, before, err)
			}
		}
		var p, q Snapshot
		if p.UnmarshalCBOR(raw) != nil {
			return
		}
		written, err := cbor.Marshal(p)
		if err != nil || cbor.Unmarshal(written, &q) != nil || q.Index != p.Index || len(q.OutgoingVoters) != len(p.OutgoingVoters) || len(q.Voters) != len(p.Voters) {
			t.Fatalf("%+v read back as %+v", p, q)
		}
	})
}
