package state

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/protocol"
)

const testConfiguration = `{"configVersion":%d,"routeList":[{"name":"a","hostName":"h","pathPrefix":"/p/","kind":"writing","timeoutMs":1000,"targetMs":100,"priority":0,"targetService":"s","maxTries":2,"stretch":1.5}],"serviceList":[{"name":"s","guards":true}]}`

// fixture is a state that commands reach through the log's own encoding.
type fixture struct {
	t     *testing.T
	store *Store
	now   int64
}

func newFixture(t *testing.T) *fixture {
	// The placer is linked in by other tests; these see what a lost row does.
	plans := Replan
	Replan = nil
	t.Cleanup(func() { Replan = plans })
	f := &fixture{t: t, store: New(Limits{JobRetentionMs: 1000, MaxReplans: 2})}
	f.apply("replace", &ReplaceConfiguration{Raw: []byte(fmt.Sprintf(testConfiguration, 1))})
	return f
}

func (f *fixture) apply(kind string, c Command) Outcome {
	f.now += 10
	raw := EncodeCommand(kind, c)
	b := Batch{Clock: f.now, WallClock: f.now, Commands: []EncodedCommand{raw}}
	return f.store.ApplyEntry(f.store.AppliedIndex+1, encodeBatch(b))[0]
}

func (f *fixture) addWorker(id string, room protocol.Resources) *Worker {
	f.apply("takeup", &RegisterWorker{ID: id, Node: "n-" + id, Service: "s", Labels: []string{"a", "r1"}, Capacity: room, LeavesInMs: -1})
	return f.store.Workers[id]
}

func (f *fixture) submit(id string, steps ...protocol.Step) *Job {
	f.t.Helper()
	if o := f.apply("handin", &SubmitJob{Host: "h", Path: "/p/" + id, ID: id, Job: protocol.Job{Spec: "x", Steps: steps}}); o.Code != 200 {
		f.t.Fatalf("hand-in: %v", o)
	}
	return f.store.Jobs[id]
}

func (f *fixture) applyPlan(job string, step int, whole bool, items ...Placement) int64 {
	return f.apply("book", &ApplyPlans{Plans: []Plan{{Job: job, Step: step, AllOrNothing: whole, Placements: items}}}).Value
}

func (f *fixture) complete(worker, task string, run int, how string) {
	f.apply("ends", &ReportCompletions{Worker: worker, Fence: f.store.Workers[worker].Fence, Completions: []protocol.Completion{{Sequence: 1, Task: task, Run: run, Result: how}}})
}

func TestTaskLockRefusesASecondRun(t *testing.T) {
	f := newFixture(t)
	a, b := f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000}), f.addWorker("b", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
	f.submit("j", protocol.Step{TaskCount: 1, CPUUnits: 10})
	if n := f.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: a.Version}); n != 0 {
		t.Fatal("the first was refused")
	}
	if n := f.applyPlan("j", 0, false, Placement{Worker: "b", WorkerVersion: b.Version}); n != 1 || len(f.store.Allocations) != 1 {
		t.Fatalf("lost %d, allocations %d", n, len(f.store.Allocations))
	}
	if b.UsedMilliCPU != 0 {
		t.Error("the lost row kept room")
	}
}

func TestStoppingRunKeepsTaskLockAndCapacity(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 20, MemoryMB: 10})
	f.submit("j", protocol.Step{TaskCount: 1, CPUUnits: 15})
	f.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: a.Version})
	for id := range f.store.Allocations {
		f.apply("halt", &StopRuns{Allocations: []uint64{id}, Reason: "test"})
	}
	if n := f.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: a.Version}); n != 1 || a.UsedMilliCPU != 15 {
		t.Fatal("a stopping run gave its room or turn away")
	}
	f.complete("a", "j.0.0.0", 1, "stopped")
	if a.UsedMilliCPU != 0 || len(f.store.Allocations) != 0 {
		t.Fatal("its end freed nothing")
	}
}

func TestPlanMadeBeforeADrainIsRefused(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 1})
	ver := a.Version
	f.apply("eligible", &SetEligibility{ID: "a", Draining: true, LeavesInMs: 5000})
	if n := f.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: ver}); n != 1 {
		t.Fatal("booked on a draining worker")
	}
}

