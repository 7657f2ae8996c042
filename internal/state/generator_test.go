package state_test

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"sort"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// generator generates random commands. Most of them are plausible for the current state,
// like those of a leader.
type generator struct {
	*rand.Rand
	store   *state.Store
	version int64
	jobs    int
	workers int
}

const nodeCount, routeCount, tenantCount = 5, 3, 3

func (g *generator) oneOf(choices ...string) string { return choices[g.Intn(len(choices))] }

// format returns a format of the state that this program supports.
func (g *generator) format() int {
	return state.FormatUnmarked + g.Intn(state.FormatVersion-state.FormatUnmarked+1)
}

func (g *generator) jobID() string { return fmt.Sprintf("%016x", 1+g.Intn(g.jobs+2)) }

func (g *generator) node() string { return fmt.Sprint("n", g.Intn(nodeCount)) }

func (g *generator) route() string { return fmt.Sprint("l", g.Intn(routeCount+1)) }

// worker returns a random worker of the state, rarely a dead one.
func (g *generator) worker() *state.Worker {
	var ids []string
	for id, w := range g.store.Workers {
		if !w.Dead || g.Intn(10) == 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return &state.Worker{ID: "none"}
	}
	sort.Strings(ids)
	return g.store.Workers[ids[g.Intn(len(ids))]]
}

// allocation returns a random allocation of the state.
func (g *generator) allocation() *state.Allocation {
	var ids []uint64
	for id := range g.store.Allocations {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return &state.Allocation{ID: 1, Job: "none", Worker: "none"}
	}
	slices.Sort(ids)
	return g.store.Allocations[ids[g.Intn(len(ids))]]
}

func (g *generator) labels() protocol.Labels {
	var chosen protocol.Labels
	for _, label := range []string{"fast", "r1", "r2"} {
		if g.Intn(4) == 0 {
			chosen = append(chosen, label)
		}
	}
	return chosen
}

func (g *generator) job() protocol.Job {
	j := protocol.Job{Spec: fmt.Sprint("spec", g.Intn(100))}
	for i := range 1 + g.Intn(3) {
		step := protocol.Step{
			TaskCount:    1 + g.Intn(3),
			CPUUnits:     int64(g.Intn(60)),
			MemoryMB:     int64(g.Intn(40)),
			GPUs:         g.Intn(8) / 7,
			EstimateMs:   int64(g.Intn(500)),
			Checkpoints:  g.Intn(2) == 0,
			Gang:         g.Intn(3) == 0,
			SameRack:     g.Intn(3) == 0,
			MaxPerWorker: g.Intn(3),
			Speculative:  g.Intn(4) == 0,
			LongRunning:  g.Intn(12) == 0,
		}
		if g.Intn(5) == 0 {
			step.RequiredLabels = g.labels()
		}
		if g.Intn(3) == 0 {
			step.PreferredRack = g.oneOf("r1", "r2")
		}
		for d := range i {
			if g.Intn(2) == 0 {
				step.DependsOn = append(step.DependsOn, d)
			}
		}
		j.Steps = append(j.Steps, step)
	}
	if g.Intn(6) == 0 {
		j.PeriodicInstances, j.FirstRunMs, j.IntervalMs = 1+g.Intn(4), g.store.WallClock+int64(g.Intn(500)), int64(1+g.Intn(300))
	}
	return j
}

