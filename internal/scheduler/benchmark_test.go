package scheduler

import (
	"fmt"
	"testing"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// clusterSizes are the worker counts of the benchmarked clusters.
var clusterSizes = []int{50, 500, 4000}

// runsPerWorker is the mean number of runs per worker in a full cluster.
const runsPerWorker = 14.5

// benchmarkSizes runs a benchmark on a full cluster of each size.
func benchmarkSizes(b *testing.B, benchmark func(b *testing.B, c *testCluster, p *Planner)) {
	for _, n := range clusterSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newTestCluster(b, n)
			p := &Planner{}
			c.fillWorkers(p, runsPerWorker)
			benchmark(b, c, p)
		})
	}
}

// BenchmarkPlanAndBind measures the time per task to plan and bind a job after as many other tasks
// have completed.
func BenchmarkPlanAndBind(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, c *testCluster, p *Planner) {
		b.ResetTimer()
		for i := 0; i < b.N; i += 22 {
			for range 22 {
				c.complete(c.anyAllocation())
			}
			c.submit("/p/", protocol.Step{TaskCount: 22, CPUUnits: 800, MemoryMB: 900, EstimateMs: 40000})
			if c.planAndBind(p) == 0 {
				b.Fatal("no task was placed")
			}
		}
	})
}

// BenchmarkPlanNoChanges measures planning when nothing has changed since the last plan.
func BenchmarkPlanNoChanges(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, c *testCluster, p *Planner) {
		p.Plan(c.store)
		b.ResetTimer()
		for range b.N {
			p.Plan(c.store)
		}
	})
}

// BenchmarkSnapshot measures encoding, freezing and decoding a snapshot of the whole state.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range clusterSizes {
		c := newTestCluster(b, n)
		c.fillWorkers(&Planner{}, runsPerWorker)
		raw := c.store.EncodeSnapshot()
		b.Run(fmt.Sprint("save/", n), func(b *testing.B) {
			for range b.N {
				raw = c.store.EncodeSnapshot()
			}
			b.ReportMetric(float64(len(raw)), "bytes")
		})
		b.Run(fmt.Sprint("freeze/", n), func(b *testing.B) {
			for range b.N {
				c.store.Snapshot()
			}
		})
		b.Run(fmt.Sprint("load/", n), func(b *testing.B) {
			for range b.N {
				if _, err := state.DecodeSnapshot(raw, state.Limits{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
