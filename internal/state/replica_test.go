package state_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"sort"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
	_ "tealpond/internal/scheduler" // plans anew inside a command
	"tealpond/internal/state"
)

var replicaSeeds = flag.Int("replica.seeds", 40, "sequences of commands that the replicas are compared over")

// generator makes commands by lot, most of them sensible against the state that
// a leader would see.
type generator struct {
	*rand.Rand
	store   *state.Store
	version int64
	jobs    int
	workers int
}

const nodeCount, routeCount = 5, 3

func (g *generator) oneOf(of ...string) string { return of[g.Intn(len(of))] }

func (g *generator) jobID() string { return fmt.Sprintf("%016x", 1+g.Intn(g.jobs+2)) }

func (g *generator) node() string { return fmt.Sprint("n", g.Intn(nodeCount)) }

func (g *generator) route() string { return fmt.Sprint("l", g.Intn(routeCount+1)) }

// worker is one that the state knows, in the order of the names.
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

// allocation is a run that the state knows.
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
	var out protocol.Labels
	for _, l := range []string{"fast", "r1", "r2"} {
		if g.Intn(4) == 0 {
			out = append(out, l)
		}
	}
	return out
}

func (g *generator) job() protocol.Job {
	j := protocol.Job{Spec: fmt.Sprint("spec", g.Intn(100))}
	for i := range 1 + g.Intn(3) {
		st := protocol.Step{TaskCount: 1 + g.Intn(3), CPUUnits: int64(g.Intn(60)), MemoryMB: int64(g.Intn(40)), GPUs: g.Intn(8) / 7, EstimateMs: int64(g.Intn(500)),
			Checkpoints: g.Intn(2) == 0, Gang: g.Intn(3) == 0, SameRack: g.Intn(3) == 0, MaxPerWorker: g.Intn(3), Speculative: g.Intn(4) == 0, LongRunning: g.Intn(12) == 0}
		if g.Intn(5) == 0 {
			st.RequiredLabels = g.labels()
		}
		if g.Intn(3) == 0 {
			st.PreferredRack = g.oneOf("r1", "r2")
		}
		for d := range i {
			if g.Intn(2) == 0 {
				st.DependsOn = append(st.DependsOn, d)
			}
		}
		j.Steps = append(j.Steps, st)
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
		configuration.Routes = append(configuration.Routes, clusterconfig.Route{Name: fmt.Sprint("l", i), HostName: g.oneOf("h", "H2"), PathPrefix: fmt.Sprintf("/%s%d/", g.oneOf("p", "q"), i), Kind: "writing",
			TimeoutMs: 1000, TargetMs: int64(g.Intn(500)), Priority: g.Intn(3), TargetService: g.oneOf("s", "t"), MaxAttempts: g.Intn(3), Stretch: 1 + g.Float64()})
	}
	configuration.Services = []clusterconfig.Service{{Name: "s", EnforcesResources: true}, {Name: "t"}}
	raw, err := json.Marshal(configuration)
	if err != nil {
		panic(err)
	}
	if configuration.Version > g.version {
		g.version = configuration.Version
	}
	return raw
}

// plan places the tasks of a step on workers by lot: often on an old view.
func (g *generator) plan() state.Plan {
	var ids []string
	for id, j := range g.store.Jobs {
		if j.EndedAt == 0 && len(j.Instances) > 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return state.Plan{Job: "none"}
	}
	sort.Strings(ids)
	j := g.store.Jobs[ids[g.Intn(len(ids))]]
	step := g.Intn(len(j.Steps))
	p := state.Plan{Job: j.ID, Instance: g.Intn(len(j.Instances)), Step: step, AllOrNothing: j.IsGang(step)}
	for x := range j.Steps[step].TaskCount {
		w := g.worker()
		p.Placements = append(p.Placements, state.Placement{TaskIndex: x, Worker: w.ID, WorkerVersion: w.Version - uint64(g.Intn(4)/3)})
		if j.Steps[step].Speculative && g.Intn(2) == 0 {
			o := g.worker()
			p.Placements = append(p.Placements, state.Placement{TaskIndex: x, Copy: 1, Worker: o.ID, WorkerVersion: o.Version})
		}
	}
	return p
}

func (g *generator) offer(job string) (string, int64) {
	if j := g.store.Jobs[job]; j != nil && j.Transfer.OfferID > 0 && g.Intn(5) > 0 {
		return j.Transfer.Peer, j.Transfer.OfferID
	}
	return g.oneOf("p1", "p2"), int64(g.Intn(30))
}