func TestGangIsBookedWhollyOrNotAtAll(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	b := f.addWorker("b", protocol.Resources{CPUUnits: 10, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 2, CPUUnits: 50, Gang: true})
	if f.applyPlan("j", 0, true, Placement{TaskIndex: 0, Worker: "a", WorkerVersion: a.Version}, Placement{TaskIndex: 1, Worker: "b", WorkerVersion: b.Version}) != 1 {
		t.Fatal("booked beyond the room")
	}
	if len(f.store.Allocations) != 0 || a.UsedMilliCPU != 0 || f.store.Jobs["j"].Instances[0].Steps[0].Tasks[0].LastRun != 0 {
		t.Fatal("the savepoint left something behind")
	}
	if f.applyPlan("j", 0, true, Placement{TaskIndex: 0, Worker: "a", WorkerVersion: a.Version}, Placement{TaskIndex: 1, Worker: "a", WorkerVersion: a.Version}) != 0 {
		t.Fatal("a gang that fits was refused")
	}
	f.complete("a", "j.0.0.0", 1, "done")
	if word, _ := f.store.JobStatus("j"); word != "done" {
		t.Fatalf("one end counts for all, state %s", word)
	}
}

func TestStepOrderAndMaxAttempts(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 1}, protocol.Step{TaskCount: 1, DependsOn: []int{0}})
	f.applyPlan("j", 1, false, Placement{Worker: "a", WorkerVersion: a.Version})
	if len(f.store.Allocations) != 0 {
		t.Fatal("a step ran before the one it waits for")
	}
	for run := 1; run <= 2; run++ {
		f.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: a.Version})
		f.complete("a", "j.0.0.0", run, "failed")
	}
	if word, _ := f.store.JobStatus("j"); word != "failed" {
		t.Fatalf("state %s after two failed runs", word)
	}
	f.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: a.Version})
	if len(f.store.Allocations) != 0 {
		t.Fatal("a third run was booked")
	}
}

func TestResubmittedJobKeepsTheFirstBody(t *testing.T) {
	f := newFixture(t)
	f.submit("j", protocol.Step{TaskCount: 1})
	f.submit("j", protocol.Step{TaskCount: 7})
	if n := f.store.Jobs["j"].Steps[0].TaskCount; n != 1 {
		t.Fatalf("the second body stands: %d", n)
	}
}

func TestRaceOfConfigurations(t *testing.T) {
	f := newFixture(t)
	x, y := []byte(fmt.Sprintf(testConfiguration, 3)), []byte(fmt.Sprintf(testConfiguration, 4))
	for _, c := range []struct {
		base int64
		raw  []byte
		want Code
	}{{1, x, 200}, {1, y, 412}, {1, x, 200}, {3, []byte(fmt.Sprintf(testConfiguration, 2)), 400}, {3, y, 200}} {
		if o := f.apply("replace", &ReplaceConfiguration{BaseVersion: c.base, Raw: c.raw}); o.Code != c.want {
			t.Errorf("base %d: %d, want %d", c.base, o.Code, c.want)
		}
	}
}

func TestDeadWorkerDoesNotComeBack(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 1})
	f.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: a.Version})
	// The take-up of a life of which the newer one knows nothing came late.
	if o := f.apply("takeup", &RegisterWorker{ID: "a0", Node: "n-a", Service: "s", LeavesInMs: -1, ReplacesFence: a.Fence - 1}); o.Code != 412 || o.Value != a.Fence || len(f.store.Allocations) != 1 || f.store.Workers["a0"] != nil {
		t.Fatalf("a late take-up ended a newer life: %d, N %d", o.Code, o.Value)
	}
	f.apply("takeup", &RegisterWorker{ID: "a2", Node: "n-a", Service: "s", LeavesInMs: -1, ReplacesFence: a.Fence})
	if len(f.store.Allocations) != 0 {
		t.Fatal("a crashed life holds runs")
	}
	if o := f.apply("takeup", &RegisterWorker{ID: "a", Node: "n-a", Service: "s", LeavesInMs: -1}); o.Code != 409 {
		t.Fatalf("a late beat took up a dead life: %d", o.Code)
	}
}

