package member

import (
	"fmt"
	"strings"
	"testing"

	"tealpond/internal/golden"
	"tealpond/internal/protocol"
	"tealpond/internal/raft"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// packed encodes the bodies of frames.
var packed = golden.Codec{Encode: func(value any) ([]byte, error) { return transport.Encode(value), nil }, Decode: transport.Decode}

// filledJob gives a client's job whose fields differ.
func filledJob() protocol.Job {
	return protocol.Job{Spec: "spec", PeriodicInstances: 41, FirstRunMs: 42, IntervalMs: 43, Steps: []protocol.Step{{
		TaskCount: 51, CPUUnits: 52, MemoryMB: 53, GPUs: 54, EstimateMs: 55, DependsOn: []int{56, 57}, Checkpoints: true,
		RequiredLabels: protocol.Labels{"label-a", "label-b"}, PreferredRack: "rack", MaxPerWorker: 58, LongRunning: true}}}
}

// TestMessageBytes holds the messages between daemons against the golden bytes.
func TestMessageBytes(t *testing.T) {
	voter := raft.Member{Node: "node", ID: "disk", Addr: "address"}
	other := raft.Member{Node: "other-node", ID: "other-disk", Addr: "other-address"}
	golden.Check(t, "messages.txt", packed, []golden.Case{
		{Name: "request", Value: &Ask{Kind: "kind", Body: []byte("body")}},
		{Name: "response", Value: &Answer{Code: 200, Text: "text", N: 2, Lead: "leader", RetryMs: 3, Body: []byte("body"), Desired: 4, At: 5, Home: "home", Next: "next"}},
		{Name: "leader-view-leading", Value: &View{Leads: true, Term: 7, Lead: "leader", Known: []string{"a", "b"}}},
		{Name: "leader-view-aggregating", Value: &View{Sums: true, Term: 7, Lead: "leader", Known: []string{"a", "b"}}},
		{Name: "candidate", Value: &Found{Me: voter, Bound: []raft.Member{voter, other}}},
		{Name: "candidate-late", Value: &Found{Me: voter, Bound: []raft.Member{other}, Late: true}},
		{Name: "founding-set", Value: &Proposal{Set: []raft.Member{voter, other}, Go: true}},
		{Name: "membership-claim", Value: &Claim{Node: "node", Role: "role", Zone: "zone", Addr: "address", Life: "life"}},
		{Name: "trace", Value: &Traced{Node: "node", Role: "role", Since: 11, Marks: []tracing.Event{{TimeNs: 12, Subject: "id", Action: "what", Value: 13, Detail: "text"}}}},
		{Name: "table", Value: &Table{Name: "name", Cols: []string{"column-a", "column-b"}, Rows: [][]any{{"cell", uint64(21)}}, Cut: true}},
		{Name: "tables", Value: &Fleet{Node: "node", Leads: true, Applied: 22, Clock: 23, Tables: []Table{{Name: "name", Cols: []string{"column"}, Rows: [][]any{{"cell"}}}}}},
		{Name: "client-call", Value: &Call{Host: "host", Path: "path", Job: filledJob()}},
		{Name: "configuration-change", Value: &Put{Base: 31, Raw: []byte("text")}},
		{Name: "lease-renewal", Value: &Renew{Worker: "worker", Fence: 32, Ratio: 33, Known: 34}},
		{Name: "lease-renewals", Value: &Grants{From: "disk", Life: "life", Set: 35, Whole: []Seat{{Worker: "worker", Fence: 36}}, In: []byte{37}, Ratios: []Ratio{{Seat: 38, Value: 39}}}},
		{Name: "refused-renewal", Value: &Odd{Seat: 61, Code: 62}},
		{Name: "requests", Value: &Many{Asks: []Ask{{Kind: "kind", Body: []byte("body")}, {Kind: "other-kind", Body: []byte("other-body")}}}},
		{Name: "leaving", Value: &Yield{Disk: "disk"}},
		{Name: "order-to-start", Value: &Order{Worker: "worker", Fence: 71, Task: "task", Run: 72, Spec: "spec", Saved: "saved", EstMs: 73, Lasts: true}},
		{Name: "order-to-stop", Value: &Order{Worker: "worker", Fence: 71, Stop: true, Task: "task", Run: 72, Spec: "spec", Saved: "saved", EstMs: 73}},
	})
}

// TestKindsAndCodes holds the kinds of frames and of requests and the codes of
// answers against the golden list.
func TestKindsAndCodes(t *testing.T) {
	var text strings.Builder
	for _, entry := range []struct {
		name  string
		value any
	}{
		{"frame consensus", FrameRaft}, {"frame request", FrameAsk}, {"frame response", FrameAnswer}, {"frame order", FrameOrder},
		{"code not-leader", NotLead}, {"code unclear", Unclear}, {"code no-leader", NoLeader}, {"code lost", Lost},
		{"request leader-view", AskLead}, {"request candidate", AskFound}, {"request join", AskJoin}, {"request membership-claim", AskClaim},
		{"request submit", AskHandIn}, {"request status", AskStatus}, {"request cancel", AskCancel}, {"request change-configuration", AskPut},
		{"request read-configuration", AskRead}, {"request register-worker", AskTakeUp}, {"request renew-lease", AskRenew},
		{"request report-ends", AskEnds}, {"request set-eligibility", AskElig}, {"request trace", AskTrace}, {"request tables", AskFleet},
		{"request members", AskMembers}, {"request moves", AskMoves}, {"request command", AskCommand}, {"request peer", AskPeer},
		{"request renew-leases", AskGrants}, {"request batch", AskMany}, {"request leave", AskYield}, {"request limits", AskLimits},
	} {
		fmt.Fprintf(&text, "%s %v\n", entry.name, entry.value)
	}
	golden.Text(t, "kinds.txt", text.String())
}
