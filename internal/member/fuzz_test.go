package member

import (
	"bytes"
	"testing"

	"tealpond/internal/link"
	"tealpond/internal/raft"
)

// stable: a body that reads as a T is written and read again to the same bytes.
func stable[T any](t *testing.T, raw []byte) {
	var v T
	if link.Unpack(raw, &v) != nil {
		return
	}
	first := link.Pack(v)
	var again T
	if err := link.Unpack(first, &again); err != nil {
		t.Fatalf("%T does not read what it wrote: %v", v, err)
	}
	if second := link.Pack(again); !bytes.Equal(first, second) {
		t.Fatalf("%T changed on its way: %x, %x", v, first, second)
	}
}

// FuzzBodies: the bodies that daemons send one another.
func FuzzBodies(f *testing.F) {
	f.Add(link.Pack(Ask{Kind: AskRead, Body: []byte{1}}))
	f.Add(link.Pack(Answer{Code: 200, Text: "x", Body: []byte{2}, At: 7}))
	f.Add(link.Pack(raft.Msg{Kind: raft.MsgAppend, From: "a", To: "b", Term: 3, Entries: []raft.Entry{{Index: 4, Term: 3, Data: []byte("x")}}}))
	f.Add(link.Pack(raft.Msg{Kind: raft.MsgPoint, Point: &raft.Point{Index: 9, Conf: []raft.Voter{{Node: "a", Disk: "d", Addr: "1"}}, Data: []byte{1}}}))
	f.Add(link.Pack(View{Known: []string{"a"}}))
	f.Add(link.Pack(Found{Me: raft.Voter{Node: "a"}}))
	f.Add(link.Pack(Proposal{Set: []raft.Voter{{}}, Go: true}))
	f.Add([]byte{0x82, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xf6})
	f.Fuzz(func(t *testing.T, raw []byte) {
		stable[Ask](t, raw)
		stable[Answer](t, raw)
		stable[raft.Msg](t, raw)
		stable[View](t, raw)
		stable[Found](t, raw)
		stable[Proposal](t, raw)
		stable[Claim](t, raw)
		stable[Renew](t, raw)
	})
}
