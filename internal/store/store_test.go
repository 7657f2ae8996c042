package store

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/protocol"
)

const testDesire = `{"configVersion":%d,"routeList":[{"name":"a","hostName":"h","pathPrefix":"/p/","kind":"writing","timeoutMs":1000,"targetMs":100,"priority":0,"targetService":"s","maxTries":2,"stretch":1.5}],"serviceList":[{"name":"s","guards":true}]}`

// world is a state that commands reach through the log's own encoding.
type world struct {
	t   *testing.T
	s   *Store
	now int64
}

func newWorld(t *testing.T) *world {
	// The placer is linked in by other tests; these see what a lost row does.
	plans := Replan
	Replan = nil
	t.Cleanup(func() { Replan = plans })
	w := &world{t: t, s: New(Limits{KeepJobMs: 1000, Replans: 2})}
	w.run("replace", &Replace{Raw: []byte(fmt.Sprintf(testDesire, 1))})
	return w
}

func (w *world) run(kind string, c Cmd) Outcome {
	w.now += 10
	raw := Encode(kind, c)
	b := Batch{Clock: w.now, Wall: w.now, Cmds: []Raw{raw}}
	return w.s.Run(w.s.Applied+1, pack(b))[0]
}

func (w *world) worker(id string, room protocol.Resources) *Worker {
	w.run("takeup", &TakeUp{ID: id, Node: "n-" + id, Service: "s", Labels: []string{"a", "r1"}, Room: room, LeavesIn: -1})
	return w.s.Workers[id]
}

func (w *world) job(id string, steps ...protocol.Step) *Job {
	w.t.Helper()
	if o := w.run("handin", &HandIn{Host: "h", Path: "/p/" + id, ID: id, Job: protocol.Job{Spec: "x", Steps: steps}}); o.Code != 200 {
		w.t.Fatalf("hand-in: %v", o)
	}
	return w.s.Jobs[id]
}

func (w *world) book(job string, step int, whole bool, items ...Item) int64 {
	return w.run("book", &Book{Plans: []Plan{{Job: job, Step: step, Whole: whole, Items: items}}}).N
}

func (w *world) end(worker, task string, run int, how string) {
	w.run("ends", &Ends{Worker: worker, Fence: w.s.Workers[worker].Fence, Ends: []protocol.Completion{{Sequence: 1, Task: task, Run: run, Result: how}}})
}

func TestTurnRefusesASecondRun(t *testing.T) {
	w := newWorld(t)
	a, b := w.worker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000}), w.worker("b", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	w.job("j", protocol.Step{TaskCount: 1, CPUUnits: 10})
	if n := w.book("j", 0, false, Item{Worker: "a", Ver: a.Ver}); n != 0 {
		t.Fatal("the first was refused")
	}
	if n := w.book("j", 0, false, Item{Worker: "b", Ver: b.Ver}); n != 1 || len(w.s.Allocs) != 1 {
		t.Fatalf("lost %d, allocations %d", n, len(w.s.Allocs))
	}
	if b.UsedCPU != 0 {
		t.Error("the lost row kept room")
	}
}

func TestStoppingKeepsTurnAndRoom(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", protocol.Resources{CPUUnits: 20, MemoryMB: 10})
	w.job("j", protocol.Step{TaskCount: 1, CPUUnits: 15})
	w.book("j", 0, false, Item{Worker: "a", Ver: a.Ver})
	for id := range w.s.Allocs {
		w.run("halt", &Halt{Allocs: []uint64{id}, Why: "test"})
	}
	if n := w.book("j", 0, false, Item{Worker: "a", Ver: a.Ver}); n != 1 || a.UsedCPU != 15 {
		t.Fatal("a stopping run gave its room or turn away")
	}
	w.end("a", "j.0.0.0", 1, "stopped")
	if a.UsedCPU != 0 || len(w.s.Allocs) != 0 {
		t.Fatal("its end freed nothing")
	}
}

