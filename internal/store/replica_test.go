package store_test

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
	_ "tealpond/internal/place" // plans anew inside a command
	"tealpond/internal/protocol"
	"tealpond/internal/store"
)

var replicaSeeds = flag.Int("replica.seeds", 40, "sequences of commands that the replicas are compared over")

// generator makes commands by lot, most of them sensible against the state that
// a leader would see.
type generator struct {
	*rand.Rand
	s       *store.Store
	version int64
	jobs    int
	lives   int
}

const nodes, lanes = 5, 3

func (g *generator) one(of ...string) string { return of[g.Intn(len(of))] }

func (g *generator) id() string { return fmt.Sprintf("%016x", 1+g.Intn(g.jobs+2)) }

func (g *generator) node() string { return fmt.Sprint("n", g.Intn(nodes)) }

func (g *generator) lane() string { return fmt.Sprint("l", g.Intn(lanes+1)) }

// worker is one that the state knows, in the order of the names.
func (g *generator) worker() *store.Worker {
	var ids []string
	for id, w := range g.s.Workers {
		if !w.Dead || g.Intn(10) == 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return &store.Worker{ID: "none"}
	}
	sort.Strings(ids)
	return g.s.Workers[ids[g.Intn(len(ids))]]
}

// alloc is a run that the state knows.
func (g *generator) alloc() *store.Alloc {
	var ids []uint64
	for id := range g.s.Allocs {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return &store.Alloc{ID: 1, Job: "none", Worker: "none"}
	}
	slices.Sort(ids)
	return g.s.Allocs[ids[g.Intn(len(ids))]]
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
			st.PreferredRack = g.one("r1", "r2")
		}
		for d := range i {
			if g.Intn(2) == 0 {
				st.DependsOn = append(st.DependsOn, d)
			}
		}
		j.Steps = append(j.Steps, st)
	}
	if g.Intn(6) == 0 {
		j.PeriodicInstances, j.FirstRunMs, j.IntervalMs = 1+g.Intn(4), g.s.Wall+int64(g.Intn(500)), int64(1+g.Intn(300))
	}
	return j
}

func (g *generator) desired() []byte {
	st := clusterconfig.Config{Version: g.version + int64(g.Intn(3))}
	for i := range lanes {
		if g.Intn(6) == 0 {
			continue
		}
		st.Routes = append(st.Routes, clusterconfig.Route{Name: fmt.Sprint("l", i), HostName: g.one("h", "H2"), PathPrefix: fmt.Sprintf("/%s%d/", g.one("p", "q"), i), Kind: "writing",
			TimeoutMs: 1000, TargetMs: int64(g.Intn(500)), Priority: g.Intn(3), TargetService: g.one("s", "t"), MaxAttempts: g.Intn(3), Stretch: 1 + g.Float64()})
	}
	st.Services = []clusterconfig.Service{{Name: "s", EnforcesResources: true}, {Name: "t"}}
	raw, err := json.Marshal(st)
	if err != nil {
		panic(err)
	}
	if st.Version > g.version {
		g.version = st.Version
	}
	return raw
}

// plan places the tasks of a step on workers by lot: often on an old view.
func (g *generator) plan() store.Plan {
	var ids []string
	for id, j := range g.s.Jobs {
		if j.EndedAt == 0 && len(j.Insts) > 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return store.Plan{Job: "none"}
	}
	sort.Strings(ids)
	j := g.s.Jobs[ids[g.Intn(len(ids))]]
	step := g.Intn(len(j.Steps))
	p := store.Plan{Job: j.ID, K: g.Intn(len(j.Insts)), Step: step, Whole: j.Gang(step)}
	for x := range j.Steps[step].TaskCount {
		w := g.worker()
		p.Items = append(p.Items, store.Item{Index: x, Worker: w.ID, Ver: w.Ver - uint64(g.Intn(4)/3)})
		if j.Steps[step].Speculative && g.Intn(2) == 0 {
			o := g.worker()
			p.Items = append(p.Items, store.Item{Index: x, Copy: 1, Worker: o.ID, Ver: o.Ver})
		}
	}
	return p
}

