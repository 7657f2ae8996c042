package server

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/counter"
	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

const tenantJobID = "0123456789abcdef"

// configureTenants applies a configuration with a route for tenants, /r/, a public route, /open/,
// and the given JSON list of tenants.
func (h *harness) configureTenants(version int, tenants string) {
	h.t.Helper()
	route := func(name, prefix, more string) string {
		return `{"name":"` + name + `","hostName":"h.example","pathPrefix":"` + prefix + `","timeoutMs":3000,"targetService":"s"` + more + `}`
	}
	raw := fmt.Sprintf(`{"configVersion":%d,"routeList":[%s,%s],"serviceList":[{"name":"s"}],"tenantList":[%s]}`,
		version, route("r", "/r/", ""), route("open", "/open/", `,"public":true`), tenants)
	base := h.replica.state.Configuration.Version
	if response := h.call(rpc.KindPutConfig, rpc.ConfigUpdate{BaseVersion: base, Raw: []byte(raw)}); response.Code != rpc.CodeOK {
		h.t.Fatalf("configuration not accepted: %+v", response)
	}
}

// tenantRequest returns a client's call with a key.
func tenantRequest(path, key string) rpc.JobRequest {
	return rpc.JobRequest{Host: "h.example", Path: path, Key: key,
		Job: protocol.Job{Spec: "spec", Steps: []protocol.Step{{TaskCount: 1, CPUUnits: 100, EstimateMs: 1000}}}}
}

// TestCallsRequireAKeyOfTheTenant checks that an unknown key gets 401 on all routes except public
// ones, that another tenant's key gets 403, and that each key of the job's tenant has access.
func TestCallsRequireAKeyOfTheTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		h.configureTenants(1, `{"name":"a","apiKeys":["a1","a2"]},{"name":"b","apiKeys":["b1"]}`)
		for _, step := range []struct {
			name, kind, path, key string
			code                  rpc.Code
		}{
			{"no route, no key", rpc.KindSubmitJob, "/x/" + tenantJobID, "", rpc.CodeNotFound},
			{"no key", rpc.KindSubmitJob, "/r/" + tenantJobID, "", rpc.CodeUnauthorized},
			{"unknown key", rpc.KindSubmitJob, "/r/" + tenantJobID, "c1", rpc.CodeUnauthorized},
			{"submit", rpc.KindSubmitJob, "/r/" + tenantJobID, "a1", rpc.CodeOK},
			{"submit again with another key of the tenant", rpc.KindSubmitJob, "/r/" + tenantJobID, "a2", rpc.CodeOK},
			{"submit with the ID of another tenant's job", rpc.KindSubmitJob, "/r/" + tenantJobID, "b1", rpc.CodeForbidden},
			{"status", rpc.KindJobStatus, "/r/" + tenantJobID, "a2", rpc.CodeOK},
			{"status without key", rpc.KindJobStatus, "/r/" + tenantJobID, "", rpc.CodeUnauthorized},
			{"status of another tenant's job", rpc.KindJobStatus, "/r/" + tenantJobID, "b1", rpc.CodeForbidden},
			{"count", rpc.KindJobStatus, "/r/", "b1", rpc.CodeOK},
			{"count without key", rpc.KindJobStatus, "/r/", "", rpc.CodeUnauthorized},
			{"cancel another tenant's job", rpc.KindCancelJob, "/r/" + tenantJobID, "b1", rpc.CodeForbidden},
			{"cancel with an unknown key", rpc.KindCancelJob, "/r/" + tenantJobID, "x", rpc.CodeUnauthorized},
			{"cancel", rpc.KindCancelJob, "/r/" + tenantJobID, "a1", rpc.CodeOK},
			{"submit on a public route", rpc.KindSubmitJob, "/open/" + strings.Repeat("f", jobIDDigits), "", rpc.CodeOK},
			{"status on a public route with any key", rpc.KindJobStatus, "/open/" + strings.Repeat("f", jobIDDigits), "b1", rpc.CodeOK},
		} {
			if response := h.call(step.kind, tenantRequest(step.path, step.key)); response.Code != step.code {
				t.Errorf("%s: %+v, want code %d", step.name, response, step.code)
			}
		}
	})
}

// TestJobsOfTenantsAreAnsweredWithoutTenants guards against accepted jobs that nobody can reach: once
// no tenants are configured, no key is needed, and a job that was accepted under a key is answered to
// all, also to a repeated submission. It belongs to its tenant again once tenants are back.
func TestJobsOfTenantsAreAnsweredWithoutTenants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		tenants := `{"name":"a","apiKeys":["a1"]},{"name":"b","apiKeys":["b1"]}`
		h.configureTenants(1, tenants)
		if response := h.call(rpc.KindSubmitJob, tenantRequest("/r/"+tenantJobID, "a1")); response.Code != rpc.CodeOK {
			t.Fatalf("submission: %+v", response)
		}
		expect := func(kind, key string, code rpc.Code) {
			t.Helper()
			if response := h.call(kind, tenantRequest("/r/"+tenantJobID, key)); response.Code != code {
				t.Errorf("%s with key %q: %+v, want code %d", kind, key, response, code)
			}
		}
		h.configureTenants(2, "")
		for _, key := range []string{"", "a1", "b1", "unknown"} {
			expect(rpc.KindJobStatus, key, rpc.CodeOK)
			expect(rpc.KindSubmitJob, key, rpc.CodeOK)
		}
		h.configureTenants(3, tenants)
		expect(rpc.KindJobStatus, "b1", rpc.CodeForbidden)
		expect(rpc.KindJobStatus, "", rpc.CodeUnauthorized)
		expect(rpc.KindJobStatus, "a1", rpc.CodeOK)
		h.configureTenants(4, "")
		expect(rpc.KindCancelJob, "", rpc.CodeOK)
	})
}