func TestDrainBeatsAnOlderPlan(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	w.job("j", protocol.Step{TaskCount: 1})
	ver := a.Ver
	w.run("eligible", &Eligible{ID: "a", Draining: true, LeavesIn: 5000})
	if n := w.book("j", 0, false, Item{Worker: "a", Ver: ver}); n != 1 {
		t.Fatal("booked on a draining worker")
	}
}

func TestGangIsBookedWholeOrNotAtAll(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	b := w.worker("b", protocol.Resources{CPUUnits: 10, MemoryMB: 100})
	w.job("j", protocol.Step{TaskCount: 2, CPUUnits: 50, Gang: true})
	if w.book("j", 0, true, Item{Index: 0, Worker: "a", Ver: a.Ver}, Item{Index: 1, Worker: "b", Ver: b.Ver}) != 1 {
		t.Fatal("booked beyond the room")
	}
	if len(w.s.Allocs) != 0 || a.UsedCPU != 0 || w.s.Jobs["j"].Insts[0].Steps[0].Tasks[0].Run != 0 {
		t.Fatal("the savepoint left something behind")
	}
	if w.book("j", 0, true, Item{Index: 0, Worker: "a", Ver: a.Ver}, Item{Index: 1, Worker: "a", Ver: a.Ver}) != 0 {
		t.Fatal("a gang that fits was refused")
	}
	w.end("a", "j.0.0.0", 1, "done")
	if word, _ := w.s.Status("j"); word != "done" {
		t.Fatalf("one end counts for all, state %s", word)
	}
}

func TestBudgetAndOrder(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	w.job("j", protocol.Step{TaskCount: 1}, protocol.Step{TaskCount: 1, DependsOn: []int{0}})
	w.book("j", 1, false, Item{Worker: "a", Ver: a.Ver})
	if len(w.s.Allocs) != 0 {
		t.Fatal("a step ran before the one it waits for")
	}
	for run := 1; run <= 2; run++ {
		w.book("j", 0, false, Item{Worker: "a", Ver: a.Ver})
		w.end("a", "j.0.0.0", run, "failed")
	}
	if word, _ := w.s.Status("j"); word != "failed" {
		t.Fatalf("state %s after two failed runs", word)
	}
	w.book("j", 0, false, Item{Worker: "a", Ver: a.Ver})
	if len(w.s.Allocs) != 0 {
		t.Fatal("a third run was booked")
	}
}

func TestSameIDFirstStands(t *testing.T) {
	w := newWorld(t)
	w.job("j", protocol.Step{TaskCount: 1})
	w.job("j", protocol.Step{TaskCount: 7})
	if n := w.s.Jobs["j"].Steps[0].TaskCount; n != 1 {
		t.Fatalf("the second body stands: %d", n)
	}
}

func TestRaceOfDesiredStates(t *testing.T) {
	w := newWorld(t)
	x, y := []byte(fmt.Sprintf(testDesire, 3)), []byte(fmt.Sprintf(testDesire, 4))
	for _, c := range []struct {
		base int64
		raw  []byte
		want int
	}{{1, x, 200}, {1, y, 412}, {1, x, 200}, {3, []byte(fmt.Sprintf(testDesire, 2)), 400}, {3, y, 200}} {
		if o := w.run("replace", &Replace{Base: c.base, Raw: c.raw}); o.Code != c.want {
			t.Errorf("base %d: %d, want %d", c.base, o.Code, c.want)
		}
	}
}

func TestDeadLifeDoesNotComeBack(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	w.job("j", protocol.Step{TaskCount: 1})
	w.book("j", 0, false, Item{Worker: "a", Ver: a.Ver})
	// The take-up of a life of which the newer one knows nothing came late.
	if o := w.run("takeup", &TakeUp{ID: "a0", Node: "n-a", Service: "s", LeavesIn: -1, Replaces: a.Fence - 1}); o.Code != 412 || o.N != a.Fence || len(w.s.Allocs) != 1 || w.s.Workers["a0"] != nil {
		t.Fatalf("a late take-up ended a newer life: %d, N %d", o.Code, o.N)
	}
	w.run("takeup", &TakeUp{ID: "a2", Node: "n-a", Service: "s", LeavesIn: -1, Replaces: a.Fence})
	if len(w.s.Allocs) != 0 {
		t.Fatal("a crashed life holds runs")
	}
	if o := w.run("takeup", &TakeUp{ID: "a", Node: "n-a", Service: "s", LeavesIn: -1}); o.Code != 409 {
		t.Fatalf("a late beat took up a dead life: %d", o.Code)
	}
}