func TestCheckpointGoesToTheNextRun(t *testing.T) {
	f := newFixture(t)
	a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submit("j", protocol.Step{TaskCount: 1, Checkpoints: true})
	f.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: a.Version})
	f.apply("ends", &ReportCompletions{Worker: "a", Fence: a.Fence, Checkpoints: []protocol.RunProgress{{Task: "j.0.0.0", Run: 1, Checkpoint: "abc"}}})
	f.apply("lapse", &ExpireLeases{Workers: []FencedWorker{{ID: "a", Fence: f.store.Workers["a"].Fence}}})
	a = f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: a.Version})
	for _, x := range f.store.Allocations {
		if x.Checkpoint != "abc" || x.Run != 2 {
			t.Fatalf("run %d starts from %q", x.Run, x.Checkpoint)
		}
	}
}

func TestPeriodicJobFallsDue(t *testing.T) {
	f := newFixture(t)
	f.apply("handin", &SubmitJob{Host: "h", Path: "/p/j", ID: "j", Job: protocol.Job{Steps: []protocol.Step{{TaskCount: 1}}, PeriodicInstances: 3, FirstRunMs: 1000, IntervalMs: 500}})
	j := f.store.Jobs["j"]
	for _, c := range []struct{ wall, insts int64 }{{999, 0}, {1000, 1}, {1400, 1}, {2100, 3}} {
		f.store.AdvanceClock(f.now, c.wall)
		if int64(len(j.Instances)) != c.insts {
			t.Errorf("at %d: %d times, want %d", c.wall, len(j.Instances), c.insts)
		}
	}
}

// invariantFault tells what is wrong with a state, or nothing.
func invariantFault(s *Store) string {
	milliCPU, memoryMB := map[string]int64{}, map[string]int64{}
	runs := map[string]int{}
	for _, a := range s.Allocations {
		milliCPU[a.Worker] += a.MilliCPU
		memoryMB[a.Worker] += a.MemoryMB
		runs[fmt.Sprint(a.TaskName(), "#", a.Copy)]++
	}
	for k, n := range runs {
		if n > 1 {
			return fmt.Sprintf("%s runs %d times", k, n)
		}
	}
	for id, worker := range s.Workers {
		if worker.UsedMilliCPU != milliCPU[id] || worker.UsedMemoryMB != memoryMB[id] || worker.UsedMilliCPU > worker.Capacity.CPUUnits || worker.UsedMemoryMB > worker.Capacity.MemoryMB {
			return fmt.Sprintf("%s: counter %d of %d, claims %d", id, worker.UsedMilliCPU, worker.Capacity.CPUUnits, milliCPU[id])
		}
	}
	for id, d := range s.Devices {
		for i, x := range d.Reservations {
			if s.Allocations[x.Allocation] == nil {
				return fmt.Sprintf("%s: booked by nobody", id)
			}
			for _, y := range d.Reservations[i+1:] {
				if x.From < y.To && y.From < x.To {
					return fmt.Sprintf("%s: two bookings overlap", id)
				}
			}
		}
	}
	if why := schedulingIndexFault(s); why != "" {
		return why
	}
	was := map[string]Rollup{}
	for k, r := range s.Rollups {
		was[k] = *r
	}
	s.RebuildRollups()
	for k, r := range s.Rollups {
		if worker := was[k]; worker.UsedMilliCPU != r.UsedMilliCPU || worker.UsedMemoryMB != r.UsedMemoryMB || worker.UsedGPUs != r.UsedGPUs {
			return fmt.Sprintf("rollup of %s by deltas %+v, rebuilt %+v", k, worker, *r)
		}
	}
	return ""
}

func checkInvariants(t *testing.T, s *Store) {
	t.Helper()
	if why := invariantFault(s); why != "" {
		t.Fatal(why)
	}
}