// TestRevokedKeyIsRefusedAtOnce checks that a revoked key is refused even if the change is applied
// while a submission is in the log, and that a key that moved counts for its new tenant.
func TestRevokedKeyIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		h.configureTenants(1, `{"name":"a","apiKeys":["a1","moved"]},{"name":"b","apiKeys":["b1"]}`)
		responses := map[string]rpc.Response{}
		submit := func(key, id string) {
			request := tenantRequest("/r/"+id, key)
			h.replica.handleRequest(rpc.Request{Kind: rpc.KindSubmitJob, Body: transport.Encode(request)}, nil,
				func(response rpc.Response) { responses[key] = response })
		}
		// The change is first in the log. The submissions behind it were admitted before it was
		// applied.
		raw := `{"configVersion":2,"routeList":[{"name":"r","hostName":"h.example","pathPrefix":"/r/","timeoutMs":3000,"targetService":"s"}],` +
			`"serviceList":[{"name":"s"}],"tenantList":[{"name":"a"},{"name":"b","apiKeys":["b1","moved"]}]}`
		h.replica.enqueueCommand(state.CommandReplaceConfiguration, &state.ReplaceConfiguration{BaseVersion: 1, Raw: []byte(raw)}, nil)
		submit("a1", tenantJobID)
		submit("moved", strings.Repeat("e", jobIDDigits))
		for i := 0; i < 100 && len(responses) < 2; i++ {
			h.runIteration()
		}
		if responses["a1"].Code != rpc.CodeUnauthorized || h.replica.state.Jobs[tenantJobID] != nil {
			t.Errorf("submission with the revoked key: %+v", responses["a1"])
		}
		if job := h.replica.state.Jobs[strings.Repeat("e", jobIDDigits)]; responses["moved"].Code != rpc.CodeOK || job == nil || job.Tenant() != "b" {
			t.Errorf("submission with the key that moved: %+v, job %+v", responses["moved"], job)
		}
	})
}

// TestTenantsAreSentOnlyWhenChanged checks that daemons are sent the tenants without their keys, and
// nothing while they have the newest ones.
func TestTenantsAreSentOnlyWhenChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		if response := h.call(rpc.KindGetTenants, rpc.TenantQuery{}); response.Code != rpc.CodeUnavailable {
			t.Errorf("without a configuration: %+v", response)
		}
		h.configureTenants(1, `{"name":"a","apiKeys":["secret"],"share":2.5}`)
		first := h.call(rpc.KindGetTenants, rpc.TenantQuery{})
		var shares []rpc.TenantShare
		if err := transport.Decode(first.Body, &shares); err != nil || len(shares) != 1 || shares[0].MilliShare != 2500 || len(shares[0].KeyDigests) != 1 {
			t.Fatalf("%+v, %v", shares, err)
		}
		if strings.Contains(string(first.Body), "secret") {
			t.Error("the response has an API key in it")
		}
		h.configureTenants(2, `{"name":"a","apiKeys":["secret"],"share":2.5}`)
		if again := h.call(rpc.KindGetTenants, rpc.TenantQuery{KnownDigest: first.Text}); len(again.Body) != 0 || again.Text != first.Text {
			t.Errorf("tenants sent again without a change: %+v", again)
		}
		h.configureTenants(3, `{"name":"a","apiKeys":["secret"],"share":3}`)
		if changed := h.call(rpc.KindGetTenants, rpc.TenantQuery{KnownDigest: first.Text}); len(changed.Body) == 0 {
			t.Errorf("a changed share is not sent: %+v", changed)
		}
	})
}

// TestCountsAreMergedThroughTheLeader checks that the counts of one daemon reach another, as
// entries or as sums, also those of the daemon in the leader's own process.
func TestCountsAreMergedThroughTheLeader(t *testing.T) {
	const leadersProcess = "a" // process ID in newHarness
	for _, kind := range []string{rpc.KindExchangeCounts, rpc.KindExchangeSums} {
		for _, counting := range []string{"d1", leadersProcess} {
			synctest.Test(t, func(t *testing.T) {
				h := newLeader(t)
				now := time.Now()
				first := counter.NewSet(counting, counter.DefaultWindow, counter.SlotWidth, now)
				second := counter.NewSet("d2", counter.DefaultWindow, counter.SlotWidth, now)
				first.Add("a", 3, now)
				for _, set := range []*counter.Set{first, second} {
					response := h.call(kind, counter.NewExchange(set).Request(time.Now()))
					var counts counter.Response
					if err := transport.Decode(response.Body, &counts); response.Code != rpc.CodeOK || err != nil {
						t.Fatalf("%+v, %v", response, err)
					}
					set.Merge(counts.Entries, counts.Process, time.Now())
				}
				if sum := second.Sum("a", time.Now()); sum != 3 {
					t.Errorf("%s: the other daemon has a sum of %d for the counts of %s, want 3", kind, sum, counting)
				}
			})
		}
	}
}
