package raft

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	modelSeed  = flag.Int64("model.seed", 1, "first seed of the model's walks")
	modelSeeds = flag.Int("model.seeds", defaultSeeds, "number of seeds")
	modelSteps = flag.Int("model.steps", 5000, "steps of a walk")
	modelTrace = flag.Bool("model.trace", false, "print what happened in a walk that fails")
	modelAll   = flag.Bool("model.all", false, "go on after a seed that fails")
)

// TestModelWalks plays random walks. A longer run:
//
//	go test ./internal/raft -run TestModelWalks -model.seeds 10000 -model.steps 20000
func TestModelWalks(t *testing.T) {
	sum := map[string]int{}
	failures, slowest := 0, time.Duration(0)
	for seed := *modelSeed; seed < *modelSeed+int64(*modelSeeds); seed++ {
		world := newModelWorld(seed, mutation{}, "")
		world.tracing = *modelTrace
		found := world.walk(*modelSteps)
		for kind, count := range world.counts {
			sum[kind] += count
		}
		sum["steps"] += world.step
		slowest = max(slowest, world.recovered)
		if found == nil {
			continue
		}
		for _, line := range world.trace {
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
			t.Errorf("no walk had any %s: the walks don't try what they should", kind)
		}
	}
}

// TestModelSameSeedSameWalk: a failure can be repeated from its seed.
func TestModelSameSeedSameWalk(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		first, second := newModelWorld(seed, mutation{}, ""), newModelWorld(seed, mutation{}, "")
		first.walk(2000)
		second.walk(2000)
		if first.digest != second.digest || first.step != second.step {
			t.Errorf("seed %d: two walks differ", seed)
		}
		if other := newModelWorld(seed+100, mutation{}, ""); other.walk(2000) == nil && other.digest == first.digest {
			t.Errorf("seeds %d and %d: the same walk", seed, seed+100)
		}
	}
}
