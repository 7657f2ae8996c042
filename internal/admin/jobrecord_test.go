package admin

import (
	"strings"
	"testing"

	"tealpond/internal/rpc"
)

// testCluster returns the state of a cluster with the given rows of jobs and transfers.
func testCluster(jobs, moves [][]any) rpc.ClusterState {
	return rpc.ClusterState{Tables: []rpc.Table{
		{Name: "jobs", Columns: []string{"id", "inbox", "state", "born_ms", "ended_ms"}, Rows: jobs},
		{Name: "moves", Columns: []string{"job", "peer", "state", "guest", "job_state"}, Rows: moves},
	}}
}

// TestJobRecordsReportMissingAndDoubledJobs checks that a transferred job has one record, and that
// the record has a fault unless the job finished exactly once over all clusters.
func TestJobRecordsReportMissingAndDoubledJobs(t *testing.T) {
	a := testCluster([][]any{
		{"1", "slow", "done", uint64(1), uint64(9)}, {"2", "slow", "done", uint64(1), uint64(9)}, {"3", "slow", "pending", uint64(1), uint64(0)},
		{"4", "slow", "done", uint64(1), uint64(9)}, {"5", "fast", "serving", uint64(1), uint64(0)}, {"6", "slow", "called_off", uint64(1), uint64(2)},
		{"7", "slow", "failed", uint64(1), uint64(2)}, {"8", "slow", "serving", uint64(1), uint64(0)}},
		[][]any{{"2", "b", "released", false, "done"}, {"3", "b", "offered", false, "pending"}, {"4", "b", "home", false, "done"}})
	b := testCluster([][]any{{"2", "slow", "done", uint64(1), uint64(8)}, {"4", "slow", "done", uint64(1), uint64(8)}},
		[][]any{{"2", "a", "released", true, "done"}, {"4", "a", "taken", true, "done"}})
	got := map[string]JobRecord{}
	for _, record := range JobRecords(map[string]rpc.ClusterState{"a": a, "b": b}, []string{"slow"}) {
		got[record.Job] = record
	}
	for id, want := range map[string]struct{ ran, fault string }{"1": {"a", ""}, "2": {"b", ""}, "3": {"b", "missing: unclear"}, "4": {"a", "doubled"},
		"6": {"a", ""}, "7": {"a", "missing: it failed"}, "8": {"a", "missing: not finished"}} {
		record, ok := got[id]
		if !ok || record.RanOn != want.ran || !strings.HasPrefix(record.Fault, want.fault) || want.fault == "" && record.Fault != "" {
			t.Errorf("%s: %+v, want %+v", id, record, want)
		}
	}
	if _, ok := got["5"]; ok {
		t.Error("a job of another queue has a record")
	}
}