func (g *generator) configuration() []byte {
	configuration := clusterconfig.Config{Version: g.version + int64(g.Intn(3))}
	for i := range routeCount {
		if g.Intn(6) == 0 {
			continue
		}
		route := clusterconfig.Route{
			Name:          fmt.Sprint("l", i),
			HostName:      g.oneOf("h", "H2"),
			PathPrefix:    fmt.Sprintf("/%s%d/", g.oneOf("p", "q"), i),
			Kind:          "writing",
			TimeoutMs:     1000,
			TargetMs:      int64(g.Intn(500)),
			Priority:      g.Intn(3),
			TargetService: g.oneOf("s", "t"),
			MaxAttempts:   g.Intn(3),
			Stretch:       1 + g.Float64(),
		}
		if g.Intn(3) == 0 {
			route.Split = []clusterconfig.SplitPart{{TargetService: "s", Share: float64(1 + g.Intn(3))}, {TargetService: "t", Share: float64(g.Intn(3))}}
			route.TargetService = g.oneOf("", "s")
		}
		configuration.Routes = append(configuration.Routes, route)
	}
	configuration.Services = []clusterconfig.Service{{Name: "s", EnforcesResources: true}, {Name: "t"}}
	text := struct {
		clusterconfig.Config
		Tenants []clusterconfig.Tenant `json:"tenantList,omitempty"`
	}{Config: configuration}
	if g.Intn(2) == 0 {
		for i := range tenantCount {
			name := fmt.Sprint("tenant", i)
			text.Tenants = append(text.Tenants, clusterconfig.Tenant{Name: name, APIKeys: []string{"key-" + name}, Share: 3 * g.Float64(),
				UpperLimit: clusterconfig.UpperLimit{CPUUnits: int64(g.Intn(200)), MemoryMB: int64(g.Intn(200)), GPUs: g.Intn(3)}})
		}
	}
	raw, err := json.Marshal(text)
	if err != nil {
		panic(err)
	}
	if configuration.Version > g.version {
		g.version = configuration.Version
	}
	return raw
}

// submission returns a client's submission of a random job.
func (g *generator) submission() *state.SubmitJob {
	g.jobs++
	c := &state.SubmitJob{
		Host: g.oneOf("h", "h", "h2"),
		Path: fmt.Sprintf("/%s%d/x", g.oneOf("p", "q"), g.Intn(routeCount)),
		ID:   g.jobID(),
		Job:  g.job(),
	}
	if g.Intn(2) == 0 {
		c.DemandBucket = g.store.WallClock / 100
	}
	return c
}

// plan returns a plan that places the tasks of a step on random workers, some of them on an
// outdated worker version.
func (g *generator) plan() state.Plan {
	var ids []string
	for id, job := range g.store.Jobs {
		if job.EndedAt == 0 && len(job.Instances) > 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return state.Plan{Job: "none"}
	}
	sort.Strings(ids)
	job := g.store.Jobs[ids[g.Intn(len(ids))]]
	step := g.Intn(len(job.Steps))
	p := state.Plan{Job: job.ID, Instance: g.Intn(len(job.Instances)), Step: step, AllOrNothing: job.IsGang(step)}
	for index := range job.Steps[step].TaskCount {
		w := g.worker()
		p.Placements = append(p.Placements, state.Placement{TaskIndex: index, Worker: w.ID, WorkerVersion: w.Version - uint64(g.Intn(4)/3)})
		if job.Steps[step].Speculative && g.Intn(2) == 0 {
			o := g.worker()
			p.Placements = append(p.Placements, state.Placement{TaskIndex: index, Copy: 1, Worker: o.ID, WorkerVersion: o.Version})
		}
	}
	return p
}

// offer returns the peer and the offer ID of a job's transfer, or rarely random ones.
func (g *generator) offer(job string) (string, int64) {
	if record := g.store.Jobs[job]; record != nil && record.Transfer.OfferID > 0 && g.Intn(5) > 0 {
		return record.Transfer.Peer, record.Transfer.OfferID
	}
	return g.oneOf("p1", "p2"), int64(g.Intn(30))
}

// entryWithout returns a log entry with random commands other than the one that is excluded.
func (g *generator) entryWithout(excluded string, clock int64) []byte {
	names := slices.DeleteFunc(state.CommandNames(), func(name string) bool { return name == excluded })
	return g.entryOf(names, clock, clock, map[string]int{})
}

// entry returns a log entry with one to four random commands, and counts them by name.
func (g *generator) entry(clock, wall int64, counts map[string]int) []byte {
	return g.entryOf(state.CommandNames(), clock, wall, counts)
}

// entryOf is entry with only the named commands.
func (g *generator) entryOf(names []string, clock, wall int64, counts map[string]int) []byte {
	var weighted []string
	for _, name := range names {
		for range commandGenerators[name].weight {
			weighted = append(weighted, name)
		}
	}
	sort.Strings(weighted)
	batch := state.Batch{Clock: clock, WallClock: wall}
	for range 1 + g.Intn(4) {
		name := g.oneOf(weighted...)
		counts[name]++
		batch.Commands = append(batch.Commands, state.EncodeCommand(name, commandGenerators[name].generate(g)))
	}
	raw, err := cbor.Marshal(batch)
	if err != nil {
		panic(err)
	}
	return raw
}