func (g *generator) move(job string) (string, int64) {
	if j := g.s.Jobs[job]; j != nil && j.Move.No > 0 && g.Intn(5) > 0 {
		return j.Move.Peer, j.Move.No
	}
	return g.one("p1", "p2"), int64(g.Intn(30))
}

// makers has a maker for each registered command; the number is how often it
// comes by.
var makers = map[string]struct {
	often int
	make  func(g *generator) store.Cmd
}{
	"replace": {2, func(g *generator) store.Cmd {
		return &store.Replace{Base: g.s.Desired.Version - int64(g.Intn(8)/7), Raw: g.desired()}
	}},
	"handin": {10, func(g *generator) store.Cmd {
		g.jobs++
		c := &store.HandIn{Host: g.one("h", "h", "h2"), Path: fmt.Sprintf("/%s%d/x", g.one("p", "q"), g.Intn(lanes)), ID: g.id(), Job: g.job()}
		if g.Intn(2) == 0 {
			c.Bucket = g.s.Wall / 100
		}
		return c
	}},
	"book": {20, func(g *generator) store.Cmd {
		c := &store.Book{}
		for range 1 + g.Intn(3) {
			c.Plans = append(c.Plans, g.plan())
		}
		return c
	}},
	"ends": {16, func(g *generator) store.Cmd {
		a := g.alloc()
		w := g.s.Workers[a.Worker]
		if w == nil {
			w = &store.Worker{ID: a.Worker}
		}
		c := &store.Ends{Worker: w.ID, Fence: w.Fence - int64(g.Intn(12)/11)}
		for i := range 1 + g.Intn(2) {
			c.Ends = append(c.Ends, protocol.Completion{Sequence: w.Seen + int64(i) + 1, Task: a.Task(), Run: a.Run - g.Intn(12)/11,
				Result: g.one("done", "done", "done", "failed", "stopped", "refused", "lapsed", "crashed"), Checkpoint: g.one("", "text")})
			a = g.alloc()
		}
		if g.Intn(3) == 0 {
			c.Saved = []protocol.RunProgress{{Task: a.Task(), Run: a.Run, Checkpoint: fmt.Sprint("s", g.Intn(9))}}
		}
		return c
	}},
	"eligible": {3, func(g *generator) store.Cmd {
		return &store.Eligible{ID: g.worker().ID, Draining: g.Intn(4) == 0, LeavesIn: int64(g.Intn(500) - 100), Gone: g.Intn(12) == 0, Sick: g.Intn(4) == 0}
	}},
	"lapse": {1, func(g *generator) store.Cmd {
		a, b := g.worker(), g.worker()
		return &store.Lapse{Workers: []store.Fenced{{ID: a.ID, Fence: a.Fence}, {ID: b.ID, Fence: b.Fence}}}
	}},
	"takeup": {4, func(g *generator) store.Cmd {
		w, node := g.worker(), g.node()
		id := w.ID
		if g.Intn(3) == 0 || id == "none" {
			g.lives++
			id = fmt.Sprint("w", g.lives)
		} else {
			node = w.Node
		}
		return &store.TakeUp{ID: id, Node: node, Life: fmt.Sprint(g.lives), Service: g.one("s", "s", "t"), Zone: g.one("z1", "z2"), Labels: append(g.labels(), g.one("r1", "r2")),
			Room: protocol.Resources{CPUUnits: 200, MemoryMB: 200, GPUs: 2}, Draining: g.Intn(12) == 0, LeavesIn: int64(g.Intn(500) - 250)}
	}},
	"halt": {2, func(g *generator) store.Cmd {
		return &store.Halt{Allocs: []uint64{g.alloc().ID, g.alloc().ID}, Why: g.one("pushed", "stuck")}
	}},
	"sweep":  {2, func(g *generator) store.Cmd { return &store.Sweep{Rebuild: g.Intn(2) == 0} }},
	"cancel": {1, func(g *generator) store.Cmd { return &store.Cancel{ID: g.id()} }},
	"appoint": {1, func(g *generator) store.Cmd {
		z := g.one("z1", "z2")
		return &store.Appoint{Duty: store.Duty{Zone: z, Disk: g.one("a", "b"), Addr: "x"}, Base: g.s.Duties[z].No}
	}},
	"limits": {1, func(g *generator) store.Cmd {
		return &store.SetLimits{Limits: store.Limits{KeepJobMs: int64(g.Intn(4) * 300), Replans: g.Intn(3), Far: 1 + 2*g.Float64()}}
	}},
	"agree": {1, func(g *generator) store.Cmd { return &store.Agree{Index: g.s.Applied, Sum: g.Uint64()} }},
	"mint":  {1, func(g *generator) store.Cmd { return &store.Mint{Epoch: g.one("e1", "e2")} }},
	"offer": {2, func(g *generator) store.Cmd { return &store.Offer{Job: g.id(), Peer: g.one("p1", "p2")} }},
	"settle": {3, func(g *generator) store.Cmd {
		id := g.id()
		p, no := g.move(id)
		return &store.SettleMove{Job: id, No: no, Peer: p, Epoch: g.one("e", "e", "e", "e", "e", "f"), Index: g.s.Last, What: g.one("taken", "refused", "voided", "done", "failed", "called_off", "released")}
	}},
	"lend": {1, func(g *generator) store.Cmd {
		return &store.Lend{ID: fmt.Sprint("loan", g.Intn(6)), Peer: g.one("p1", "p2"), Service: g.one("s", "t"), CPU: int64(g.Intn(100)), Least: 10, For: int64(g.Intn(2000)), Slices: 6, Slice: 20}
	}},
	"accept": {3, func(g *generator) store.Cmd {
		g.jobs++
		j := g.job()
		j.PeriodicInstances = 0
		c := &store.Accept{Peer: g.one("p1", "p2"), No: int64(1 + g.Intn(30)), ID: g.id(), Lane: g.lane(), Loan: fmt.Sprint("loan", g.Intn(6)), Job: j}
		if l := g.s.Loans[c.Loan]; l != nil {
			c.Peer = l.Peer
		}
		return c
	}},
	"void": {1, func(g *generator) store.Cmd {
		id := g.id()
		p, no := g.move(id)
		return &store.Void{Peer: p, No: no, ID: id, Cancel: g.Intn(2) == 0}
	}},
	"release": {1, func(g *generator) store.Cmd {
		id := g.id()
		p, no := g.move(id)
		return &store.Release{Peer: p, No: no, ID: id}
	}},
}