// commandMakers has a maker for each registered command; the number is how often it
// comes by.
var commandMakers = map[string]struct {
	often int
	make  func(g *generator) state.Command
}{
	"replace": {2, func(g *generator) state.Command {
		return &state.ReplaceConfiguration{BaseVersion: g.store.Configuration.Version - int64(g.Intn(8)/7), Raw: g.configuration()}
	}},
	"handin": {10, func(g *generator) state.Command {
		g.jobs++
		c := &state.SubmitJob{Host: g.oneOf("h", "h", "h2"), Path: fmt.Sprintf("/%s%d/x", g.oneOf("p", "q"), g.Intn(routeCount)), ID: g.jobID(), Job: g.job()}
		if g.Intn(2) == 0 {
			c.DemandBucket = g.store.WallClock / 100
		}
		return c
	}},
	"book": {20, func(g *generator) state.Command {
		c := &state.ApplyPlans{}
		for range 1 + g.Intn(3) {
			c.Plans = append(c.Plans, g.plan())
		}
		return c
	}},
	"ends": {16, func(g *generator) state.Command {
		a := g.allocation()
		w := g.store.Workers[a.Worker]
		if w == nil {
			w = &state.Worker{ID: a.Worker}
		}
		c := &state.ReportCompletions{Worker: w.ID, Fence: w.Fence - int64(g.Intn(12)/11)}
		for i := range 1 + g.Intn(2) {
			c.Completions = append(c.Completions, protocol.Completion{Sequence: w.LastCompletion + int64(i) + 1, Task: a.TaskName(), Run: a.Run - g.Intn(12)/11,
				Result: g.oneOf("done", "done", "done", "failed", "stopped", "refused", "lapsed", "crashed"), Checkpoint: g.oneOf("", "text")})
			a = g.allocation()
		}
		if g.Intn(3) == 0 {
			c.Checkpoints = []protocol.RunProgress{{Task: a.TaskName(), Run: a.Run, Checkpoint: fmt.Sprint("s", g.Intn(9))}}
		}
		return c
	}},
	"eligible": {3, func(g *generator) state.Command {
		return &state.SetEligibility{ID: g.worker().ID, Draining: g.Intn(4) == 0, LeavesInMs: int64(g.Intn(500) - 100), Leaving: g.Intn(12) == 0, Unhealthy: g.Intn(4) == 0}
	}},
	"lapse": {1, func(g *generator) state.Command {
		a, b := g.worker(), g.worker()
		return &state.ExpireLeases{Workers: []state.FencedWorker{{ID: a.ID, Fence: a.Fence}, {ID: b.ID, Fence: b.Fence}}}
	}},
	"takeup": {4, func(g *generator) state.Command {
		w, node := g.worker(), g.node()
		id := w.ID
		if g.Intn(3) == 0 || id == "none" {
			g.workers++
			id = fmt.Sprint("w", g.workers)
		} else {
			node = w.Node
		}
		return &state.RegisterWorker{ID: id, Node: node, AgentProcess: fmt.Sprint(g.workers), Service: g.oneOf("s", "s", "t"), Zone: g.oneOf("z1", "z2"), Labels: append(g.labels(), g.oneOf("r1", "r2")),
			Capacity: protocol.Resources{CPUUnits: 200, MemoryMB: 200, GPUs: 2}, Draining: g.Intn(12) == 0, LeavesInMs: int64(g.Intn(500) - 250)}
	}},
	"halt": {2, func(g *generator) state.Command {
		return &state.StopRuns{Allocations: []uint64{g.allocation().ID, g.allocation().ID}, Reason: g.oneOf("pushed", "stuck")}
	}},
	"sweep":  {2, func(g *generator) state.Command { return &state.CollectGarbage{RebuildRollups: g.Intn(2) == 0} }},
	"cancel": {1, func(g *generator) state.Command { return &state.CancelJob{ID: g.jobID()} }},
	"appoint": {1, func(g *generator) state.Command {
		z := g.oneOf("z1", "z2")
		return &state.AppointAggregator{Aggregator: state.ZoneAggregator{Zone: z, Member: g.oneOf("a", "b"), Address: "x"}, BaseRevision: g.store.Aggregators[z].Revision}
	}},
	"limits": {1, func(g *generator) state.Command {
		return &state.SetLimits{Limits: state.Limits{JobRetentionMs: int64(g.Intn(4) * 300), MaxReplans: g.Intn(3), RemoteFactor: 1 + 2*g.Float64()}}
	}},
	"agree": {1, func(g *generator) state.Command {
		return &state.ConfirmDigest{Index: g.store.AppliedIndex, Digest: g.Uint64()}
	}},
	"mint":  {1, func(g *generator) state.Command { return &state.SetEpoch{Epoch: g.oneOf("e1", "e2")} }},
	"offer": {2, func(g *generator) state.Command { return &state.OfferJob{Job: g.jobID(), Peer: g.oneOf("p1", "p2")} }},
	"settle": {3, func(g *generator) state.Command {
		id := g.jobID()
		p, no := g.offer(id)
		return &state.SettleTransfer{Job: id, OfferID: no, Peer: p, Epoch: g.oneOf("e", "e", "e", "e", "e", "f"), Index: g.store.LastID, Answer: g.oneOf("taken", "refused", "voided", "done", "failed", "called_off", "released")}
	}},
	"lend": {1, func(g *generator) state.Command {
		return &state.LendCapacity{ID: fmt.Sprint("loan", g.Intn(6)), Peer: g.oneOf("p1", "p2"), Service: g.oneOf("s", "t"), MilliCPU: int64(g.Intn(100)), MinMilliCPU: 10, DurationMs: int64(g.Intn(2000)), Slices: 6, SliceMilliCPU: 20}
	}},
	"accept": {3, func(g *generator) state.Command {
		g.jobs++
		j := g.job()
		j.PeriodicInstances = 0
		c := &state.AcceptJob{Peer: g.oneOf("p1", "p2"), OfferID: int64(1 + g.Intn(30)), ID: g.jobID(), Route: g.route(), Loan: fmt.Sprint("loan", g.Intn(6)), Job: j}
		if l := g.store.Loans[c.Loan]; l != nil {
			c.Peer = l.Peer
		}
		return c
	}},
	"void": {1, func(g *generator) state.Command {
		id := g.jobID()
		p, no := g.offer(id)
		return &state.VoidOffer{Peer: p, OfferID: no, ID: id, Cancel: g.Intn(2) == 0}
	}},
	"release": {1, func(g *generator) state.Command {
		id := g.jobID()
		p, no := g.offer(id)
		return &state.ReleaseJob{Peer: p, OfferID: no, ID: id}
	}},
}

