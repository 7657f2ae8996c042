package server

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// TestFloodOfOneTenantHasNobodyElseRefused: a job beyond its tenant's share is refused,
// with the time after which it would meet its target, if it would miss that behind the
// work ahead of it: that of all tenants on all workers, or its own tenant's under its
// quota. A job within the share is refused so only while its tenant floods the cluster.
// Less urgent work isn't ahead of it. Else a job within its share is accepted until all
// workers have far too much to do.
func TestFloodOfOneTenantHasNobodyElseRefused(t *testing.T) {
	const cores = 10
	hardLimit := int(maxBacklogPerCore.Seconds()) * cores
	for _, c := range []struct {
		name        string
		waiting     int // tasks of a core-second each, submitted by tenant a
		waitingOn   string
		key         string
		beyondShare bool
		flooded     bool  // a job beyond the share was refused a moment ago
		retryMs     int64 // 0: accepted
	}{
		{"within the share", 8 * cores, "/r/", "b1", false, false, 0},
		{"little waits", cores, "/r/", "b1", true, false, 0},
		{"as much as the target allows", 2 * cores, "/r/", "b1", true, false, 0},
		{"more than that", 5 * cores, "/r/", "b1", true, false, 3000},
		{"less urgent work waits", 5 * cores, "/later/", "b1", true, false, 0},
		{"under its own quota", cores, "/r/", "a1", true, false, 3000},
		{"little under its own quota", 3, "/r/", "a1", true, false, 0},
		{"within the share, under its own quota", cores, "/r/", "a1", false, false, 0},
		{"within the share, under its own quota, in a flood", cores, "/r/", "a1", false, true, 3000},
		{"within the share, little under its own quota, in a flood", 3, "/r/", "a1", false, true, 0},
		{"within the share, in a flood of another tenant", 8 * cores, "/r/", "b1", false, true, 0},
		{"far too much", hardLimit + 2*cores, "/r/", "b1", false, false, 2000},
		{"far too much of less urgent work", hardLimit + 2*cores, "/later/", "b1", false, false, 2000},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLeader(t)
				h.configureBacklog()
				h.call(rpc.KindRegisterWorker, state.RegisterWorker{ID: "w", Node: "n", Service: "s", LeavesInMs: -1,
					Capacity: protocol.Resources{CPUUnits: cores * 1000, MemoryMB: 1000}})
				flood := tenantRequest(c.waitingOn+tenantJobID, "a1")
				flood.Job.Steps[0].TaskCount, flood.Job.Steps[0].CPUUnits = c.waiting, 1000
				if response := h.call(rpc.KindSubmitJob, flood); response.Code != rpc.CodeOK {
					t.Fatalf("%+v", response)
				}
				time.Sleep(timing.HeartbeatInterval)
				if c.flooded {
					h.replica.noteFlood("a", time.Now())
				}
				request := tenantRequest("/r/"+strings.Repeat("1", jobIDDigits), c.key)
				request.BeyondShare = c.beyondShare
				response := h.call(rpc.KindSubmitJob, request)
				if refused := response.Code == rpc.CodeTooManyRequests; refused != (c.retryMs > 0) || response.RetryAfterMs != c.retryMs {
					t.Errorf("%+v; want a refusal for %d ms", response, c.retryMs)
				}
			})
		})
	}
}

// configureBacklog puts a configuration in force with an urgent and a less urgent route,
// of which jobs of one second have a target of two, and two tenants: a may use two cores.
func (h *harness) configureBacklog() {
	h.t.Helper()
	route := func(name string, priority int) string {
		return fmt.Sprintf(`{"name":%q,"hostName":"h.example","pathPrefix":"/%s/","timeoutMs":3000,"targetService":"s",`+
			`"priority":%d,"stretch":1.5,"targetMs":500}`, name, name, priority)
	}
	raw := `{"configVersion":1,"routeList":[` + route("r", 0) + "," + route("later", 1) + `],"serviceList":[{"name":"s"}],` +
		`"tenantList":[{"name":"a","apiKeys":["a1"],"upperLimit":{"cpuUnits":2000}},{"name":"b","apiKeys":["b1"]}]}`
	if response := h.call(rpc.KindPutConfig, rpc.ConfigUpdate{Raw: []byte(raw)}); response.Code != rpc.CodeOK {
		h.t.Fatalf("the configuration: %+v", response)
	}
}

// TestJobOnItsWayThroughTheLogIsNotRefused: a copy of a submission comes while the first is
// in the log and not applied yet, and a flood has begun in between. A refusal would promise
// that the job is never taken.
func TestJobOnItsWayThroughTheLogIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		h.configureBacklog()
		h.call(rpc.KindRegisterWorker, state.RegisterWorker{ID: "w", Node: "n", Service: "s", LeavesInMs: -1,
			Capacity: protocol.Resources{CPUUnits: 1000, MemoryMB: 1000}})
		var codes []rpc.Code
		submit := func(id string) {
			request := tenantRequest("/r/"+id, "b1")
			body := transport.Encode(request)
			h.replica.handleRequest(rpc.Request{Kind: rpc.KindSubmitJob, Body: body}, nil, func(response rpc.Response) { codes = append(codes, response.Code) })
		}
		first := strings.Repeat("1", jobIDDigits)
		submit(first)
		h.replica.backlog[state.BacklogKey{Service: "s", Tenant: "a"}] = 1e12
		submit(first)
		submit(strings.Repeat("2", jobIDDigits))
		for range 20 {
			h.turn()
		}
		want := []rpc.Code{rpc.CodeTooManyRequests, rpc.CodeOK, rpc.CodeOK}
		if !slices.Equal(codes, want) || len(h.replica.submitting) != 0 {
			t.Errorf("answers %v, want %v; on their way %v", codes, want, h.replica.submitting)
		}
	})
}
