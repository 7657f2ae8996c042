package scheduler

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

const testConfiguration = `{"configVersion":1,"routeList":[{"name":"a","hostName":"h","pathPrefix":"/p/","kind":"writing","timeoutMs":1000,"targetMs":100,"priority":0,"targetService":"s","maxTries":9,"stretch":1.5},{"name":"b","hostName":"h","pathPrefix":"/q/","kind":"writing","timeoutMs":1000,"targetMs":100,"priority":2,"targetService":"s","maxTries":9,"stretch":3}],"serviceList":[{"name":"s","guards":true}]}`

// testCluster is a store with workers, seven a rack, that commands reach as ever.
type testCluster struct {
	store       *state.Store
	clock       int64
	submitted   int
	completions map[string]int64
}

func newTestCluster(workers int) *testCluster {
	f := &testCluster{store: state.New(state.Limits{JobRetentionMs: 1000, MaxReplans: 2, RemoteFactor: 3}), completions: map[string]int64{}}
	f.apply("replace", &state.ReplaceConfiguration{Raw: []byte(testConfiguration)})
	for i := range workers {
		f.apply("takeup", &state.RegisterWorker{ID: workerID(i), Node: "n" + workerID(i), Service: "s", Zone: fmt.Sprint("z", i%9),
			Labels: []string{"a", fmt.Sprint("r", i/7)}, Capacity: protocol.Resources{CPUUnits: 16000, MemoryMB: 32768}, LeavesInMs: -1})
	}
	return f
}

func workerID(i int) string { return fmt.Sprintf("i-%06d", i) }

func (f *testCluster) apply(kind string, c state.Command) state.Outcome {
	f.clock += 2
	raw, err := cbor.Marshal(state.Batch{Clock: f.clock, WallClock: f.clock, Commands: []state.EncodedCommand{state.EncodeCommand(kind, c)}})
	if err != nil {
		panic(err)
	}
	return f.store.ApplyEntry(f.store.AppliedIndex+1, raw)[0]
}

func (f *testCluster) submit(prefix string, steps ...protocol.Step) string {
	f.submitted++
	id := fmt.Sprintf("%016x", f.submitted)
	if o := f.apply("handin", &state.SubmitJob{Host: "h", Path: prefix + id, ID: id, Job: protocol.Job{Spec: "x", Steps: steps}}); o.Code != 200 {
		panic(o.Text)
	}
	return id
}

func (f *testCluster) planAndBind(p *Planner) int {
	ps := p.Plan(f.store)
	if len(ps) > 0 {
		f.apply("book", &state.ApplyPlans{Plans: ps})
	}
	n := 0
	for _, q := range ps {
		n += len(q.Placements)
	}
	return n
}

func (f *testCluster) complete(a *state.Allocation, how string) {
	w := f.store.Workers[a.Worker]
	f.completions[a.Worker]++
	f.apply("ends", &state.ReportCompletions{Worker: a.Worker, Fence: w.Fence, Completions: []protocol.Completion{{Sequence: f.completions[a.Worker], Task: a.TaskName(), Run: a.Run, Result: how}}})
}

func (f *testCluster) anyAllocation() *state.Allocation {
	for _, a := range f.store.Allocations {
		return a
	}
	return nil
}

// fillWorkers makes so many runs a worker run.
func (f *testCluster) fillWorkers(p *Planner, each float64) {
	want := int(each * float64(len(f.store.Workers)))
	for len(f.store.Allocations) < want {
		n := min(want-len(f.store.Allocations), tuning.MaxTasksPerPlan)
		f.submit("/p/", protocol.Step{TaskCount: n, CPUUnits: 800, MemoryMB: 900, EstimateMs: 40000})
		f.planAndBind(p)
	}
}

// TestAllThatFitsIsPlaced: above the number up to which each worker is looked
// at, the index must miss no room; near data, on labels, apart, as gangs.
func TestAllThatFitsIsPlaced(t *testing.T) {
	for _, workers := range []int{30, tuning.FullScanMaxWorkers + 60} {
		f := newTestCluster(workers)
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
			id := f.submit("/p/", st)
			f.planAndBind(p)
			j := f.store.Jobs[id]
			free := 0
			for _, w := range f.store.Workers {
				if !f.store.Feasible(j, 0, w) {
					continue
				}
				n := int(min(w.FreeMilliCPU()/st.CPUUnits, w.FreeMemoryMB()/st.MemoryMB))
				if st.MaxPerWorker > 0 {
					n = min(n, st.MaxPerWorker-f.store.CountStepTasks(id, 0, 0, w.ID))
				}
				free += max(n, 0)
			}
			waits := 0
			for _, x := range j.Instances[0].Steps[0].Tasks {
				if len(x.Allocations) == 0 {
					waits++
				}
			}
			if waits > 0 && free >= max(1, waits) && !st.Gang || st.Gang && waits > 0 && free >= st.TaskCount {
				t.Fatalf("%d workers, job %d: %d of %d tasks wait beside room for %d (%+v)", workers, i, waits, st.TaskCount, free, st)
			}
			for len(f.store.Allocations) > workers*6 {
				f.complete(f.anyAllocation(), "done")
			}
		}
	}
}

// TestNearDataFirst: with room at the data's rack, all tasks go there.
func TestNearDataFirst(t *testing.T) {
	for _, workers := range []int{30, tuning.FullScanMaxWorkers + 60} {
		f := newTestCluster(workers)
		id := f.submit("/p/", protocol.Step{TaskCount: 20, CPUUnits: 1000, MemoryMB: 100, EstimateMs: 300, PreferredRack: "r2"})
		f.planAndBind(&Planner{})
		for _, a := range f.store.Allocations {
			if r := f.store.Workers[a.Worker].Rack(); a.Job == id && r != "r2" {
				t.Fatalf("%d workers: a task went to %s", workers, r)
			}
		}
	}
}

