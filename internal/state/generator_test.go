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

// commandGenerators has a generator for each registered command, and the weight with which
// it is chosen.
var commandGenerators = map[string]struct {
	weight   int
	generate func(g *generator) state.Command
}{
	state.CommandReplaceConfiguration: {2, func(g *generator) state.Command {
		return &state.ReplaceConfiguration{BaseVersion: g.store.Configuration.Version - int64(g.Intn(8)/7), Raw: g.configuration()}
	}},
	state.CommandChangeConfiguration: {2, func(g *generator) state.Command {
		g.version++
		raw := fmt.Sprintf(`{"configVersion":%d,"upsert":{"routeList":[{"name":"l%d","hostName":"h","pathPrefix":"/c%d/","timeoutMs":1000,"targetService":"s"}]},"remove":{"routeList":["l%d"]}}`,
			g.version, g.Intn(routeCount), g.Intn(routeCount), g.Intn(routeCount))
		return &state.ChangeConfiguration{BaseVersion: g.store.Configuration.Version - int64(g.Intn(8)/7), Raw: []byte(raw)}
	}},
	state.CommandSubmitJob: {6, func(g *generator) state.Command { return g.submission() }},
	state.CommandSubmitTenantJob: {8, func(g *generator) state.Command {
		return &state.SubmitTenantJob{
			Submit:        *g.submission(),
			Tenant:        fmt.Sprint("tenant", g.Intn(tenantCount)),
			ConfigVersion: g.store.Configuration.Version - int64(g.Intn(8)/7),
			BeyondShare:   g.Intn(3) == 0,
		}
	}},
	state.CommandApplyPlans: {20, func(g *generator) state.Command {
		c := &state.ApplyPlans{}
		for range 1 + g.Intn(3) {
			c.Plans = append(c.Plans, g.plan())
		}
		return c
	}},
	state.CommandReportCompletions: {16, func(g *generator) state.Command {
		a := g.allocation()
		w := g.store.Workers[a.Worker]
		if w == nil {
			w = &state.Worker{ID: a.Worker}
		}
		c := &state.ReportCompletions{Worker: w.ID, Fence: w.Fence - int64(g.Intn(12)/11)}
		for i := range 1 + g.Intn(2) {
			c.Completions = append(c.Completions, protocol.Completion{
				Sequence:   w.LastCompletion + int64(i) + 1,
				Task:       a.TaskName(),
				Run:        a.Run - g.Intn(12)/11,
				Result:     g.oneOf("done", "done", "done", "failed", "stopped", "refused", "lapsed", "crashed"),
				Checkpoint: g.oneOf("", "text"),
			})
			a = g.allocation()
		}
		if g.Intn(3) == 0 {
			c.Checkpoints = []protocol.RunProgress{{Task: a.TaskName(), Run: a.Run, Checkpoint: fmt.Sprint("s", g.Intn(9))}}
		}
		return c
	}},
	state.CommandSetEligibility: {3, func(g *generator) state.Command {
		return &state.SetEligibility{
			ID:         g.worker().ID,
			Draining:   g.Intn(4) == 0,
			LeavesInMs: int64(g.Intn(500) - 100),
			Leaving:    g.Intn(12) == 0,
			Unhealthy:  g.Intn(4) == 0,
		}
	}},
	state.CommandReportEligibility: {3, func(g *generator) state.Command {
		worker := g.worker()
		return &state.ReportEligibility{
			ID:         worker.ID,
			Fence:      worker.Fence - int64(g.Intn(8)/7),
			Number:     g.store.EligibilityReports[worker.ID] + int64(g.Intn(4)-1),
			Draining:   g.Intn(8) == 0,
			LeavesInMs: int64(g.Intn(500) - 100),
			Leaving:    g.Intn(12) == 0,
			Unhealthy:  g.Intn(4) == 0,
		}
	}},
	state.CommandExpireLeases: {1, func(g *generator) state.Command {
		a, b := g.worker(), g.worker()
		return &state.ExpireLeases{Workers: []state.FencedWorker{{ID: a.ID, Fence: a.Fence}, {ID: b.ID, Fence: b.Fence}}}
	}},
	state.CommandEvacuateZone: {2, func(g *generator) state.Command {
		zone := g.oneOf("z1", "z2")
		return &state.EvacuateZone{Zone: zone, Evacuated: g.Intn(3) == 0, BaseRevision: g.store.Evacuations[zone].Revision - int64(g.Intn(8)/7)}
	}},
	state.CommandRegisterWorker: {4, func(g *generator) state.Command {
		w, node := g.worker(), g.node()
		id := w.ID
		if g.Intn(3) == 0 || id == "none" {
			g.workers++
			id = fmt.Sprint("w", g.workers)
		} else {
			node = w.Node
		}
		return &state.RegisterWorker{
			ID:             id,
			Node:           node,
			AgentProcessID: fmt.Sprint(g.workers),
			Service:        g.oneOf("s", "s", "t"),
			Zone:           g.oneOf("z1", "z2"),
			Labels:         append(g.labels(), g.oneOf("r1", "r2")),
			Capacity:       protocol.Resources{CPUUnits: 200, MemoryMB: 200, GPUs: 2},
			Draining:       g.Intn(12) == 0,
			LeavesInMs:     int64(g.Intn(500) - 250),
		}
	}},
	state.CommandStopRuns: {2, func(g *generator) state.Command {
		return &state.StopRuns{Allocations: []uint64{g.allocation().ID, g.allocation().ID}, Reason: g.oneOf("pushed", "stuck")}
	}},
	state.CommandCollectGarbage: {2, func(g *generator) state.Command { return &state.CollectGarbage{RebuildUsage: g.Intn(2) == 0} }},
	state.CommandRemoveUnused:   {2, func(*generator) state.Command { return &state.RemoveUnused{} }},
	state.CommandCancelJob:      {1, func(g *generator) state.Command { return &state.CancelJob{ID: g.jobID()} }},
	state.CommandAcquireLock: {2, func(g *generator) state.Command {
		return &state.AcquireLock{Name: g.oneOf("l1", "l2"), Holder: g.oneOf("a", "b"), HoldMs: int64(g.Intn(400))}
	}},
	state.CommandRenewLock: {1, func(g *generator) state.Command {
		return &state.RenewLock{Name: g.oneOf("l1", "l2"), Holder: g.oneOf("a", "b"), Fence: int64(g.Intn(20)), HoldMs: int64(g.Intn(400))}
	}},
	state.CommandReleaseLock: {1, func(g *generator) state.Command {
		return &state.ReleaseLock{Name: g.oneOf("l1", "l2"), Holder: g.oneOf("a", "b"), Fence: int64(g.Intn(20))}
	}},
	state.CommandNextNumber: {1, func(g *generator) state.Command { return &state.NextNumber{Name: g.oneOf("n1", "n2")} }},
	state.CommandPutKey: {2, func(g *generator) state.Command {
		return &state.PutKey{Key: g.oneOf("g.a", "g.b", "h.a"), Value: fmt.Sprint(g.Intn(200)), Expected: int64(g.Intn(10)), HistoryMs: int64(g.Intn(2000))}
	}},
	state.CommandAppointAggregator: {1, func(g *generator) state.Command {
		z := g.oneOf("z1", "z2")
		return &state.AppointAggregator{
			Aggregator:   state.ZoneAggregator{Zone: z, Member: g.oneOf("a", "b"), Address: "x"},
			BaseRevision: g.store.Aggregators[z].Revision,
		}
	}},
	state.CommandRaiseFormat: {1, func(g *generator) state.Command {
		return &state.RaiseFormat{Version: g.format()}
	}},
	state.CommandSetLimits: {1, func(g *generator) state.Command {
		return &state.SetLimits{Limits: state.Limits{
			JobRetentionMs: int64(g.Intn(4) * 300),
			MaxReplans:     g.Intn(3),
			RemoteFactor:   1 + 2*g.Float64(),
		}}
	}},
	state.CommandConfirmDigest: {1, func(g *generator) state.Command {
		return &state.ConfirmDigest{Index: g.store.AppliedIndex, Digest: g.Uint64()}
	}},
	state.CommandSetEpoch: {1, func(g *generator) state.Command { return &state.SetEpoch{Epoch: g.oneOf("e1", "e2")} }},
	state.CommandOfferJob: {2, func(g *generator) state.Command { return &state.OfferJob{Job: g.jobID(), Peer: g.oneOf("p1", "p2")} }},
	state.CommandResolveTransfer: {3, func(g *generator) state.Command {
		id := g.jobID()
		peer, offerID := g.offer(id)
		return &state.ResolveTransfer{
			Job:     id,
			OfferID: offerID,
			Peer:    peer,
			Epoch:   g.oneOf("e", "e", "e", "e", "e", "f"),
			Index:   g.store.LastID,
			Answer:  g.oneOf("taken", "refused", "voided", "done", "failed", "called_off", "released"),
		}
	}},
	state.CommandLendCapacity: {1, func(g *generator) state.Command {
		return &state.LendCapacity{
			ID:            fmt.Sprint("loan", g.Intn(6)),
			Peer:          g.oneOf("p1", "p2"),
			Service:       g.oneOf("s", "t"),
			MilliCPU:      int64(g.Intn(100)),
			MinMilliCPU:   10,
			DurationMs:    int64(g.Intn(2000)),
			Slices:        6,
			SliceMilliCPU: 20,
		}
	}},
	state.CommandAcceptJob: {3, func(g *generator) state.Command {
		g.jobs++
		j := g.job()
		j.PeriodicInstances = 0
		c := &state.AcceptJob{
			Peer:    g.oneOf("p1", "p2"),
			OfferID: int64(1 + g.Intn(30)),
			ID:      g.jobID(),
			Route:   g.route(),
			Loan:    fmt.Sprint("loan", g.Intn(6)),
			Job:     j,
		}
		if l := g.store.Loans[c.Loan]; l != nil {
			c.Peer = l.Peer
		}
		return c
	}},
	state.CommandWithdrawOffer: {1, func(g *generator) state.Command {
		id := g.jobID()
		peer, offerID := g.offer(id)
		return &state.WithdrawOffer{Peer: peer, OfferID: offerID, ID: id, Cancel: g.Intn(2) == 0}
	}},
	state.CommandReleaseJob: {1, func(g *generator) state.Command {
		id := g.jobID()
		peer, offerID := g.offer(id)
		return &state.ReleaseJob{Peer: peer, OfferID: offerID, ID: id}
	}},
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
