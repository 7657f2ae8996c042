package place

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/protocol"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

const desired = `{"configVersion":1,"routeList":[{"name":"a","hostName":"h","pathPrefix":"/p/","kind":"writing","timeoutMs":1000,"targetMs":100,"priority":0,"targetService":"s","maxTries":9,"stretch":1.5},{"name":"b","hostName":"h","pathPrefix":"/q/","kind":"writing","timeoutMs":1000,"targetMs":100,"priority":2,"targetService":"s","maxTries":9,"stretch":3}],"serviceList":[{"name":"s","guards":true}]}`

// fleet is a store with workers, seven a rack, that commands reach as ever.
type fleet struct {
	s    *store.Store
	now  int64
	jobs int
	ends map[string]int64
}

func newFleet(workers int) *fleet {
	f := &fleet{s: store.New(store.Limits{KeepJobMs: 1000, Replans: 2, Far: 3}), ends: map[string]int64{}}
	f.run("replace", &store.Replace{Raw: []byte(desired)})
	for i := range workers {
		f.run("takeup", &store.TakeUp{ID: worker(i), Node: "n" + worker(i), Service: "s", Zone: fmt.Sprint("z", i%9),
			Labels: []string{"a", fmt.Sprint("r", i/7)}, Room: protocol.Resources{CPUUnits: 16000, MemoryMB: 32768}, LeavesIn: -1})
	}
	return f
}

func worker(i int) string { return fmt.Sprintf("i-%06d", i) }

func (f *fleet) run(kind string, c store.Cmd) store.Outcome {
	f.now += 2
	raw, err := cbor.Marshal(store.Batch{Clock: f.now, Wall: f.now, Cmds: []store.Raw{store.Encode(kind, c)}})
	if err != nil {
		panic(err)
	}
	return f.s.Run(f.s.Applied+1, raw)[0]
}

func (f *fleet) job(prefix string, steps ...protocol.Step) string {
	f.jobs++
	id := fmt.Sprintf("%016x", f.jobs)
	if o := f.run("handin", &store.HandIn{Host: "h", Path: prefix + id, ID: id, Job: protocol.Job{Spec: "x", Steps: steps}}); o.Code != 200 {
		panic(o.Text)
	}
	return id
}

func (f *fleet) plan(p *Planner) int {
	ps := p.Plan(f.s)
	if len(ps) > 0 {
		f.run("book", &store.Book{Plans: ps})
	}
	n := 0
	for _, q := range ps {
		n += len(q.Items)
	}
	return n
}

func (f *fleet) end(a *store.Alloc, how string) {
	w := f.s.Workers[a.Worker]
	f.ends[a.Worker]++
	f.run("ends", &store.Ends{Worker: a.Worker, Fence: w.Fence, Ends: []protocol.Completion{{Sequence: f.ends[a.Worker], Task: a.Task(), Run: a.Run, Result: how}}})
}

func (f *fleet) any() *store.Alloc {
	for _, a := range f.s.Allocs {
		return a
	}
	return nil
}

// fill makes so many runs a worker run.
func (f *fleet) fill(p *Planner, each float64) {
	want := int(each * float64(len(f.s.Workers)))
	for len(f.s.Allocs) < want {
		n := min(want-len(f.s.Allocs), tune.PlanTasks)
		f.job("/p/", protocol.Step{TaskCount: n, CPUUnits: 800, MemoryMB: 900, EstimateMs: 40000})
		f.plan(p)
	}
}

// TestAllThatFitsIsPlaced: above the number up to which each worker is looked
// at, the index must miss no room; near data, on labels, apart, as gangs.
func TestAllThatFitsIsPlaced(t *testing.T) {
	for _, workers := range []int{30, tune.LookAtAll + 60} {
		f := newFleet(workers)
		p := &Planner{}
		rnd := rand.New(rand.NewSource(3))
		for i := range 600 {
			st := protocol.Step{TaskCount: 1 + rnd.Intn(30), CPUUnits: int64(100 + rnd.Intn(6000)), MemoryMB: int64(100 + rnd.Intn(9000)), EstimateMs: 300}
			switch rnd.Intn(6) {
			case 0:
				st.PreferredRack = fmt.Sprint("r", rnd.Intn(4))
			case 1:
				st.RequiredLabels = []string{fmt.Sprint("r", rnd.Intn(4))}
			case 2:
				st.MaxPerWorker = 1 + rnd.Intn(2)
			case 3:
				st.Gang, st.SameRack = true, rnd.Intn(2) == 0
			}
			id := f.job("/p/", st)
			f.plan(p)
			j := f.s.Jobs[id]
			free := 0
			for _, w := range f.s.Workers {
				if !f.s.Fits(j, 0, w) {
					continue
				}
				n := int(min(w.FreeCPU()/st.CPUUnits, w.FreeMem()/st.MemoryMB))
				if st.MaxPerWorker > 0 {
					n = min(n, st.MaxPerWorker-f.s.Apart(id, 0, 0, w.ID))
				}
				free += max(n, 0)
			}
			waits := 0
			for _, x := range j.Insts[0].Steps[0].Tasks {
				if len(x.Allocs) == 0 {
					waits++
				}
			}
			if waits > 0 && free >= max(1, waits) && !st.Gang || st.Gang && waits > 0 && free >= st.TaskCount {
				t.Fatalf("%d workers, job %d: %d of %d tasks wait beside room for %d (%+v)", workers, i, waits, st.TaskCount, free, st)
			}
			for len(f.s.Allocs) > workers*6 {
				f.end(f.any(), "done")
			}
		}
	}
}