func TestSavedTextGoesToTheNextRun(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	w.job("j", protocol.Step{TaskCount: 1, Checkpoints: true})
	w.book("j", 0, false, Item{Worker: "a", Ver: a.Ver})
	w.run("ends", &Ends{Worker: "a", Fence: a.Fence, Saved: []protocol.RunProgress{{Task: "j.0.0.0", Run: 1, Checkpoint: "abc"}}})
	w.run("lapse", &Lapse{Workers: []Fenced{{ID: "a", Fence: w.s.Workers["a"].Fence}}})
	a = w.worker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	w.book("j", 0, false, Item{Worker: "a", Ver: a.Ver})
	for _, x := range w.s.Allocs {
		if x.Saved != "abc" || x.Run != 2 {
			t.Fatalf("run %d starts from %q", x.Run, x.Saved)
		}
	}
}

func TestTimedJobFallsDue(t *testing.T) {
	w := newWorld(t)
	w.run("handin", &HandIn{Host: "h", Path: "/p/j", ID: "j", Job: protocol.Job{Steps: []protocol.Step{{TaskCount: 1}}, PeriodicInstances: 3, FirstRunMs: 1000, IntervalMs: 500}})
	j := w.s.Jobs["j"]
	for _, c := range []struct{ wall, insts int64 }{{999, 0}, {1000, 1}, {1400, 1}, {2100, 3}} {
		w.s.Advance(w.now, c.wall)
		if int64(len(j.Insts)) != c.insts {
			t.Errorf("at %d: %d times, want %d", c.wall, len(j.Insts), c.insts)
		}
	}
}

// faults tells what is wrong with a state, or nothing.
func faults(s *Store) string {
	cpu, mem := map[string]int64{}, map[string]int64{}
	turns := map[string]int{}
	for _, a := range s.Allocs {
		cpu[a.Worker] += a.CPU
		mem[a.Worker] += a.Mem
		turns[fmt.Sprint(a.Task(), "#", a.Copy)]++
	}
	for k, n := range turns {
		if n > 1 {
			return fmt.Sprintf("%s runs %d times", k, n)
		}
	}
	for id, w := range s.Workers {
		if w.UsedCPU != cpu[id] || w.UsedMem != mem[id] || w.UsedCPU > w.Room.CPUUnits || w.UsedMem > w.Room.MemoryMB {
			return fmt.Sprintf("%s: counter %d of %d, claims %d", id, w.UsedCPU, w.Room.CPUUnits, cpu[id])
		}
	}
	for id, d := range s.Devices {
		for i, x := range d.Books {
			if s.Allocs[x.Alloc] == nil {
				return fmt.Sprintf("%s: booked by nobody", id)
			}
			for _, y := range d.Books[i+1:] {
				if x.From < y.To && y.From < x.To {
					return fmt.Sprintf("%s: two bookings overlap", id)
				}
			}
		}
	}
	if why := indexFault(s); why != "" {
		return why
	}
	was := map[string]Rollup{}
	for k, r := range s.Rollups {
		was[k] = *r
	}
	s.Rebuild()
	for k, r := range s.Rollups {
		if w := was[k]; w.CPUUsed != r.CPUUsed || w.MemUsed != r.MemUsed || w.GPUUsed != r.GPUUsed {
			return fmt.Sprintf("rollup of %s by deltas %+v, rebuilt %+v", k, w, *r)
		}
	}
	return ""
}

func check(t *testing.T, s *Store) {
	t.Helper()
	if why := faults(s); why != "" {
		t.Fatal(why)
	}
}

