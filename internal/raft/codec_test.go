package raft

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// FuzzEncodings checks that the decoders of snapshots and configurations don't panic on
// arbitrary bytes, and that decoded values survive another encoding and decoding.
func FuzzEncodings(f *testing.F) {
	joint, _ := cbor.Marshal(Snapshot{Index: 7, Term: 2, Voters: []Member{testMember("d")}, OutgoingVoters: []Member{testMember("a")}})
	simple, _ := cbor.Marshal(Snapshot{Index: 7, Term: 2, Voters: []Member{testMember("d")}})
	change := encodeConfChange([]Member{testMember("a")}, nil)
	jointChange := encodeConfChange([]Member{testMember("a")}, []Member{testMember("b")})
	for _, raw := range [][]byte{joint, simple, change, jointChange, nil, {jointSnapshotHeader}} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if voters, outgoing, err := DecodeConfChange(raw); err == nil && len(voters) > 0 {
			again, againOutgoing, err := DecodeConfChange(encodeConfChange(voters, outgoing))
			if err != nil || len(again) != len(voters) || len(againOutgoing) != len(outgoing) {
				t.Fatalf("voters %v, outgoing %v decoded as %v, %v, %v", voters, outgoing, again, againOutgoing, err)
			}
		}
		var snapshot, again Snapshot
		if snapshot.UnmarshalCBOR(raw) != nil {
			return
		}
		written, err := cbor.Marshal(snapshot)
		if err != nil || cbor.Unmarshal(written, &again) != nil || again.Index != snapshot.Index {
			t.Fatalf("snapshot %+v decoded as %+v", snapshot, again)
		}
		if len(again.OutgoingVoters) != len(snapshot.OutgoingVoters) || len(again.Voters) != len(snapshot.Voters) {
			t.Fatalf("snapshot %+v decoded as %+v", snapshot, again)
		}
	})
}