// TestNearDataFirst: with room at the data's rack, all tasks go there.
func TestNearDataFirst(t *testing.T) {
	for _, workers := range []int{30, tune.LookAtAll + 60} {
		f := newFleet(workers)
		id := f.job("/p/", protocol.Step{TaskCount: 20, CPUUnits: 1000, MemoryMB: 100, EstimateMs: 300, PreferredRack: "r2"})
		f.plan(&Planner{})
		for _, a := range f.s.Allocs {
			if r := f.s.Workers[a.Worker].Rack(); a.Job == id && r != "r2" {
				t.Fatalf("%d workers: a task went to %s", workers, r)
			}
		}
	}
}

// TestCopyOfARunInTrouble: a run on a worker that falls quiet gets a copy
// elsewhere at once, one that is merely young gets none.
func TestCopyOfARunInTrouble(t *testing.T) {
	f := newFleet(4)
	p := &Planner{}
	f.job("/p/", protocol.Step{TaskCount: 2, CPUUnits: 9000, MemoryMB: 100, EstimateMs: 400, Speculative: true})
	f.plan(p)
	if n := f.plan(p); n != 0 {
		t.Fatalf("%d copies of young runs", n)
	}
	a := f.any()
	p.Quiet = map[string]bool{a.Worker: true}
	if n := f.plan(p); n != 1 {
		t.Fatalf("%d copies of a run on a quiet worker", n)
	}
	for _, b := range f.s.Allocs {
		if b.Copy == 1 && b.Worker == a.Worker {
			t.Error("the copy went to the quiet worker")
		}
	}
	if n := f.plan(p); n != 0 {
		t.Errorf("%d copies more", n)
	}
	f.now += 5000
	f.run("sweep", &store.Sweep{})
	f.plan(p)
	long := 0
	for _, b := range f.s.Allocs {
		if b.Copy == 1 {
			long++
		}
	}
	if long != 2 {
		t.Errorf("%d copies of runs twelve times as long as guessed, want 2", long)
	}
}

var sizes = []int{50, 500, 4000}

// BenchmarkPlaced: a task ends and one of a new job is planned and booked, at
// 14.5 runs a worker; time of one task.
func BenchmarkPlaced(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n)
			p := &Planner{}
			f.fill(p, 14.5)
			b.ResetTimer()
			for i := 0; i < b.N; i += 22 {
				for range 22 {
					f.end(f.any(), "done")
				}
				f.job("/p/", protocol.Step{TaskCount: 22, CPUUnits: 800, MemoryMB: 900, EstimateMs: 40000})
				if f.plan(p) == 0 {
					b.Fatal("nothing was placed")
				}
			}
		})
	}
}

// BenchmarkIdleRound: a round in which nothing is new.
func BenchmarkIdleRound(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n)
			p := &Planner{}
			f.fill(p, 14.5)
			p.Plan(f.s)
			b.ResetTimer()
			for range b.N {
				p.Plan(f.s)
			}
		})
	}
}

// BenchmarkCheckpoint: the whole state is encoded and read back.
func BenchmarkCheckpoint(b *testing.B) {
	for _, n := range sizes {
		f := newFleet(n)
		f.fill(&Planner{}, 14.5)
		raw := f.s.Save()
		b.Run(fmt.Sprint("save/", n), func(b *testing.B) {
			for range b.N {
				raw = f.s.Save()
			}
			b.ReportMetric(float64(len(raw)), "bytes")
		})
		b.Run(fmt.Sprint("freeze/", n), func(b *testing.B) {
			for range b.N {
				f.s.Freeze()
			}
		})
		b.Run(fmt.Sprint("load/", n), func(b *testing.B) {
			for range b.N {
				if _, err := store.Load(raw, store.Limits{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestNothingIsPushedForWorkThatNoLongerWaits: the lack of an earlier round is
// forgotten once nothing waits.
func TestNothingIsPushedForWorkThatNoLongerWaits(t *testing.T) {
	f := newFleet(2)
	p := &Planner{}
	f.job("/q/", protocol.Step{TaskCount: 4, CPUUnits: 7900, MemoryMB: 100, EstimateMs: 4000})
	f.plan(p)
	id := f.job("/p/", protocol.Step{TaskCount: 2, CPUUnits: 7900, MemoryMB: 100, EstimateMs: 300})
	f.now += 100
	f.run("sweep", &store.Sweep{})
	if f.plan(p) != 0 || len(p.Pushes(f.s)) == 0 {
		t.Fatal("urgent work that waits pushes nothing")
	}
	f.run("cancel", &store.Cancel{ID: id})
	f.plan(p)
	if ids := p.Pushes(f.s); len(ids) > 0 {
		t.Errorf("%d runs pushed for work that was called off", len(ids))
	}
}

// TestRoughEstimatesAreLearnt: a route whose runs often take six times as long
// as guessed gets no copies at four times; one that is guessed well keeps its
// factor low.
func TestRoughEstimatesAreLearnt(t *testing.T) {
	f := newFleet(4)
	p := &Planner{}
	for i := range 600 {
		for _, prefix := range []string{"/p/", "/q/"} {
			f.job(prefix, protocol.Step{TaskCount: 1, CPUUnits: 100, EstimateMs: 100})
			f.plan(p)
			a := f.any()
			if prefix == "/p/" && i%10 == 0 {
				f.now += 600
			}
			p.Learn(f.s, a, f.now)
			f.end(a, "done")
		}
	}
	if rough, good := p.most("a"), p.most("b"); rough < 5 || good > 3 {
		t.Errorf("factors %.1f and %.1f, want above 5 and under 3", rough, good)
	}
}