// entry makes one entry of the log, of some commands.
func (g *generator) entry(clock, wall int64, count map[string]int) []byte {
	var lot []string
	for _, k := range store.Kinds() {
		for range makers[k].often {
			lot = append(lot, k)
		}
	}
	sort.Strings(lot)
	b := store.Batch{Clock: clock, Wall: wall}
	for range 1 + g.Intn(4) {
		k := g.one(lot...)
		count[k]++
		b.Cmds = append(b.Cmds, store.Encode(k, makers[k].make(g)))
	}
	raw, err := cbor.Marshal(b)
	if err != nil {
		panic(err)
	}
	return raw
}

// replica is a copy of the state; its settings are its own.
type replica struct {
	s      *store.Store
	limits store.Limits
}

// reload goes on from a snapshot of the state, as after a restart.
func (r *replica) reload(t *testing.T, from []byte) {
	t.Helper()
	s, err := store.Load(from, r.limits)
	if err != nil {
		t.Fatal(err)
	}
	if again := s.Save(); !bytes.Equal(again, from) {
		t.Fatalf("at %d: saved, loaded and saved again gives another state:\n%s", s.Applied, difference(from, again))
	}
	r.s = s
}

// difference names the tables and rows of two snapshots that are unlike.
func difference(a, b []byte) string {
	var x, y map[string]any
	if cbor.Unmarshal(a, &x) != nil || cbor.Unmarshal(b, &y) != nil {
		return "unreadable"
	}
	out := ""
	for k := range x {
		if reflect.DeepEqual(x[k], y[k]) {
			continue
		}
		out += k + ": "
		m, ok := x[k].(map[any]any)
		n, ok2 := y[k].(map[any]any)
		if !ok || !ok2 {
			out += fmt.Sprintf("%v, %v\n", x[k], y[k])
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
	for _, k := range store.Kinds() {
		if makers[k].often == 0 {
			t.Errorf("no maker for the command %q: add one", k)
		}
	}
	count, codes := map[string]int{}, map[int]int{}
	for seed := range int64(*replicaSeeds) {
		g := &generator{Rand: rand.New(rand.NewSource(seed))}
		rs := []*replica{{limits: store.Limits{}}, {limits: store.Limits{KeepJobMs: 1, Replans: 1, Far: 2}}, {limits: store.Limits{KeepJobMs: 1000, Far: 9}}}
		for _, r := range rs {
			r.s = store.New(store.Limits{})
		}
		clock, wall := int64(1), int64(1000000)
		var was []byte
		frozen := make(chan []byte, 1)
		for i := range 300 {
			g.s = rs[0].s
			if i%20 == 0 {
				// Encoded beside the commands that follow.
				f := g.s.Freeze()
				was = g.s.Save()
				go func() { frozen <- f.Save() }()
			}
			clock += int64(g.Intn(40))
			wall += int64(g.Intn(60) - 10)
			raw := g.entry(clock, wall, count)
			var first []store.Outcome
			for n, r := range rs {
				out := r.s.Run(r.s.Applied+1, raw)
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
				save := rs[0].s.Save()
				for _, r := range rs[1:] {
					if other := r.s.Save(); !bytes.Equal(save, other) {
						t.Fatalf("seed %d, entry %d: states differ:\n%s", seed, i, difference(save, other))
					}
				}
				if g.Intn(3) == 0 {
					rs[1].reload(t, rs[1].s.Save())
				}
				if g.Intn(3) == 0 {
					rs[2].reload(t, save)
				}
			}
		}
	}
	t.Logf("commands %v, outcomes %v", count, codes)
	for _, k := range store.Kinds() {
		if count[k] == 0 {
			t.Errorf("%s never came by", k)
		}
	}
}

// TestFreezeCopiesEachTable: a table added to the state must be frozen too.
func TestFreezeCopiesEachTable(t *testing.T) {
	s := store.New(store.Limits{})
	fill(reflect.ValueOf(s).Elem())
	shared(t, "", reflect.ValueOf(s).Elem(), reflect.ValueOf(store.StateOf(s.Freeze())).Elem())
}

// fill puts something into each table and list of a part of the state.
func fill(v reflect.Value) {
	for i := range v.NumField() {
		switch f := v.Field(i); {
		case !f.CanSet():
		case f.Kind() == reflect.Map:
			f.Set(reflect.MakeMap(f.Type()))
		case f.Kind() == reflect.Slice:
			f.Set(reflect.MakeSlice(f.Type(), 1, 1))
		case f.Kind() == reflect.Struct:
			fill(f)
		}
	}
}

// shared finds what a state and its frozen copy both write to.
func shared(t *testing.T, at string, v, frozen reflect.Value) {
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
			shared(t, at+f.Name+".", v.Field(i), frozen.Field(i))
		case reflect.Pointer:
			t.Errorf("%s%s: say in Freeze and here how it is copied", at, f.Name)
		}
	}
}