// entry makes one entry of the log, of some commands.
func (g *generator) entry(clock, wall int64, count map[string]int) []byte {
	var lot []string
	for _, k := range state.CommandNames() {
		for range commandMakers[k].often {
			lot = append(lot, k)
		}
	}
	sort.Strings(lot)
	b := state.Batch{Clock: clock, WallClock: wall}
	for range 1 + g.Intn(4) {
		k := g.oneOf(lot...)
		count[k]++
		b.Commands = append(b.Commands, state.EncodeCommand(k, commandMakers[k].make(g)))
	}
	raw, err := cbor.Marshal(b)
	if err != nil {
		panic(err)
	}
	return raw
}

// replica is a copy of the state; its settings are its own.
type replica struct {
	store  *state.Store
	limits state.Limits
}

// reload goes on from a snapshot of the state, as after a restart.
func (r *replica) reload(t *testing.T, from []byte) {
	t.Helper()
	s, err := state.DecodeSnapshot(from, r.limits)
	if err != nil {
		t.Fatal(err)
	}
	if again := s.EncodeSnapshot(); !bytes.Equal(again, from) {
		t.Fatalf("at %d: saved, loaded and saved again gives another state:\n%s", s.AppliedIndex, difference(from, again))
	}
	r.store = s
}

// difference names the tables and rows of two snapshots that are unlike.
func difference(a, b []byte) string {
	var left, right map[string]any
	if cbor.Unmarshal(a, &left) != nil || cbor.Unmarshal(b, &right) != nil {
		return "unreadable"
	}
	out := ""
	for k := range left {
		if reflect.DeepEqual(left[k], right[k]) {
			continue
		}
		out += k + ": "
		m, ok := left[k].(map[any]any)
		n, ok2 := right[k].(map[any]any)
		if !ok || !ok2 {
			out += fmt.Sprintf("%v, %v\n", left[k], right[k])
			continue
		}
		for i := range m {
			if !reflect.DeepEqual(m[i], n[i]) {
				out += fmt.Sprintf("%v: %v, %v\n", i, m[i], n[i])
			}
		}
		for i := range n {
			if _, ok := m[i]; !ok {
				out += fmt.Sprintf("%v: missing, %v\n", i, n[i])
			}
		}
	}
	return out
}

