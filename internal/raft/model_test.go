package raft

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	modelSeed  = flag.Int64("model.seed", 1, "seed of the first walk")
	modelSeeds = flag.Int("model.seeds", defaultSeeds, "number of walks, with consecutive seeds")
	modelSteps = flag.Int("model.steps", 5000, "number of steps of each walk")
	modelTrace = flag.Bool("model.trace", false, "print the events of a failed walk")
	modelAll   = flag.Bool("model.all", false, "continue after a failed walk")
)

// TestModelWalks runs random walks and checks the invariants. A longer run:
//
//	go test ./internal/raft -run TestModelWalks -model.seeds 10000 -model.steps 20000
func TestModelWalks(t *testing.T) {
	sum := map[string]int{}
	failures, slowest := 0, time.Duration(0)
	for seed := *modelSeed; seed < *modelSeed+int64(*modelSeeds); seed++ {
		cluster := newModelCluster(seed, mutation{}, "")
		cluster.tracing = *modelTrace
		found := cluster.walk(*modelSteps)
		for kind, count := range cluster.counts {
			sum[kind] += count
		}
		sum["steps"] += cluster.step
		slowest = max(slowest, cluster.recovered)
		if found == nil {
			continue
		}
		for _, line := range cluster.trace {
			fmt.Println(line)
		}
		t.Errorf("seed %d: %v\nrepeat: go test ./internal/raft -run 'TestModelWalks$' -model.seed %d -model.seeds 1 -model.steps %d -model.trace",
			seed, found, seed, *modelSteps)
		if failures++; !*modelAll {
			break
		}
	}
	t.Logf("%v; slowest to recover: %v", sum, slowest)
	for _, kind := range []string{"leaders", "acks", "reads", "snapshots", "loads", "changes", "transfers", "disks lost"} {
		if sum[kind] == 0 && *modelSeeds >= 60 && failures == 0 {
			t.Errorf("no walk had any %s, so the walks do not cover them", kind)
		}
	}
}

// TestModelSameSeedSameWalk checks that walks are deterministic, so that a failure can be
// reproduced from its seed.
func TestModelSameSeedSameWalk(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		first, second := newModelCluster(seed, mutation{}, ""), newModelCluster(seed, mutation{}, "")
		first.walk(2000)
		second.walk(2000)
		if first.digest != second.digest || first.step != second.step {
			t.Errorf("seed %d: two walks with the same seed differ", seed)
		}
		if other := newModelCluster(seed+100, mutation{}, ""); other.walk(2000) == nil && other.digest == first.digest {
			t.Errorf("seeds %d and %d give the same walk", seed, seed+100)
		}
	}
}
