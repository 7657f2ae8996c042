package server

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// TestFloodOfOneTenantCausesNoRefusalsForOthers checks which jobs are refused behind a backlog.
// A job beyond its tenant's share is refused, with the time after which it would meet its target,
// if it would miss that behind the queued work: that of all tenants on all workers, or its own
// tenant's under its quota. Less urgent work doesn't count. A job within the share is refused by
// this rule only under its own tenant's quota, and shortly after a refusal beyond the share;
// otherwise it is accepted until the backlog of all workers exceeds maxBacklogPerCore.
func TestFloodOfOneTenantCausesNoRefusalsForOthers(t *testing.T) {
	const cores = 10
	hardLimit := int(maxBacklogPerCore.Seconds()) * cores
	for _, c := range []struct {
		name        string
		queued      int // tasks of one core-second each, submitted by tenant a
		queuedOn    string
		key         string
		beyondShare bool
		flooded     bool  // a job of tenant a beyond its share was refused just before
		retryMs     int64 // 0: accepted
	}{
		{"within the share", 8 * cores, "/r/", "b1", false, false, 0},
		{"small backlog", cores, "/r/", "b1", true, false, 0},
		{"as much backlog as the target allows", 2 * cores, "/r/", "b1", true, false, 0},
		{"more backlog than the target allows", 5 * cores, "/r/", "b1", true, false, 3000},
		{"less urgent backlog", 5 * cores, "/later/", "b1", true, false, 0},
		{"backlog under its own quota", cores, "/r/", "a1", true, false, 3000},
		{"small backlog under its own quota", 3, "/r/", "a1", true, false, 0},
		{"within the share, backlog under its own quota", cores, "/r/", "a1", false, false, 0},
		{"within the share, backlog under its own quota, in a flood", cores, "/r/", "a1", false, true, 3000},
		{"within the share, small backlog under its own quota, in a flood", 3, "/r/", "a1", false, true, 0},
		{"within the share, in a flood of another tenant", 8 * cores, "/r/", "b1", false, true, 0},
		{"backlog above the limit of all tenants", hardLimit + 2*cores, "/r/", "b1", false, false, 2000},
		{"less urgent backlog above the limit of all tenants", hardLimit + 2*cores, "/later/", "b1", false, false, 2000},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLeader(t)
				h.configureBacklog()
				h.call(rpc.KindRegisterWorker, state.RegisterWorker{ID: "w", Node: "n", Service: "s", LeavesInMs: -1,
					Capacity: protocol.Resources{CPUUnits: cores * 1000, MemoryMB: 1000}})
				flood := tenantRequest(c.queuedOn+tenantJobID, "a1")
				flood.Job.Steps[0].TaskCount, flood.Job.Steps[0].CPUUnits = c.queued, 1000
				if response := h.call(rpc.KindSubmitJob, flood); response.Code != rpc.CodeOK {
					t.Fatalf("the flood was not accepted: %+v", response)
				}
				time.Sleep(timing.HeartbeatInterval)
				if c.flooded {
					h.replica.recordFlood("a", time.Now())
				}
				request := tenantRequest("/r/"+strings.Repeat("1", jobIDDigits), c.key)
				request.BeyondShare = c.beyondShare
				response := h.call(rpc.KindSubmitJob, request)
				if refused := response.Code == rpc.CodeTooManyRequests; refused != (c.retryMs > 0) || response.RetryAfterMs != c.retryMs {
					t.Errorf("%+v; want a retry after %d ms, 0 if accepted", response, c.retryMs)
				}
			})
		})
	}
}