// TestRunOnASilentWorkerGetsACopy: a run on a worker that falls quiet gets a copy
// elsewhere at once, one that is merely young gets none.
func TestRunOnASilentWorkerGetsACopy(t *testing.T) {
	f := newTestCluster(4)
	p := &Planner{}
	f.submit("/p/", protocol.Step{TaskCount: 2, CPUUnits: 9000, MemoryMB: 100, EstimateMs: 400, Speculative: true})
	f.planAndBind(p)
	if n := f.planAndBind(p); n != 0 {
		t.Fatalf("%d copies of young runs", n)
	}
	a := f.anyAllocation()
	p.SilentWorkers = map[string]bool{a.Worker: true}
	if n := f.planAndBind(p); n != 1 {
		t.Fatalf("%d copies of a run on a quiet worker", n)
	}
	for _, b := range f.store.Allocations {
		if b.Copy == 1 && b.Worker == a.Worker {
			t.Error("the copy went to the quiet worker")
		}
	}
	if n := f.planAndBind(p); n != 0 {
		t.Errorf("%d copies more", n)
	}
	f.clock += 5000
	f.apply("sweep", &state.CollectGarbage{})
	f.planAndBind(p)
	long := 0
	for _, b := range f.store.Allocations {
		if b.Copy == 1 {
			long++
		}
	}
	if long != 2 {
		t.Errorf("%d copies of runs twelve times as long as guessed, want 2", long)
	}
}

var clusterSizes = []int{50, 500, 4000}

// BenchmarkPlanAndBind: a task ends and one of a new job is planned and booked, at
// 14.5 runs a worker; time of one task.
func BenchmarkPlanAndBind(b *testing.B) {
	for _, n := range clusterSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newTestCluster(n)
			p := &Planner{}
			f.fillWorkers(p, 14.5)
			b.ResetTimer()
			for i := 0; i < b.N; i += 22 {
				for range 22 {
					f.complete(f.anyAllocation(), "done")
				}
				f.submit("/p/", protocol.Step{TaskCount: 22, CPUUnits: 800, MemoryMB: 900, EstimateMs: 40000})
				if f.planAndBind(p) == 0 {
					b.Fatal("nothing was placed")
				}
			}
		})
	}
}

// BenchmarkIdleRound: a round in which nothing is new.
func BenchmarkIdleRound(b *testing.B) {
	for _, n := range clusterSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newTestCluster(n)
			p := &Planner{}
			f.fillWorkers(p, 14.5)
			p.Plan(f.store)
			b.ResetTimer()
			for range b.N {
				p.Plan(f.store)
			}
		})
	}
}

// BenchmarkSnapshot: the whole state is encoded and read back.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range clusterSizes {
		f := newTestCluster(n)
		f.fillWorkers(&Planner{}, 14.5)
		raw := f.store.EncodeSnapshot()
		b.Run(fmt.Sprint("save/", n), func(b *testing.B) {
			for range b.N {
				raw = f.store.EncodeSnapshot()
			}
			b.ReportMetric(float64(len(raw)), "bytes")
		})
		b.Run(fmt.Sprint("freeze/", n), func(b *testing.B) {
			for range b.N {
				f.store.Snapshot()
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

// TestNoPreemptionForWorkThatNoLongerWaits: the lack of an earlier round is
// forgotten once nothing waits.
func TestNoPreemptionForWorkThatNoLongerWaits(t *testing.T) {
	f := newTestCluster(2)
	p := &Planner{}
	f.submit("/q/", protocol.Step{TaskCount: 4, CPUUnits: 7900, MemoryMB: 100, EstimateMs: 4000})
	f.planAndBind(p)
	id := f.submit("/p/", protocol.Step{TaskCount: 2, CPUUnits: 7900, MemoryMB: 100, EstimateMs: 300})
	f.clock += 100
	f.apply("sweep", &state.CollectGarbage{})
	if f.planAndBind(p) != 0 || len(p.Preemptions(f.store)) == 0 {
		t.Fatal("urgent work that waits pushes nothing")
	}
	f.apply("cancel", &state.CancelJob{ID: id})
	f.planAndBind(p)
	if ids := p.Preemptions(f.store); len(ids) > 0 {
		t.Errorf("%d runs pushed for work that was called off", len(ids))
	}
}

// TestStragglerFactorFollowsRoughEstimates: a route whose runs often take six times as long
// as guessed gets no copies at four times; one that is guessed well keeps its
// factor low.
func TestStragglerFactorFollowsRoughEstimates(t *testing.T) {
	f := newTestCluster(4)
	p := &Planner{}
	for i := range 600 {
		for _, prefix := range []string{"/p/", "/q/"} {
			f.submit(prefix, protocol.Step{TaskCount: 1, CPUUnits: 100, EstimateMs: 100})
			f.planAndBind(p)
			a := f.anyAllocation()
			if prefix == "/p/" && i%10 == 0 {
				f.clock += 600
			}
			p.RecordCompletion(f.store, a, f.clock)
			f.complete(a, "done")
		}
	}
	if rough, good := p.stragglerFactor("a"), p.stragglerFactor("b"); rough < 5 || good > 3 {
		t.Errorf("factors %.1f and %.1f, want above 5 and under 3", rough, good)
	}
}