// TestRandomCommandsKeepTheGuards drives the state with commands by lot and
// holds the guards after each; a copy from a checkpoint must stay the same.
func TestRandomCommandsKeepTheGuards(t *testing.T) {
	for seed := int64(0); seed < 30; seed++ {
		r := rand.New(rand.NewSource(seed))
		w := newWorld(t)
		for i := range 4 {
			w.worker(fmt.Sprint("w", i), protocol.Resources{CPUUnits: 100, MemoryMB: 100, GPUs: i % 3})
		}
		var jobs []string
		for i := range 400 {
			id := fmt.Sprint("w", r.Intn(4))
			x := w.s.Workers[id]
			switch r.Intn(8) {
			case 0:
				j := fmt.Sprint("j", i)
				w.job(j, protocol.Step{TaskCount: 1 + r.Intn(3), CPUUnits: int64(r.Intn(60)), MemoryMB: int64(r.Intn(60)), GPUs: r.Intn(2), Speculative: r.Intn(3) == 0, MaxPerWorker: r.Intn(2)},
					protocol.Step{TaskCount: 2, CPUUnits: int64(r.Intn(60)), Gang: r.Intn(2) == 0, DependsOn: []int{0}})
				jobs = append(jobs, j)
			case 1, 2, 3, 4:
				if len(jobs) == 0 {
					continue
				}
				j := jobs[r.Intn(len(jobs))]
				step := r.Intn(2)
				var items []Item
				for k := range w.s.Jobs[j].Steps[step].TaskCount {
					y := w.s.Workers[fmt.Sprint("w", r.Intn(4))]
					items = append(items, Item{Index: k, Copy: r.Intn(2), Worker: y.ID, Ver: y.Ver - uint64(r.Intn(2))})
				}
				w.book(j, step, w.s.Jobs[j].Gang(step), items...)
			case 5:
				if on := w.s.On(id); len(on) > 0 {
					a := on[r.Intn(len(on))]
					w.end(id, a.Task(), a.Run, []string{"done", "failed", "stopped", "lapsed"}[r.Intn(4)])
				}
			case 6:
				if r.Intn(4) == 0 {
					w.run("lapse", &Lapse{Workers: []Fenced{{ID: id, Fence: w.s.Workers[id].Fence}}})
					w.worker(id, x.Room)
				} else if len(jobs) > 0 && r.Intn(3) == 0 {
					w.run("cancel", &Cancel{ID: jobs[r.Intn(len(jobs))]})
				}
			case 7:
				w.run("eligible", &Eligible{ID: id, Draining: r.Intn(2) == 0, LeavesIn: -1})
			}
			check(t, w.s)
		}
		c, err := Load(w.s.Save(), w.s.Limits)
		if err != nil {
			t.Fatal(err)
		}
		check(t, c)
		if !bytes.Equal(mustSorted(c), mustSorted(w.s)) {
			t.Fatal("a checkpoint changes the state")
		}
	}
}

// TestFaultsCatchesPlantedBreaks shows that each part of the checker can fail.
func TestFaultsCatchesPlantedBreaks(t *testing.T) {
	for name, plant := range map[string]func(*world){
		"counter": func(w *world) { w.s.Workers["a"].UsedCPU = 5 },
		"overlap": func(w *world) {
			for _, d := range w.s.Devices {
				d.Books = append(d.Books, d.Books...)
			}
		},
		"orphan": func(w *world) { delete(w.s.Allocs, w.s.Last) },
		"rollup": func(w *world) { w.s.rollup("s").CPUUsed++ },
		"twice": func(w *world) {
			a := *w.s.Allocs[w.s.Last]
			a.ID++
			w.s.Allocs[a.ID] = &a
		},
	} {
		w := newWorld(t)
		a := w.worker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		w.job("j", protocol.Step{TaskCount: 1, CPUUnits: 10})
		w.book("j", 0, false, Item{Worker: "a", Ver: a.Ver})
		check(t, w.s)
		plant(w)
		if faults(w.s) == "" {
			t.Errorf("%s: a planted break was not caught", name)
		}
	}
}