// TestRandomCommandsKeepInvariants drives the state with commands by lot and
// holds the guards after each; a copy from a checkpoint must stay the same.
func TestRandomCommandsKeepInvariants(t *testing.T) {
	for seed := int64(0); seed < 30; seed++ {
		random := rand.New(rand.NewSource(seed))
		f := newFixture(t)
		for i := range 4 {
			f.addWorker(fmt.Sprint("w", i), protocol.Resources{CPUUnits: 100, MemoryMB: 100, GPUs: i % 3})
		}
		var jobs []string
		for i := range 400 {
			id := fmt.Sprint("w", random.Intn(4))
			worker := f.store.Workers[id]
			switch random.Intn(8) {
			case 0:
				j := fmt.Sprint("j", i)
				f.submit(j, protocol.Step{TaskCount: 1 + random.Intn(3), CPUUnits: int64(random.Intn(60)), MemoryMB: int64(random.Intn(60)), GPUs: random.Intn(2), Speculative: random.Intn(3) == 0, MaxPerWorker: random.Intn(2)},
					protocol.Step{TaskCount: 2, CPUUnits: int64(random.Intn(60)), Gang: random.Intn(2) == 0, DependsOn: []int{0}})
				jobs = append(jobs, j)
			case 1, 2, 3, 4:
				if len(jobs) == 0 {
					continue
				}
				j := jobs[random.Intn(len(jobs))]
				step := random.Intn(2)
				var items []Placement
				for k := range f.store.Jobs[j].Steps[step].TaskCount {
					y := f.store.Workers[fmt.Sprint("w", random.Intn(4))]
					items = append(items, Placement{TaskIndex: k, Copy: random.Intn(2), Worker: y.ID, WorkerVersion: y.Version - uint64(random.Intn(2))})
				}
				f.applyPlan(j, step, f.store.Jobs[j].IsGang(step), items...)
			case 5:
				if on := f.store.AllocationsOn(id); len(on) > 0 {
					a := on[random.Intn(len(on))]
					f.complete(id, a.TaskName(), a.Run, []string{"done", "failed", "stopped", "lapsed"}[random.Intn(4)])
				}
			case 6:
				if random.Intn(4) == 0 {
					f.apply("lapse", &ExpireLeases{Workers: []FencedWorker{{ID: id, Fence: f.store.Workers[id].Fence}}})
					f.addWorker(id, worker.Capacity)
				} else if len(jobs) > 0 && random.Intn(3) == 0 {
					f.apply("cancel", &CancelJob{ID: jobs[random.Intn(len(jobs))]})
				}
			case 7:
				f.apply("eligible", &SetEligibility{ID: id, Draining: random.Intn(2) == 0, LeavesInMs: -1})
			}
			checkInvariants(t, f.store)
		}
		c, err := DecodeSnapshot(f.store.EncodeSnapshot(), f.store.Limits)
		if err != nil {
			t.Fatal(err)
		}
		checkInvariants(t, c)
		if !bytes.Equal(canonicalState(c), canonicalState(f.store)) {
			t.Fatal("a checkpoint changes the state")
		}
	}
}

// TestInvariantFaultCatchesPlantedBreaks shows that each part of the checker can fail.
func TestInvariantFaultCatchesPlantedBreaks(t *testing.T) {
	for name, plant := range map[string]func(*fixture){
		"counter": func(f *fixture) { f.store.Workers["a"].UsedMilliCPU = 5 },
		"overlap": func(f *fixture) {
			for _, d := range f.store.Devices {
				d.Reservations = append(d.Reservations, d.Reservations...)
			}
		},
		"orphan": func(f *fixture) { delete(f.store.Allocations, f.store.LastID) },
		"rollup": func(f *fixture) { f.store.rollup("s").UsedMilliCPU++ },
		"twice": func(f *fixture) {
			a := *f.store.Allocations[f.store.LastID]
			a.ID++
			f.store.Allocations[a.ID] = &a
		},
	} {
		f := newFixture(t)
		a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		f.submit("j", protocol.Step{TaskCount: 1, CPUUnits: 10})
		f.applyPlan("j", 0, false, Placement{Worker: "a", WorkerVersion: a.Version})
		checkInvariants(t, f.store)
		plant(f)
		if invariantFault(f.store) == "" {
			t.Errorf("%s: a planted break was not caught", name)
		}
	}
}

