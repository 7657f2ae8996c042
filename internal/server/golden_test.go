package server

import (
	"fmt"
	"testing"

	"tealpond/internal/golden"
	"tealpond/internal/raft"
	"tealpond/internal/transport"
)

// TestFrameEncodingMatchesGoldenFile compares the encoded frames between servers with the golden
// files.
func TestFrameEncodingMatchesGoldenFile(t *testing.T) {
	codec := golden.Codec{Encode: func(value any) ([]byte, error) { return transport.Encode(value), nil }, Decode: transport.Decode}
	message := raft.Message{Kind: raft.MsgSnapshot, From: "from", To: "to", Term: 1, Index: 2, LogTerm: 3, Commit: 4, Entries: []raft.Entry{}, SendStamp: 5, WallClock: 6,
		Snapshot: &raft.Snapshot{Index: 7, Term: 8, Voters: []raft.Member{{Node: "node", ID: "disk", Addr: "address"}}, Data: []byte{},
			OutgoingVoters: []raft.Member{{Node: "old-node", ID: "old-disk", Addr: "old-address"}}}}
	golden.Check(t, "frames.txt", codec, []golden.Case{
		{Name: "digest", Value: &digestReport{From: "from", To: "to", Index: 11, Digest: 12, Program: "program"}},
		{Name: "snapshot-part", Value: &snapshotChunk{Message: message, Total: 21, Offset: 22, Data: []byte("part")}},
		{Name: "snapshot-part-received", Value: &snapshotAck{From: "from", To: "to", Index: 31, Received: 32}},
		{Name: "link-probe", Value: &linkProbe{From: "from", To: "to", Kind: probeReport, Answered: probeTransfer, Trial: 41, PaddingBytes: 42, Padding: []byte("padding"),
			Quality: linkQuality{Latency: 43, Transfer: 44}}},
		{Name: "format", Value: &formatMessage{From: "from", To: "to", Newest: 51, IsQuery: true}},
	})
	golden.Text(t, "kinds.txt", fmt.Sprintf("frame digest %d\nframe snapshot-part %d\nframe snapshot-part-received %d\nframe link-probe %d\nframe format %d\ncode stay %d\n",
		frameDigest, frameSnapshotChunk, frameSnapshotAck, frameLinkProbe, frameFormat, codeReleaseDeferred))
}
