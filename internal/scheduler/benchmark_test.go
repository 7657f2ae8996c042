package scheduler

import (
	"fmt"
	"testing"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// clusterSizes are numbers of workers.
var clusterSizes = []int{50, 500, 4000}

// runsPerWorker is the number of runs on each worker of a full cluster.
const runsPerWorker = 14.5

// benchmarkSizes runs a benchmark on full clusters of all sizes.
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

// BenchmarkPlanAndBind: a task completes and one of a new job is planned and bound; time
// of one task.
func BenchmarkPlanAndBind(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, c *testCluster, p *Planner) {
		b.ResetTimer()
		for i := 0; i < b.N; i += 22 {
			for range 22 {
				c.complete(c.anyAllocation())
			}
			c.submit("/p/", protocol.Step{TaskCount: 22, CPUUnits: 800, MemoryMB: 900, EstimateMs: 40000})
			if c.planAndBind(p) == 0 {
				b.Fatal("nothing was placed")
			}
		}
	})
}

// BenchmarkIdleRound: a plan when nothing is new.
func BenchmarkIdleRound(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, c *testCluster, p *Planner) {
		p.Plan(c.store)
		b.ResetTimer()
		for range b.N {
			p.Plan(c.store)
		}
	})
}

// BenchmarkSnapshot: the whole state is encoded and read back.
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
