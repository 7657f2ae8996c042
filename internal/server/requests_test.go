package server

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// configure applies a configuration with one route, h.example/r/, of the service "s".
func (h *harness) configure() {
	h.t.Helper()
	raw := `{"configVersion":7,"routeList":[{"name":"r","hostName":"h.example","pathPrefix":"/r/","kind":"writing","timeoutMs":3000,"targetMs":250,"priority":0,"targetService":"s","maxTries":4,"stretch":1.5}],"serviceList":[{"name":"s"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	if response := h.call(rpc.KindPutConfig, rpc.ConfigUpdate{Raw: []byte(raw)}); response.Code != rpc.CodeOK || response.Value != 7 {
		h.t.Fatalf("configuration not accepted: %+v", response)
	}
}

// TestFollowerRefusesLeaderRequests checks that a follower refuses the requests of a leader at once
// and without any effect.
func TestFollowerRefusesLeaderRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for kind := range leaderHandlers {
			if response := h.call(kind, nil); response.Code != rpc.CodeNotLeader || response.Leader != "" {
				t.Errorf("%s: %+v", kind, response)
			}
		}
		if len(h.replica.commands) != 0 {
			t.Errorf("%d commands would be proposed, want none", len(h.replica.commands))
		}
	})
}

// TestInvalidRequestsAreRefused checks that a request of an unknown kind, and a body that can't be
// decoded as that of its kind, are refused.
func TestInvalidRequestsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		for _, kind := range []string{"no such kind", rpc.KindJoin, rpc.KindRenewMembership, rpc.KindReleaseZones, rpc.KindSubmitJob, rpc.KindJobStatus, rpc.KindCancelJob, rpc.KindPutConfig,
			rpc.KindRegisterWorker, rpc.KindRenewLease, rpc.KindReportCompletions, rpc.KindReportEligibility, rpc.KindSetEligibility, rpc.KindLeaseBatch, rpc.KindBatch, rpc.KindBootstrap} {
			if response := h.call(kind, "not a body"); response.Code != rpc.CodeBadRequest {
				t.Errorf("%s: %+v", kind, response)
			}
		}
		if response := h.call(rpc.KindJoin, raft.Member{Node: "n"}); response.Code != rpc.CodeBadRequest {
			t.Errorf("candidate without an identity: %+v", response)
		}
	})
}

// TestJobRequests checks the responses to submissions, status requests and cancellations of jobs,
// valid and invalid ones.
func TestJobRequests(t *testing.T) {
	const id, other = "0123456789abcdef", "fedcba9876543210"
	job := protocol.Job{Spec: "spec", Steps: []protocol.Step{{TaskCount: 1, CPUUnits: 100, EstimateMs: 1000}}}
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		request := func(path string) rpc.JobRequest { return rpc.JobRequest{Host: "h.example", Path: path, Job: job} }
		if response := h.call(rpc.KindSubmitJob, request("/r/"+id)); response.Code != rpc.CodeUnavailable || response.RetryAfterMs == 0 {
			t.Errorf("without a configuration: %+v", response)
		}
		h.configure()
		for _, step := range []struct {
			name, kind, path string
			code             rpc.Code
			text             string
			value            int64
		}{
			{"no route", rpc.KindSubmitJob, "/x/" + id, rpc.CodeNotFound, "no such queue", 0},
			{"short ID", rpc.KindSubmitJob, "/r/123", rpc.CodeBadRequest, "the ID wants 16 hex digits", 0},
			{"submit", rpc.KindSubmitJob, "/r/" + id, rpc.CodeOK, "", 0},
			{"submit again", rpc.KindSubmitJob, "/r/" + id, rpc.CodeOK, "known", 0},
			{"status", rpc.KindJobStatus, "/r/" + id, rpc.CodeOK, state.StatusPending, 0},
			{"count of pending jobs", rpc.KindJobStatus, "/r/", rpc.CodeOK, "count", 1},
			{"status of an unknown job", rpc.KindJobStatus, "/r/" + other, rpc.CodeGone, "no such job", 0},
			{"status with a short ID", rpc.KindJobStatus, "/r/123", rpc.CodeBadRequest, "the ID wants 16 hex digits", 0},
			{"cancel with a short ID", rpc.KindCancelJob, "/r/123", rpc.CodeBadRequest, "the ID wants 16 hex digits", 0},
			{"cancel an unknown job", rpc.KindCancelJob, "/r/" + other, rpc.CodeGone, "", 0},
			{"cancel", rpc.KindCancelJob, "/r/" + id, rpc.CodeOK, "", 0},
			{"count after the cancellation", rpc.KindJobStatus, "/r/", rpc.CodeOK, "count", 0},
		} {
			if response := h.call(step.kind, request(step.path)); response.Code != step.code || response.Text != step.text || response.Value != step.value {
				t.Errorf("%s: %+v", step.name, response)
			}
		}
	})
}

// TestWorkerRequests checks that a worker is registered, that its lease is renewed under its fence
// only, and that the lease expires without renewals.
func TestWorkerRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		h.configure()
		registered := h.call(rpc.KindRegisterWorker, state.RegisterWorker{ID: "w", Node: "n-w", Service: "s", Zone: "z", Capacity: protocol.Resources{CPUUnits: 4000, MemoryMB: 1000}, LeavesInMs: -1})
		if registered.Code != rpc.CodeOK || registered.Value == 0 {
			t.Fatalf("worker not registered: %+v", registered)
		}
		fence := registered.Value
		for _, step := range []struct {
			name   string
			worker string
			fence  int64
			code   rpc.Code
		}{{"its fence", "w", fence, rpc.CodeOK}, {"another fence", "w", fence + 1, rpc.CodeConflict}, {"another worker", "x", fence, rpc.CodeGone}} {
			response := h.call(rpc.KindRenewLease, rpc.LeaseRenewal{Worker: step.worker, Fence: step.fence, RuntimePercent: 120})
			if response.Code != step.code || (response.Value == timing.MaxLeaseDuration.Milliseconds()) != (step.code == rpc.CodeOK) {
				t.Errorf("%s: %+v", step.name, response)
			}
		}
		if lease := h.replica.leases["w"]; lease == nil || lease.runtimePercent != 120 {
			t.Errorf("runtime not recorded in the lease: %+v", lease)
		}
		if response := h.call(rpc.KindSetEligibility, state.SetEligibility{ID: "w", LeavesInMs: -1, Unhealthy: true}); response.Code != rpc.CodeOK || !h.replica.state.Workers["w"].Unhealthy {
			t.Errorf("unhealthy: %+v", response)
		}
		if response := h.call(rpc.KindReportCompletions, state.ReportCompletions{Worker: "w", Fence: fence + 1}); response.Code != rpc.CodeConflict {
			t.Errorf("completions under another fence: %+v", response)
		}
		for i := 0; i < 10000 && !h.replica.state.Workers["w"].LeaseExpired; i++ {
			h.runIteration()
		}
		if !h.replica.state.Workers["w"].LeaseExpired {
			t.Fatal("the lease does not expire")
		}
		if response := h.call(rpc.KindRenewLease, rpc.LeaseRenewal{Worker: "w", Fence: fence}); response.Code != rpc.CodeConflict {
			t.Errorf("renewal after the expiry: %+v", response)
		}
	})
}

// TestBatchIsAnsweredInOneResponse checks that each request of a batch has its own response, in
// order, and that kinds that are not requests of agents are refused.
func TestBatchIsAnsweredInOneResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		batch := rpc.Batch{Requests: []rpc.Request{
			{Kind: rpc.KindRenewMembership, Body: transport.Encode(rpc.MembershipLease{Node: "n", Role: "side"})},
			{Kind: rpc.KindGetConfig},
			{Kind: rpc.KindRegisterWorker, Body: transport.Encode(state.RegisterWorker{ID: "w", Node: "n-w", LeavesInMs: -1})},
			{Kind: rpc.KindSetEligibility, Body: []byte{0xff}},
		}}
		response := h.call(rpc.KindBatch, batch)
		var responses []rpc.Response
		if response.Code != rpc.CodeOK || transport.Decode(response.Body, &responses) != nil {
			t.Fatalf("%+v", response)
		}
		var codes []rpc.Code
		for _, each := range responses {
			codes = append(codes, each.Code)
		}
		if want := []rpc.Code{rpc.CodeOK, rpc.CodeBadRequest, rpc.CodeOK, rpc.CodeBadRequest}; !slices.Equal(codes, want) {
			t.Errorf("codes %v, want %v", codes, want)
		}
	})
}

// TestBatchWithUnknownOutcome checks that the outcome of a whole batch is unknown if that of one of
// its requests is, since the client then asks the next leader.
func TestBatchWithUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		h.runIteration()
		var responses []rpc.Response
		batch := rpc.Batch{Requests: []rpc.Request{
			{Kind: rpc.KindRenewMembership, Body: transport.Encode(rpc.MembershipLease{Node: "n", Role: "side"})},
			{Kind: rpc.KindRegisterWorker, Body: transport.Encode(state.RegisterWorker{ID: "w", Node: "n-w", LeavesInMs: -1})},
		}}
		h.replica.handleRequest(rpc.Request{Kind: rpc.KindBatch, Body: transport.Encode(batch)}, nil, func(response rpc.Response) { responses = append(responses, response) })
		time.Sleep(time.Second / 10)
		h.finishIteration() // proposed, and not acknowledged
		h.receive(raft.Message{Kind: raft.MsgAppend, From: "c", Term: h.replica.node.Term() + 1, Index: 1})
		h.finishIteration()
		if len(responses) != 1 || responses[0].Code != rpc.CodeLeadershipLost || responses[0].Body != nil {
			t.Errorf("%+v", responses)
		}
	})
}

// TestMembershipLeases checks that members are listed by node and role until their leases expire,
// and that a server's zone is read from its lease.
func TestMembershipLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		for _, lease := range []rpc.MembershipLease{{Node: "n2", Role: "edge", Zone: "z"}, {Node: "n1", Role: "side"}, {Node: "n1", Role: "edge"}} {
			if response := h.call(rpc.KindRenewMembership, lease); response.Code != rpc.CodeOK {
				t.Fatalf("%+v", response)
			}
		}
		list := func() string {
			var members []rpc.MembershipLease
			if response := h.call(rpc.KindListMembers, nil); response.Code != rpc.CodeOK || transport.Decode(response.Body, &members) != nil {
				t.Fatalf("%+v", response)
			}
			text := ""
			for _, member := range members {
				text += fmt.Sprintf("%s/%s ", member.Node, member.Role)
			}
			return text
		}
		if got := list(); got != "n1/edge n1/side n2/edge " {
			t.Errorf("members: %s", got)
		}
		if zone := h.replica.zoneOf("n2"); zone != "z" || h.replica.zoneOf("n3") != "" {
			t.Errorf("zone: %q", zone)
		}
		expired := h.replica.memberLeases["n1/side"]
		expired.renewedAt = time.Now().Add(-timing.MembershipLeaseDuration)
		h.replica.memberLeases["n1/side"] = expired
		if got := list(); got != "n1/edge n2/edge " {
			t.Errorf("members after one lease expired: %s", got)
		}
	})
}

// TestReportsAreOrderedFromTheFormatThatKnowsThem guards against an old report of a worker's health that
// undoes a newer one, and checks that replicas of earlier programs get the command that they know.
func TestReportsAreOrderedFromTheFormatThatKnowsThem(t *testing.T) {
	for format, wantUnhealthy := range map[int]bool{state.FormatOrderedReports - 1: true, state.FormatOrderedReports: false} {
		t.Run(fmt.Sprint("format ", format), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLeader(t)
				h.configure()
				fence := h.call(rpc.KindRegisterWorker, state.RegisterWorker{ID: "w", Node: "n", Service: "s", LeavesInMs: -1}).Value
				h.replica.state.Format = format
				h.call(rpc.KindReportEligibility, state.ReportEligibility{ID: "w", Fence: fence, Number: 2, LeavesInMs: -1})
				h.call(rpc.KindReportEligibility, state.ReportEligibility{ID: "w", Fence: fence, Number: 1, LeavesInMs: -1, Unhealthy: true})
				if unhealthy := h.replica.state.Workers["w"].Unhealthy; unhealthy != wantUnhealthy {
					t.Errorf("after the old report: unhealthy is %v, want %v", unhealthy, wantUnhealthy)
				}
			})
		})
	}
}
