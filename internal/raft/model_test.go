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
	failed, slowest := 0, time.Duration(0)
	for seed := *modelSeed; seed < *modelSeed+int64(*modelSeeds); seed++ {
		w := newModelWorld(seed, mutation{}, "")
		w.tracing = *modelTrace
		f := w.walk(*modelSteps)
		for k, v := range w.counts {
			sum[k] += v
		}
		sum["steps"] += w.step
		slowest = max(slowest, w.recovered)
		if f == nil {
			continue
		}
		for _, l := range w.trace {
			fmt.Println(l)
		}
		t.Errorf("seed %d: %v\nrepeat: go test ./internal/raft -run 'TestModelWalks$' -model.seed %d -model.seeds 1 -model.steps %d -model.trace",
			seed, f, seed, *modelSteps)
		if failed++; !*modelAll {
			break
		}
	}
	t.Logf("%v; slowest to recover: %v", sum, slowest)
	for _, k := range []string{"leaders", "acks", "reads", "snapshots", "loads", "changes", "transfers", "disks lost"} {
		if sum[k] == 0 && *modelSeeds >= 60 && failed == 0 {
			t.Errorf("no walk had any %s: the walks don't try what they should", k)
		}
	}
}

// TestModelSameSeedSameWalk: a failure can be repeated from its seed.
func TestModelSameSeedSameWalk(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		a, b := newModelWorld(seed, mutation{}, ""), newModelWorld(seed, mutation{}, "")
		a.walk(2000)
		b.walk(2000)
		if a.digest != b.digest || a.step != b.step {
			t.Errorf("seed %d: two walks differ", seed)
		}
		if c := newModelWorld(seed+100, mutation{}, ""); c.walk(2000) == nil && c.digest == a.digest {
			t.Errorf("seeds %d and %d: the same walk", seed, seed+100)
		}
	}
}