// configureBacklog applies a configuration with an urgent and a less urgent route, on which jobs
// of one second have a target of two seconds, and with two tenants: tenant a may use two cores.
func (h *harness) configureBacklog() {
	h.t.Helper()
	route := func(name string, priority int) string {
		return fmt.Sprintf(`{"name":%q,"hostName":"h.example","pathPrefix":"/%s/","timeoutMs":3000,"targetService":"s",`+
			`"priority":%d,"stretch":1.5,"targetMs":500}`, name, name, priority)
	}
	raw := `{"configVersion":1,"routeList":[` + route("r", 0) + "," + route("later", 1) + `],"serviceList":[{"name":"s"}],` +
		`"tenantList":[{"name":"a","apiKeys":["a1"],"upperLimit":{"cpuUnits":2000}},{"name":"b","apiKeys":["b1"]}]}`
	if response := h.call(rpc.KindPutConfig, rpc.ConfigUpdate{Raw: []byte(raw)}); response.Code != rpc.CodeOK {
		h.t.Fatalf("configuration not accepted: %+v", response)
	}
}

// TestJobInTheLogIsNotRefused guards against refusing a job that runs nevertheless: a submission
// is repeated while the first one is in the log and not applied yet, and a flood has begun in
// between. A refusal would promise that the job is never accepted.
func TestJobInTheLogIsNotRefused(t *testing.T) {
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
			h.runIteration()
		}
		want := []rpc.Code{rpc.CodeTooManyRequests, rpc.CodeOK, rpc.CodeOK}
		if !slices.Equal(codes, want) || len(h.replica.submitting) != 0 {
			t.Errorf("codes %v, want %v; still submitting %v", codes, want, h.replica.submitting)
		}
	})
}

// TestSplitRouteIsRefusedByTheJobsService guards against a queue without a bound: jobs of a route with
// a traffic split were accepted whatever was queued, since no worker has the service "".
func TestSplitRouteIsRefusedByTheJobsService(t *testing.T) {
	const split = `"trafficSplit":[{"targetService":"s","share":1},{"targetService":"t","share":1}]`
	for _, c := range []struct {
		name     string
		services []string // that have a worker
		refused  bool     // the jobs of both services are refused
	}{{"both services have workers", []string{"s", "t"}, false}, {"jobs of the other service run here too", []string{"s"}, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newLeader(t)
				h.raiseFormat()
				raw := `{"configVersion":1,"routeList":[{"name":"r","hostName":"h.example","pathPrefix":"/r/","timeoutMs":3000,` + split +
					`,"stretch":1.5,"targetMs":500}],"serviceList":[{"name":"s"},{"name":"t"}]}`
				h.call(rpc.KindPutConfig, rpc.ConfigUpdate{Raw: []byte(raw)})
				for _, service := range c.services {
					h.call(rpc.KindRegisterWorker, state.RegisterWorker{ID: "w-" + service, Node: "n-" + service, Service: service, LeavesInMs: -1,
						Capacity: protocol.Resources{CPUUnits: 1000, MemoryMB: 1000}})
				}
				route := &h.replica.state.Configuration.Routes[0]
				flood := h.submitTo(route, "s", 2*int(maxBacklogPerCore.Seconds()))
				if flood.Code != rpc.CodeOK {
					t.Fatalf("the flood was not accepted: %+v", flood)
				}
				for service, want := range map[string]bool{"s": true, "t": c.refused} {
					if got := h.submitTo(route, service, 1); got.Code == rpc.CodeTooManyRequests != want {
						t.Errorf("a job of service %s was answered %+v, want refused: %v", service, got, want)
					}
				}
			})
		})
	}
}

// submitTo submits a new job of one step that the route's split gives to a service. The step has the
// given number of tasks of one core-second each.
func (h *harness) submitTo(route *clusterconfig.Route, service string, tasks int) rpc.Response {
	h.t.Helper()
	for number := len(h.replica.state.Jobs); ; number++ {
		if id := fmt.Sprintf("%016x", number); route.ServiceForJob(id) == service && h.replica.state.Jobs[id] == nil {
			time.Sleep(timing.HeartbeatInterval)
			steps := []protocol.Step{{TaskCount: tasks, CPUUnits: 1000, EstimateMs: 1000}}
			return h.call(rpc.KindSubmitJob, rpc.JobRequest{Host: "h.example", Path: "/r/" + id, Job: protocol.Job{Spec: "x", Steps: steps}})
		}
	}
}
