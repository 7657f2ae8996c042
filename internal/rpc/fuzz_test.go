package rpc

import (
	"bytes"
	"testing"

	"tealpond/internal/coordination"
	"tealpond/internal/raft"
	"tealpond/internal/transport"
)

// testRoundTrip checks that a body that decodes as a T can be encoded and decoded again, and that
// both encodings are equal.
func testRoundTrip[T any](t *testing.T, raw []byte) {
	t.Helper()
	var value T
	if transport.Decode(raw, &value) != nil {
		return
	}
	first := transport.Encode(value)
	var again T
	if err := transport.Decode(first, &again); err != nil {
		t.Fatalf("%T: decode of its own encoding: %v", value, err)
	}
	if second := transport.Encode(again); !bytes.Equal(first, second) {
		t.Fatalf("%T: encoding changed from %x to %x", value, first, second)
	}
}

// FuzzMessages checks the round trip of the message bodies between daemons.
func FuzzMessages(f *testing.F) {
	f.Add(transport.Encode(Request{Kind: KindGetConfig, Body: []byte{1}}))
	f.Add(transport.Encode(Response{Code: 200, Text: "x", Body: []byte{2}, AppliedIndex: 7}))
	f.Add(transport.Encode(raft.Message{Kind: raft.MsgAppend, From: "a", To: "b", Term: 3, Entries: []raft.Entry{{Index: 4, Term: 3, Data: []byte("x")}}}))
	f.Add(transport.Encode(raft.Message{Kind: raft.MsgSnapshot, Snapshot: &raft.Snapshot{Index: 9, Voters: []raft.Member{{Node: "a", ID: "d", Addr: "1"}}, Data: []byte{1}}}))
	f.Add(transport.Encode(LeaderInfo{KnownServers: []string{"a"}}))
	f.Add(transport.Encode(BootstrapAnnouncement{Voter: raft.Member{Node: "a"}}))
	f.Add(transport.Encode(BootstrapProposal{Voters: []raft.Member{{}}, Start: true}))
	f.Add([]byte{0x82, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xf6})
	f.Fuzz(func(t *testing.T, raw []byte) {
		testRoundTrip[Request](t, raw)
		testRoundTrip[Response](t, raw)
		testRoundTrip[raft.Message](t, raw)
		testRoundTrip[LeaderInfo](t, raw)
		testRoundTrip[BootstrapAnnouncement](t, raw)
		testRoundTrip[BootstrapProposal](t, raw)
		testRoundTrip[MembershipLease](t, raw)
		testRoundTrip[LeaseRenewal](t, raw)
		testRoundTrip[KeyWatch](t, raw)
		testRoundTrip[coordination.Acquire](t, raw)
		testRoundTrip[coordination.Renew](t, raw)
		testRoundTrip[coordination.Release](t, raw)
		testRoundTrip[coordination.Put](t, raw)
		testRoundTrip[coordination.WatchResult](t, raw)
	})
}