// canonicalState is the state in an encoding that is the same for the same state.
func canonicalState(s *Store) []byte {
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

func encodeBatch(b Batch) []byte {
	raw, err := cbor.Marshal(b)
	if err != nil {
		panic(err)
	}
	return raw
}

// schedulingIndexFault holds the index, as it was kept up by deltas, against a recount
// from the tables.
func schedulingIndexFault(s *Store) string {
	held, capacity, workers := map[ServicePriority]Resources{}, map[string]Resources{}, map[string]int{}
	for _, a := range s.Allocations {
		if job := s.Jobs[a.Job]; job != nil {
			k := ServicePriority{job.Service, job.Priority}
			held[k] = Resources{held[k].MilliCPU + a.MilliCPU, held[k].MemoryMB + a.MemoryMB}
		}
	}
	for _, worker := range s.Workers {
		on := map[*Worker]int{}
		for c := range freeCPUClasses {
			if f := s.index.byFreeCPU[worker.Service]; f != nil {
				for i, x := range f[c].workers {
					on[x]++
					if x == worker && (c != freeCPUClass(worker.FreeMilliCPU()) || worker.position.cpuOffset != i) {
						return fmt.Sprintf("%s with %d free stands in class %d at %d", worker.ID, worker.FreeMilliCPU(), c, i)
					}
				}
			}
		}
		want := 0
		if worker.Schedulable() {
			want = 1
			capacity[worker.Service] = Resources{capacity[worker.Service].MilliCPU + worker.Capacity.CPUUnits, capacity[worker.Service].MemoryMB + worker.Capacity.MemoryMB}
			workers[worker.Service]++
		}
		if on[worker] != want {
			return fmt.Sprintf("%s stands %d times in the classes, want %d", worker.ID, on[worker], want)
		}
		for _, l := range worker.Labels {
			n := 0
			for _, x := range s.WorkersWithLabel(worker.Service, l) {
				if x == worker {
					n++
				}
			}
			if n != want {
				return fmt.Sprintf("%s stands %d times under label %s, want %d", worker.ID, n, l, want)
			}
		}
	}
	for k, h := range s.index.used {
		if held[k] != h {
			return fmt.Sprintf("%v holds %v, recounted %v", k, h, held[k])
		}
	}
	for k, h := range held {
		if s.index.used[k] != h {
			return fmt.Sprintf("%v holds %v, recounted %v", k, s.index.used[k], h)
		}
	}
	for n := range workers {
		if r, c := s.SchedulableCapacity(n); r != capacity[n] || c != workers[n] {
			return fmt.Sprintf("%s has room %v of %d workers, recounted %v of %d", n, r, c, capacity[n], workers[n])
		}
	}
	for _, job := range s.openJobs {
		for _, instance := range job.Instances {
			for i := range instance.Steps {
				stepState := &instance.Steps[i]
				waits := false
				for x := range stepState.Tasks {
					waits = waits || !stepState.Tasks[x].Done && len(stepState.Tasks[x].Allocations) == 0
				}
				_, ok := s.index.placeableSteps[StepRef{job.ID, instance.Number, i}]
				if waits && stepState.Ready && !instance.Failed && !ok {
					return fmt.Sprintf("%s step %d has tasks to place and isn't listed", job.ID, i)
				}
			}
		}
	}
	for r := range s.index.placeableSteps {
		if s.openJobs[r.Job] == nil {
			return fmt.Sprintf("%v is listed and its job is over", r)
		}
	}
	return ""
}

// TestSchedulingIndexFaultCatchesPlantedBreaks: the recount must be able to fail.
func TestSchedulingIndexFaultCatchesPlantedBreaks(t *testing.T) {
	for name, plant := range map[string]func(s *Store){
		"class":  func(s *Store) { s.Workers["a"].UsedMilliCPU += 600 },
		"gone":   func(s *Store) { s.Workers["a"].Unhealthy = true },
		"label":  func(s *Store) { s.index.byLabel["s"]["r1"].workers = nil },
		"held":   func(s *Store) { s.index.used[ServicePriority{"s", 0}] = Resources{1, 1} },
		"room":   func(s *Store) { s.index.capacity["s"] = Resources{} },
		"step":   func(s *Store) { delete(s.index.placeableSteps, StepRef{"j", 0, 0}) },
		"ghost":  func(s *Store) { s.index.placeableSteps[StepRef{"x", 0, 0}] = struct{}{} },
		"nobody": func(s *Store) { s.Workers["a"].position.cpuOffset = 7 },
	} {
		f := newFixture(t)
		f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
		f.submit("j", protocol.Step{TaskCount: 2, CPUUnits: 10})
		if why := schedulingIndexFault(f.store); why != "" {
			t.Fatal(why)
		}
		plant(f.store)
		if schedulingIndexFault(f.store) == "" {
			t.Errorf("%s: not caught", name)
		}
	}
}

// TestCrashBackoffGrowsAndFades: the pause grows with each loss, ends before
// a waiting job would count as lost, and fades.
func TestCrashBackoffGrowsAndFades(t *testing.T) {
	f := newFixture(t)
	workers := 0
	crash := func() int64 {
		workers++
		id := fmt.Sprint("l", workers)
		f.apply("takeup", &RegisterWorker{ID: id, Node: "n", Service: "s", Capacity: protocol.Resources{CPUUnits: 10}, LeavesInMs: -1, ReplacesFence: int64(f.store.LastID)})
		return max(f.store.Workers[id].BackoffUntil-f.store.Clock, 0)
	}
	last := int64(-1)
	for i := range 8 {
		backoff := crash()
		if i < 2 && backoff != 0 {
			t.Errorf("life %d waits %d ms", i, backoff)
		}
		if backoff < last || backoff > 2500 {
			t.Errorf("life %d waits %d ms after %d", i, backoff, last)
		}
		last = backoff
		f.now += 500
	}
	if last < 1500 {
		t.Errorf("after seven losses it waits %d ms", last)
	}
	f.now += 60000
	if backoff := crash(); backoff != 0 {
		t.Errorf("a minute later it waits %d ms", backoff)
	}
	f.now += 1000000
	f.apply("sweep", &CollectGarbage{})
	if len(f.store.CrashBackoffs) != 0 {
		t.Error("calm nodes are remembered for good")
	}
}

// TestEntriesApplyOnlyInOrder: an entry that does not follow the state, and a
// snapshot at another index than its state's, must be impossible to miss.
func TestEntriesApplyOnlyInOrder(t *testing.T) {
	f := newFixture(t)
	entry := encodeBatch(Batch{Commands: []EncodedCommand{EncodeCommand("sweep", &CollectGarbage{})}})
	for name, act := range map[string]func(){
		"again": func() { f.store.ApplyEntry(f.store.AppliedIndex, entry) },
		"gap":   func() { f.store.ApplyEntry(f.store.AppliedIndex+2, entry) },
		"skip":  func() { f.store.SkipEntry(f.store.AppliedIndex + 2) },
	} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%s: applied", name)
				}
			}()
			act()
		}()
	}
	at := f.store.AppliedIndex
	f.store.SkipEntry(at + 1)
	c, err := DecodeSnapshot(f.store.EncodeSnapshot(), Limits{})
	if err != nil {
		t.Fatal(err)
	}
	if c.BindSnapshotIndex(at+1) != nil || c.BindSnapshotIndex(at) == nil || c.BindSnapshotIndex(at+2) == nil {
		t.Errorf("a state at %d is bound to another entry", c.AppliedIndex)
	}
	if n := New(Limits{}); n.BindSnapshotIndex(7) != nil || n.AppliedIndex != 7 {
		t.Error("an empty state does not take its snapshot's index")
	}
}

// TestCopiesOfAGangEndInOrder: two copies of a gang's task bear one run number;
// on one worker, each replica must end the same of them.
func TestCopiesOfAGangEndInOrder(t *testing.T) {
	for range 30 {
		f := newFixture(t)
		a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		f.submit("j", protocol.Step{TaskCount: 1, CPUUnits: 10, Gang: true, Speculative: true})
		f.applyPlan("j", 0, true, Placement{Worker: "a", WorkerVersion: a.Version}, Placement{Copy: 1, Worker: "a", WorkerVersion: a.Version})
		if len(f.store.Allocations) != 2 {
			t.Fatal("the copies were not booked")
		}
		f.complete("a", "j.0.0.0", 1, "stopped")
		if len(f.store.Allocations) != 1 || f.store.Allocations[f.store.LastID] == nil {
			t.Fatal("the younger copy was ended")
		}
	}
}
