package rpc

import (
	"fmt"
	"strings"
	"testing"

	"tealpond/internal/golden"
	"tealpond/internal/protocol"
	"tealpond/internal/raft"
	"tealpond/internal/registry"
	"tealpond/internal/tally"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// bodyCodec encodes the bodies of frames.
var bodyCodec = golden.Codec{
	Encode: func(value any) ([]byte, error) { return transport.Encode(value), nil },
	Decode: transport.Decode,
}

// jobWithDistinctFields returns a client's job whose fields all have different values.
func jobWithDistinctFields() protocol.Job {
	return protocol.Job{Spec: "spec", PeriodicInstances: 41, FirstRunMs: 42, IntervalMs: 43, Steps: []protocol.Step{{
		TaskCount: 51, CPUUnits: 52, MemoryMB: 53, GPUs: 54, EstimateMs: 55, DependsOn: []int{56, 57}, Checkpoints: true,
		RequiredLabels: protocol.Labels{"label-a", "label-b"}, PreferredRack: "rack", MaxPerWorker: 58, LongRunning: true}}}
}

// TestMessageBytes compares the encoding of the messages between daemons with the golden file.
func TestMessageBytes(t *testing.T) {
	voter := raft.Member{Node: "node", ID: "disk", Addr: "address"}
	other := raft.Member{Node: "other-node", ID: "other-disk", Addr: "other-address"}
	golden.Check(t, "messages.txt", bodyCodec, []golden.Case{
		{Name: "request", Value: &Request{Kind: "kind", Body: []byte("body")}},
		{Name: "response", Value: &Response{Code: 200, Text: "text", Value: 2, Leader: "leader", RetryAfterMs: 3, Body: []byte("body"), ConfigVersion: 4, AppliedIndex: 5, Aggregator: "home", StandbyAggregator: "next"}},
		{Name: "leader-view-leading", Value: &LeaderInfo{IsLeader: true, Term: 7, Leader: "leader", KnownServers: []string{"a", "b"}}},
		{Name: "leader-view-aggregating", Value: &LeaderInfo{IsAggregator: true, Term: 7, Leader: "leader", KnownServers: []string{"a", "b"}}},
		{Name: "candidate", Value: &BootstrapAnnouncement{Voter: voter, BoundVoters: []raft.Member{voter, other}}},
		{Name: "candidate-late", Value: &BootstrapAnnouncement{Voter: voter, BoundVoters: []raft.Member{other}, NotFirstStart: true}},
		{Name: "founding-set", Value: &BootstrapProposal{Voters: []raft.Member{voter, other}, Start: true}},
		{Name: "membership-claim", Value: &MembershipLease{Node: "node", Role: "role", Zone: "zone", Addr: "address", ProcessID: "life"}},
		{Name: "trace", Value: &TraceResult{Node: "node", Role: "role", Since: 11, Events: []tracing.Event{{TimeNs: 12, Subject: "id", Action: "what", Value: 13, Detail: "text"}}}},
		{Name: "table", Value: &Table{Name: "name", Columns: []string{"column-a", "column-b"}, Rows: [][]any{{"cell", uint64(21)}}, Truncated: true}},
		{Name: "tables", Value: &ClusterState{Node: "node", IsLeader: true, AppliedIndex: 22, Clock: 23, Tables: []Table{{Name: "name", Columns: []string{"column"}, Rows: [][]any{{"cell"}}}}}},
		{Name: "client-call", Value: &JobRequest{Host: "host", Path: "path", Job: jobWithDistinctFields(), Key: "key", BeyondShare: true}},
		{Name: "runner-announcement", Value: &RunnerAnnouncement{Sequence: 87, SignsOff: true, Runner: registry.Runner{ID: "runner", Service: "service", Address: "address", Zone: "zone", Slots: 88, Draining: true, WarmUpMs: 89,
			Health: registry.Health{LatencyMs: 90, FailedPct: 101}}}},
		{Name: "runner-watch", Value: &RunnerWatch{Node: "node", Zone: "zone", Epoch: "epoch", Version: 82, ConfigVersion: 83, Observations: []registry.Observation{{ID: "runner", Answers: 84, LatencyMs: 85, Failures: 86}}, Digest: 105, Scope: "scope"}},
		{Name: "runner-news", Value: &RunnerUpdate{DaemonIndex: 91, DaemonCount: 92, Config: []byte("text"), ConfigBase: 99, DaemonTotal: 100, ListAgeMs: 106, HeldMs: 107, Delta: []byte("delta")}},
		{Name: "runner-list", Value: &RunnerList{AgeMs: 108, Runners: []registry.Runner{{ID: "runner", Service: "service", Address: "address", Zone: "zone", Slots: 95, Draining: true, WarmUpMs: 96,
			Health: registry.Health{LatencyMs: 97, FailedPct: 98}}}}},
		{Name: "runner-delta", Value: &registry.Delta{Epoch: "epoch", From: 93, Version: 94, Whole: true, FromDigest: 109, HealthUpdates: []registry.RunnerHealth{{ID: "other-runner", Health: registry.Health{LatencyMs: 118, FailedPct: 119}}},
			Runners: []registry.Runner{{ID: "runner", Service: "service", Address: "address", Zone: "zone", Slots: 95, Draining: true, WarmUpMs: 96,
				Health: registry.Health{LatencyMs: 97, FailedPct: 98}}}, Removed: []string{"gone"}}},
		{Name: "tally-read", Value: &TallyRead{Tally: "tally", After: map[string]uint64{"origin": 112}}},
		{Name: "tally-answer", Value: &TallyAnswer{Total: 113, Position: tally.Position{Origin: "origin", Number: 114}, Servers: []string{"address"}}},
		{Name: "tally-message", Value: &TallyMessage{From: "disk", To: "other-disk", Message: tally.Message{
			Vector: tally.Vector{"origin": 115}, Whole: true, Digest: tally.Digest{High: 118, Low: 119}, Exchange: true, AskWhole: true,
			Contents: 120, Comparison: &tally.Comparison{AskOrigins: true, Origins: map[string]uint64{"origin": 121}, AskFrom: tally.Position{Origin: "origin", Number: 122},
				Answered: tally.Position{Origin: "origin", Number: 123}, Run: tally.Run{Origin: "origin", First: 124, Adds: []tally.Add{{Tally: "tally", ID: tally.ID{3}, Amount: 125}}}},
			Runs: []tally.Run{{Origin: "other", First: 116, Adds: []tally.Add{{Tally: "tally", ID: tally.ID{1, 2}, Amount: 117}}}}}}},
		{Name: "key-watch", Value: &KeyWatch{Group: "group.", After: 102, WaitMs: 103}},
		{Name: "tenant-query", Value: &TenantQuery{KnownDigest: "digest"}},
		{Name: "tenant-share", Value: &TenantShare{Name: "tenant", MilliShare: 81, KeyDigests: [][]byte{[]byte("digest")}}},
		{Name: "configuration-change", Value: &ConfigUpdate{BaseVersion: 31, Raw: []byte("text")}},
		{Name: "lease-renewal", Value: &LeaseRenewal{Worker: "worker", Fence: 32, RuntimePercent: 33, KnownIndex: 34}},
		{Name: "lease-renewals", Value: &LeaseBatch{AggregatorDisk: "disk", AggregatorProcessID: "life", SetNumber: 35, Members: []BatchMember{{Worker: "worker", Fence: 36}}, Requested: []byte{37}, Runtimes: []MemberRuntime{{Member: 38, RuntimePercent: 39}}}},
		{Name: "refused-renewal", Value: &MemberRefusal{Member: 61, Code: 62}},
		{Name: "requests", Value: &Batch{Requests: []Request{{Kind: "kind", Body: []byte("body")}, {Kind: "other-kind", Body: []byte("other-body")}}}},
		{Name: "leaving", Value: &ZoneRelease{Disk: "disk"}},
		{Name: "order-to-start", Value: &Assignment{Worker: "worker", Fence: 71, Task: "task", Run: 72, JobSpec: "spec", Checkpoint: "saved", EstimateMs: 73, LongRunning: true, Evacuated: true, StartWithinMs: 110}},
		{Name: "order-to-stop", Value: &Assignment{Worker: "worker", Fence: 71, Stop: true, Task: "task", Run: 72, JobSpec: "spec", Checkpoint: "saved", EstimateMs: 73, StartWithinMs: 110}},
		{Name: "zone-evacuation", Value: &ZoneEvacuation{Zone: "zone", Evacuated: true, Revision: 111}},
	})
}

// TestKindsAndCodes compares the kinds of frames and requests and the codes of
// responses with the golden file.
func TestKindsAndCodes(t *testing.T) {
	var text strings.Builder
	for _, entry := range []struct {
		name  string
		value any
	}{
		{"frame consensus", FrameRaft}, {"frame request", FrameRequest}, {"frame response", FrameResponse}, {"frame order", FrameAssignments},
		{"code not-leader", CodeNotLeader}, {"code unclear", CodeLeadershipLost}, {"code no-leader", CodeNoLeader}, {"code lost", CodeTimeout},
		{"request leader-view", KindLeader}, {"request candidate", KindBootstrap}, {"request join", KindJoin}, {"request membership-claim", KindRenewMembership},
		{"request submit", KindSubmitJob}, {"request status", KindJobStatus}, {"request cancel", KindCancelJob}, {"request change-configuration", KindPutConfig},
		{"request read-configuration", KindGetConfig}, {"request register-worker", KindRegisterWorker}, {"request renew-lease", KindRenewLease},
		{"request report-ends", KindReportCompletions}, {"request report-eligibility", KindReportEligibility}, {"request set-eligibility", KindSetEligibility}, {"request trace", KindTrace}, {"request tables", KindClusterState},
		{"request members", KindListMembers}, {"request moves", KindFederationWork}, {"request command", KindPropose}, {"request peer", KindFederationCall},
		{"request renew-leases", KindLeaseBatch}, {"request batch", KindBatch}, {"request leave", KindReleaseZones}, {"request limits", KindGetLimits},
		{"request counts", KindExchangeCounts}, {"request sums", KindExchangeSums}, {"request announce-runner", KindAnnounceRunner},
	} {
		fmt.Fprintf(&text, "%s %v\n", entry.name, entry.value)
	}
	golden.Text(t, "kinds.txt", text.String())
}