// TestReplicasStayEqual drives replicas with the same log: one that applies all
// of it, one that now and then goes on from its own snapshot, one that does so
// from the first one's. Their settings differ. Outcomes and states must be
// equal, byte for byte, and so must a frozen state and that which it was.
func TestReplicasStayEqual(t *testing.T) {
	for _, k := range state.CommandNames() {
		if commandMakers[k].often == 0 {
			t.Errorf("no maker for the command %q: add one", k)
		}
	}
	count, codes := map[string]int{}, map[state.Code]int{}
	for seed := range int64(*replicaSeeds) {
		g := &generator{Rand: rand.New(rand.NewSource(seed))}
		replicas := []*replica{{limits: state.Limits{}}, {limits: state.Limits{JobRetentionMs: 1, MaxReplans: 1, RemoteFactor: 2}}, {limits: state.Limits{JobRetentionMs: 1000, RemoteFactor: 9}}}
		for _, r := range replicas {
			r.store = state.New(state.Limits{})
		}
		clock, wall := int64(1), int64(1000000)
		var was []byte
		frozen := make(chan []byte, 1)
		for i := range 300 {
			g.store = replicas[0].store
			if i%20 == 0 {
				// Encoded beside the commands that follow.
				f := g.store.Snapshot()
				was = g.store.EncodeSnapshot()
				go func() { frozen <- f.Encode() }()
			}
			clock += int64(g.Intn(40))
			wall += int64(g.Intn(60) - 10)
			raw := g.entry(clock, wall, count)
			var first []state.Outcome
			for n, r := range replicas {
				out := r.store.ApplyEntry(r.store.AppliedIndex+1, raw)
				if n == 0 {
					first = out
					for _, o := range out {
						codes[o.Code]++
					}
				} else if !reflect.DeepEqual(out, first) {
					t.Fatalf("seed %d, entry %d: outcomes %v and %v", seed, i, first, out)
				}
			}
			if i%20 == 19 {
				if f := <-frozen; !bytes.Equal(f, was) {
					t.Fatalf("seed %d, entry %d: a frozen state changed:\n%s", seed, i, difference(was, f))
				}
			}
			if i%20 == 19 || i > 280 {
				save := replicas[0].store.EncodeSnapshot()
				for _, r := range replicas[1:] {
					if other := r.store.EncodeSnapshot(); !bytes.Equal(save, other) {
						t.Fatalf("seed %d, entry %d: states differ:\n%s", seed, i, difference(save, other))
					}
				}
				if g.Intn(3) == 0 {
					replicas[1].reload(t, replicas[1].store.EncodeSnapshot())
				}
				if g.Intn(3) == 0 {
					replicas[2].reload(t, save)
				}
			}
		}
	}
	t.Logf("commands %v, outcomes %v", count, codes)
	for _, k := range state.CommandNames() {
		if count[k] == 0 {
			t.Errorf("%s never came by", k)
		}
	}
}

// TestSnapshotCopiesEachTable: a table added to the state must be frozen too.
func TestSnapshotCopiesEachTable(t *testing.T) {
	s := state.New(state.Limits{})
	fillTables(reflect.ValueOf(s).Elem())
	checkNotShared(t, "", reflect.ValueOf(s).Elem(), reflect.ValueOf(state.SnapshotStore(s.Snapshot())).Elem())
}

// fillTables puts something into each table and list of a part of the state.
func fillTables(v reflect.Value) {
	for i := range v.NumField() {
		switch f := v.Field(i); {
		case !f.CanSet():
		case f.Kind() == reflect.Map:
			f.Set(reflect.MakeMap(f.Type()))
		case f.Kind() == reflect.Slice:
			f.Set(reflect.MakeSlice(f.Type(), 1, 1))
		case f.Kind() == reflect.Struct:
			fillTables(f)
		}
	}
}

// checkNotShared finds what a state and its frozen copy both write to.
func checkNotShared(t *testing.T, at string, v, frozen reflect.Value) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		// A configuration in force is replaced whole, never written. It is known by
		// the name under which it is stored.
		if !f.IsExported() || f.Tag.Get("cbor") == "Desired" {
			continue
		}
		switch f.Type.Kind() {
		case reflect.Map, reflect.Slice:
			if v.Field(i).Pointer() == frozen.Field(i).Pointer() {
				t.Errorf("%s%s is shared with the frozen state: copy it in Freeze", at, f.Name)
			}
		case reflect.Struct:
			checkNotShared(t, at+f.Name+".", v.Field(i), frozen.Field(i))
		case reflect.Pointer:
			t.Errorf("%s%s: say in Freeze and here how it is copied", at, f.Name)
		}
	}
}
