package raft

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/golden"
)

// configurationData holds the decoded data of a configuration entry.
type configurationData struct{ Voters, Old []Member }

// memberWithDistinctFields returns a member whose fields all differ from each other.
func memberWithDistinctFields(name string) Member {
	return Member{Node: name + "-node", ID: name + "-disk", Addr: name + "-address"}
}

// TestGoldenEncodings compares the encodings that are stored or sent to other members with
// golden files.
func TestGoldenEncodings(t *testing.T) {
	voters, old := []Member{memberWithDistinctFields("a"), memberWithDistinctFields("b")}, []Member{memberWithDistinctFields("c")}
	entries := []Entry{{Index: 301, Term: 302, Kind: EntryConfChange, Data: []byte("entry")}}
	snapshot := Snapshot{Index: 401, Term: 402, Voters: voters, Data: []byte("snapshot")}
	joint := snapshot
	joint.OutgoingVoters = old
	message := Message{Kind: MsgSnapshot, From: "from", To: "to", Term: 501, Index: 502, LogTerm: 503, Commit: 504, Entries: entries,
		SendStamp: 505, WallClock: 506, Snapshot: &joint}
	rejected, forced := message, message
	rejected.Reject, forced.Force = true, true
	golden.Check(t, "stored.txt", golden.Codec{Encode: cbor.Marshal, Decode: cbor.Unmarshal}, []golden.Case{
		{Name: "voter", Value: &voters[0]},
		{Name: "entry", Value: &entries[0]},
		{Name: "hard-state", Value: &HardState{Term: 601, Vote: "vote"}},
		{Name: "snapshot-joint", Value: &joint},
		{Name: "message", Value: &message},
		{Name: "message-rejected", Value: &rejected},
		{Name: "message-forced", Value: &forced},
	})

	codec := golden.Codec{
		Encode: func(value any) ([]byte, error) {
			sets := value.(*configurationData)
			return encodeConfChange(sets.Voters, sets.Old), nil
		},
		Decode: func(raw []byte, into any) (err error) {
			sets := into.(*configurationData)
			sets.Voters, sets.Old, err = DecodeConfChange(raw)
			return err
		},
	}
	golden.Check(t, "configurations.txt", codec, []golden.Case{{Name: "joint", Value: &configurationData{Voters: voters, Old: old}}})
}

// TestGoldenEncodingsOutsideConfChange covers the shorter encodings of a snapshot and of a
// configuration entry, without outgoing voters.
func TestGoldenEncodingsOutsideConfChange(t *testing.T) {
	voters := []Member{memberWithDistinctFields("a"), memberWithDistinctFields("b")}
	snapshot, err := cbor.Marshal(Snapshot{Index: 401, Term: 402, Voters: voters, Data: []byte("snapshot")})
	if err != nil {
		t.Fatal(err)
	}
	configuration := encodeConfChange(voters, nil)
	golden.Text(t, "plain.txt", fmt.Sprintf("snapshot %x\nconfiguration %x\n", snapshot, configuration))

	var decoded Snapshot
	if err := cbor.Unmarshal(snapshot, &decoded); err != nil || decoded.Index != 401 || decoded.Term != 402 || len(decoded.Voters) != 2 ||
		decoded.Voters[1] != voters[1] || string(decoded.Data) != "snapshot" || decoded.OutgoingVoters != nil {
		t.Errorf("snapshot decoded as %+v, %v", decoded, err)
	}
	got, outgoing, err := DecodeConfChange(configuration)
	if err != nil || len(got) != 2 || got[0] != voters[0] || got[1] != voters[1] || outgoing != nil {
		t.Errorf("configuration decoded as %v, %v, %v", got, outgoing, err)
	}
}

// TestKindNumbers compares the stored and sent numbers of entry and message kinds with a golden file.
func TestKindNumbers(t *testing.T) {
	var text strings.Builder
	for _, kind := range []struct {
		name   string
		number byte
	}{
		{"entry data", byte(EntryNormal)}, {"entry configuration", byte(EntryConfChange)}, {"entry none", byte(EntryNoop)},
		{"message append", byte(MsgAppend)}, {"message append-answer", byte(MsgAppendResponse)}, {"message pre-vote", byte(MsgPreVote)},
		{"message pre-vote-answer", byte(MsgPreVoteResponse)}, {"message vote", byte(MsgVote)}, {"message vote-answer", byte(MsgVoteResponse)},
		{"message snapshot", byte(MsgSnapshot)}, {"message transfer", byte(MsgTimeoutNow)},
	} {
		fmt.Fprintf(&text, "%s %d\n", kind.name, kind.number)
	}
	golden.Text(t, "kinds.txt", text.String())
}