// mustSorted is the state in an encoding that is the same for the same state.
func mustSorted(s *Store) []byte {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	raw, err := m.Marshal(s)
	if err != nil {
		panic(err)
	}
	return raw
}

func pack(b Batch) []byte {
	raw, err := cbor.Marshal(b)
	if err != nil {
		panic(err)
	}
	return raw
}

// indexFault holds the index, as it was kept up by deltas, against a recount
// from the tables.
func indexFault(s *Store) string {
	held, rooms, count := map[Kind]Sum{}, map[string]Sum{}, map[string]int{}
	for _, a := range s.Allocs {
		if j := s.Jobs[a.Job]; j != nil {
			k := Kind{j.Service, j.Priority}
			held[k] = Sum{held[k].CPU + a.CPU, held[k].Mem + a.Mem}
		}
	}
	for _, w := range s.Workers {
		on := map[*Worker]int{}
		for c := range classes {
			if f := s.idx.free[w.Service]; f != nil {
				for i, x := range f[c].ws {
					on[x]++
					if x == w && (c != classOf(w.FreeCPU()) || w.spot.at != i) {
						return fmt.Sprintf("%s with %d free stands in class %d at %d", w.ID, w.FreeCPU(), c, i)
					}
				}
			}
		}
		want := 0
		if w.Bookable() {
			want = 1
			rooms[w.Service] = Sum{rooms[w.Service].CPU + w.Room.CPUUnits, rooms[w.Service].Mem + w.Room.MemoryMB}
			count[w.Service]++
		}
		if on[w] != want {
			return fmt.Sprintf("%s stands %d times in the classes, want %d", w.ID, on[w], want)
		}
		for _, l := range w.Labels {
			n := 0
			for _, x := range s.Labelled(w.Service, l) {
				if x == w {
					n++
				}
			}
			if n != want {
				return fmt.Sprintf("%s stands %d times under label %s, want %d", w.ID, n, l, want)
			}
		}
	}
	for k, h := range s.idx.held {
		if held[k] != h {
			return fmt.Sprintf("%v holds %v, recounted %v", k, h, held[k])
		}
	}
	for k, h := range held {
		if s.idx.held[k] != h {
			return fmt.Sprintf("%v holds %v, recounted %v", k, s.idx.held[k], h)
		}
	}
	for n := range count {
		if r, c := s.Bookable(n); r != rooms[n] || c != count[n] {
			return fmt.Sprintf("%s has room %v of %d workers, recounted %v of %d", n, r, c, rooms[n], count[n])
		}
	}
	for _, j := range s.open {
		for _, in := range j.Insts {
			for i := range in.Steps {
				st := &in.Steps[i]
				waits := false
				for x := range st.Tasks {
					waits = waits || !st.Tasks[x].Done && len(st.Tasks[x].Allocs) == 0
				}
				_, ok := s.idx.steps[StepRef{j.ID, in.K, i}]
				if waits && st.Ready && !in.Failed && !ok {
					return fmt.Sprintf("%s step %d has tasks to place and isn't listed", j.ID, i)
				}
			}
		}
	}
	for r := range s.idx.steps {
		if s.open[r.Job] == nil {
			return fmt.Sprintf("%v is listed and its job is over", r)
		}
	}
	return ""
}

// TestIndexRecountCatchesPlantedBreaks: the recount must be able to fail.
func TestIndexRecountCatchesPlantedBreaks(t *testing.T) {
	for name, f := range map[string]func(s *Store){
		"class":  func(s *Store) { s.Workers["a"].UsedCPU += 600 },
		"gone":   func(s *Store) { s.Workers["a"].Sick = true },
		"label":  func(s *Store) { s.idx.labels["s"]["r1"].ws = nil },
		"held":   func(s *Store) { s.idx.held[Kind{"s", 0}] = Sum{1, 1} },
		"room":   func(s *Store) { s.idx.rooms["s"] = Sum{} },
		"step":   func(s *Store) { delete(s.idx.steps, StepRef{"j", 0, 0}) },
		"ghost":  func(s *Store) { s.idx.steps[StepRef{"x", 0, 0}] = struct{}{} },
		"nobody": func(s *Store) { s.Workers["a"].spot.at = 7 },
	} {
		w := newWorld(t)
		w.worker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
		w.job("j", protocol.Step{TaskCount: 2, CPUUnits: 10})
		if why := indexFault(w.s); why != "" {
			t.Fatal(why)
		}
		f(w.s)
		if indexFault(w.s) == "" {
			t.Errorf("%s: not caught", name)
		}
	}
}

