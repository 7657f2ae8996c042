package member

import (
	"bytes"
	"testing"

	"tealpond/internal/raft"
	"tealpond/internal/transport"
)

// stable: a body that reads as a T is written and read again to the same bytes.
func stable[T any](t *testing.T, raw []byte) {
	var v T
	if transport.Decode(raw, &v) != nil {
		return
	}
	first := transport.Encode(v)
	var again T
	if err := transport.Decode(first, &again); err != nil {
		t.Fatalf("%T does not read what it wrote: %v", v, err)
	}
	if second := transport.Encode(again); !bytes.Equal(first, second) {
		t.Fatalf("%T changed on its way: %x, %x", v, first, second)
	}
}

// FuzzBodies: the bodies that daemons send one another.
func FuzzBodies(f *testing.F) {
	f.Add(transport.Encode(Ask{Kind: AskRead, Body: []byte{1}}))
	f.Add(transport.Encode(Answer{Code: 200, Text: "x", Body: []byte{2}, At: 7}))
	f.Add(transport.Encode(raft.Message{Kind: raft.MsgAppend, From: "a", To: "b", Term: 3, Entries: []raft.Entry{{Index: 4, Term: 3, Data: []byte("x")}}}))
	f.Add(transport.Encode(raft.Message{Kind: raft.MsgSnapshot, Snapshot: &raft.Snapshot{Index: 9, Voters: []raft.Member{{Node: "a", ID: "d", Addr: "1"}}, Data: []byte{1}}}))
	f.Add(transport.Encode(View{Known: []string{"a"}}))
	f.Add(transport.Encode(Found{Me: raft.Member{Node: "a"}}))
	f.Add(transport.Encode(Proposal{Set: []raft.Member{{}}, Go: true}))
	f.Add([]byte{0x82, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xf6})
	f.Fuzz(func(t *testing.T, raw []byte) {
		stable[Ask](t, raw)
		stable[Answer](t, raw)
		stable[raft.Message](t, raw)
		stable[View](t, raw)
		stable[Found](t, raw)
		stable[Proposal](t, raw)
		stable[Claim](t, raw)
		stable[Renew](t, raw)
	})
}
