package fleet

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tealpond/internal/member"
)

func sample() member.Fleet {
	return member.Fleet{Node: "edge-1", Tables: []member.Table{
		{Name: "workers", Cols: []string{"id", "cpu", "cpu_used", "draining"}, Rows: [][]any{
			{"w1", int64(8000), uint64(2000), false}, {"w2", int64(16000), int64(16000), true}, {"w3", int64(8000), int64(0), false}}},
		{Name: "jobs", Cols: []string{"id", "state"}, Rows: nil, Cut: true},
	}}
}

// TestQuery runs the examples of docs/queries.md.
func TestQuery(t *testing.T) {
	datadriven.RunTest(t, "../../docs/queries.examples", func(t *testing.T, d *datadriven.TestData) string {
		most := 100
		d.MaybeScanArgs(t, "limit", &most)
		r, err := Query(context.Background(), sample(), d.Input, most)
		if err != nil {
			return err.Error() + "\n"
		}
		var b strings.Builder
		fmt.Fprintln(&b, strings.Join(r.Cols, " | "))
		for _, x := range r.Rows {
			fmt.Fprintln(&b, strings.Join(x, " | "))
		}
		if r.Cut {
			fmt.Fprintln(&b, "cut")
		}
		return b.String()
	})
}
