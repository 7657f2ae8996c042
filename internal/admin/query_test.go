package admin

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tealpond/internal/rpc"
)

// sampleState returns the state that the examples query.
func sampleState() rpc.ClusterState {
	return rpc.ClusterState{Node: "edge-1", Tables: []rpc.Table{
		{Name: "workers", Columns: []string{"id", "cpu", "cpu_used", "draining"}, Rows: [][]any{
			{"w1", int64(8000), uint64(2000), false}, {"w2", int64(16000), int64(16000), true}, {"w3", int64(8000), int64(0), false}}},
		{Name: "jobs", Columns: []string{"id", "state"}, Rows: nil, Truncated: true},
	}}
}

// TestQueryExamples runs the examples in docs/queries.examples.
func TestQueryExamples(t *testing.T) {
	datadriven.RunTest(t, "../../docs/queries.examples", func(t *testing.T, example *datadriven.TestData) string {
		limit := 100
		example.MaybeScanArgs(t, "limit", &limit)
		result, err := Query(context.Background(), sampleState(), example.Input, limit)
		if err != nil {
			return err.Error() + "\n"
		}
		var b strings.Builder
		fmt.Fprintln(&b, strings.Join(result.Columns, " | "))
		for _, row := range result.Rows {
			fmt.Fprintln(&b, strings.Join(row, " | "))
		}
		if result.Truncated {
			fmt.Fprintln(&b, "cut")
		}
		return b.String()
	})
}
