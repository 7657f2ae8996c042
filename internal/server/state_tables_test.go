package server

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"tealpond/internal/coordination"
	"tealpond/internal/protocol"
	"tealpond/internal/registry"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// TestClusterStateTables checks the names of tables and columns, which operators rely on, and that
// each row has a value for each column.
func TestClusterStateTables(t *testing.T) {
	want := `daemons: node role zone addr seen_ms
runners: id service zone addr slots draining latency_ms failed_pct
workers: id node service zone rack cpu cpu_used mem mem_used gpus fence draining sick lost dead
devices: id class worker healthy bookings
bookings: device alloc from_ms to_ms
allocs: id worker task run cpu mem gpus since_ms stopping why
inboxes: name host prefix service priority target_ms stretch max_rounds waiting
jobs: id inbox service priority state born_ms ended_ms steps run_times
moves: job inbox peer no state guest job_state born_ms ended_ms
rollups: service cpu_total cpu_allocatable cpu_allocated mem_total mem_allocatable mem_allocated gpu_total gpu_allocated draining unreachable at_ms
duties: zone no holder addr next_addr
tenants: name share_milli cpu_limit cpu_used mem_limit mem_used gpu_limit gpu_used runs open_jobs waiting_jobs beyond_share waits_for
locks: name holder fence held_ms left_ms
numbers: name value
keys: name group_name value revision
zones: zone evacuated revision since_ms
tallies: name total
tally_peers: id silent_ms lacks
`
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		h.configure()
		h.call(rpc.KindRenewMembership, rpc.MembershipLease{Node: "n", Role: "edge"})
		h.publishRunnerList(registry.Runner{ID: "r", Service: "s", Zone: "z", Address: "10.0.0.1:80", Slots: 2})
		h.call(rpc.KindRegisterWorker, state.RegisterWorker{ID: "w", Node: "n-w", Service: "s", Zone: "z", Capacity: protocol.Resources{CPUUnits: 4000, MemoryMB: 1000, GPUs: 2}, LeavesInMs: -1})
		h.call(rpc.KindSubmitJob, rpc.JobRequest{Host: "h.example", Path: "/r/0123456789abcdef", Job: protocol.Job{Steps: []protocol.Step{{TaskCount: 1, CPUUnits: 100, EstimateMs: 1000}}}})
		h.call(rpc.KindAcquireLock, coordination.Acquire{Name: "l", Holder: "a", HoldMs: 3000})
		h.call(rpc.KindNextNumber, "n")
		h.call(rpc.KindPutKey, coordination.Put{Key: "g.a", Value: "v"})
		h.runIteration()
		response := h.call(rpc.KindClusterState, nil)
		var cluster rpc.ClusterState
		if response.Code != rpc.CodeOK || transport.Decode(response.Body, &cluster) != nil || !cluster.IsLeader || cluster.Node != "n-a" || cluster.AppliedIndex == 0 {
			t.Fatalf("%+v, %+v", response, cluster)
		}
		got, rows := "", map[string]int{}
		for _, table := range cluster.Tables {
			got += table.Name + ": " + strings.Join(table.Columns, " ") + "\n"
			rows[table.Name] = len(table.Rows)
			for _, row := range table.Rows {
				if len(row) != len(table.Columns) {
					t.Errorf("%s: %d values for %d columns", table.Name, len(row), len(table.Columns))
				}
			}
		}
		if got != want {
			t.Errorf("tables:\n%s", got)
		}
		for _, name := range []string{"daemons", "runners", "workers", "devices", "inboxes", "jobs", "allocs"} {
			if rows[name] == 0 {
				t.Errorf("%s is empty: %v", name, rows)
			}
		}
	})
}

// TestTenantTable checks the usage, the limits and the pending jobs of tenants, and what these jobs
// wait for.
func TestTenantTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		h.configureTenants(1, `{"name":"a","apiKeys":["secret"],"share":2.5,"upperLimit":{"cpuUnits":100}},{"name":"b","apiKeys":["b1"]}`)
		h.call(rpc.KindRegisterWorker, state.RegisterWorker{ID: "w", Node: "n-w", Service: "s", Capacity: protocol.Resources{CPUUnits: 4000, MemoryMB: 1000}, LeavesInMs: -1})
		for _, id := range []string{tenantJobID, strings.Repeat("1", jobIDDigits)} {
			h.call(rpc.KindSubmitJob, tenantRequest("/r/"+id, "secret"))
		}
		h.runIteration()
		table := tenantTable(h.replica.state)
		for _, row := range table.Rows {
			text := strings.Trim(fmt.Sprint(row), "[]")
			want := map[string]string{"a": "a 2500 100 100 0 0 0 0 1 2 1 0 quota", "b": "b 0 0 0 0 0 0 0 0 0 0 0 "}[row[0].(string)]
			if text != want {
				t.Errorf("row %q, want %q", text, want)
			}
		}
		if len(table.Rows) != 2 {
			t.Errorf("%d rows, want 2", len(table.Rows))
		}
	})
}

// TestTablesAreTruncated checks that a table has at most rpc.MaxQueryRows rows, and that it is
// marked as truncated if there are more.
func TestTablesAreTruncated(t *testing.T) {
	table := newTable("t", "n")
	for n := range rpc.MaxQueryRows {
		addRow(&table, n)
	}
	if table.Truncated || len(table.Rows) != rpc.MaxQueryRows {
		t.Errorf("%d rows, truncated: %v", len(table.Rows), table.Truncated)
	}
	if addRow(&table, -1); !table.Truncated || len(table.Rows) != rpc.MaxQueryRows {
		t.Errorf("%d rows, truncated: %v", len(table.Rows), table.Truncated)
	}
}