// TestFlappingRunnerIsTrustedLater: the pause grows with each loss, ends before
// a waiting job would count as lost, and fades.
func TestFlappingRunnerIsTrustedLater(t *testing.T) {
	w := newWorld(t)
	life := 0
	lose := func() int64 {
		life++
		id := fmt.Sprint("l", life)
		w.run("takeup", &TakeUp{ID: id, Node: "n", Service: "s", Room: protocol.Resources{CPUUnits: 10}, LeavesIn: -1, Replaces: int64(w.s.Last)})
		return max(w.s.Workers[id].ShunTill-w.s.Clock, 0)
	}
	last := int64(-1)
	for i := range 8 {
		p := lose()
		if i < 2 && p != 0 {
			t.Errorf("life %d waits %d ms", i, p)
		}
		if p < last || p > 2500 {
			t.Errorf("life %d waits %d ms after %d", i, p, last)
		}
		last = p
		w.now += 500
	}
	if last < 1500 {
		t.Errorf("after seven losses it waits %d ms", last)
	}
	w.now += 60000
	if p := lose(); p != 0 {
		t.Errorf("a minute later it waits %d ms", p)
	}
	w.now += 1000000
	w.run("sweep", &Sweep{})
	if len(w.s.Flaps) != 0 {
		t.Error("calm nodes are remembered for good")
	}
}

// TestEntriesApplyOnlyInOrder: an entry that does not follow the state, and a
// snapshot at another index than its state's, must be impossible to miss.
func TestEntriesApplyOnlyInOrder(t *testing.T) {
	w := newWorld(t)
	entry := pack(Batch{Cmds: []Raw{Encode("sweep", &Sweep{})}})
	for name, f := range map[string]func(){
		"again": func() { w.s.Run(w.s.Applied, entry) },
		"gap":   func() { w.s.Run(w.s.Applied+2, entry) },
		"skip":  func() { w.s.Skip(w.s.Applied + 2) },
	} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s: applied", name)
				}
			}()
			f()
		}()
	}
	at := w.s.Applied
	w.s.Skip(at + 1)
	c, err := Load(w.s.Save(), Limits{})
	if err != nil {
		t.Fatal(err)
	}
	if c.StartAt(at+1) != nil || c.StartAt(at) == nil || c.StartAt(at+2) == nil {
		t.Errorf("a state at %d is bound to another entry", c.Applied)
	}
	if n := New(Limits{}); n.StartAt(7) != nil || n.Applied != 7 {
		t.Error("an empty state does not take its snapshot's index")
	}
}

// TestCopiesOfAGangEndInOrder: two copies of a gang's task bear one run number;
// on one worker, each replica must end the same of them.
func TestCopiesOfAGangEndInOrder(t *testing.T) {
	for range 30 {
		w := newWorld(t)
		a := w.worker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		w.job("j", protocol.Step{TaskCount: 1, CPUUnits: 10, Gang: true, Speculative: true})
		w.book("j", 0, true, Item{Worker: "a", Ver: a.Ver}, Item{Copy: 1, Worker: "a", Ver: a.Ver})
		if len(w.s.Allocs) != 2 {
			t.Fatal("the copies were not booked")
		}
		w.end("a", "j.0.0.0", 1, "stopped")
		if len(w.s.Allocs) != 1 || w.s.Allocs[w.s.Last] == nil {
			t.Fatal("the younger copy was ended")
		}
	}
}
