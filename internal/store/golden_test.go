package store

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/golden"
	"tealpond/internal/protocol"
)

// rows encodes commands and the rows of tables.
var rows = golden.Codec{Encode: cbor.Marshal, Decode: cbor.Unmarshal}

// filledJob gives a job, as clients send it, whose fields differ.
func filledJob() protocol.Job {
	return protocol.Job{Spec: "spec", PeriodicInstances: 101, FirstRunMs: 102, IntervalMs: 103, Steps: []protocol.Step{{
		TaskCount: 1, CPUUnits: 112, MemoryMB: 113, GPUs: 114, EstimateMs: 115, DependsOn: []int{116}, Checkpoints: true, SameRack: true,
		RequiredLabels: protocol.Labels{"label"}, PreferredRack: "rack", MaxPerWorker: 117, LongRunning: true}}}
}

// filledCommands gives commands whose fields differ, by their registered names;
// what follows a slash tells several of one kind apart.
func filledCommands() []golden.Case {
	job, resources := filledJob(), protocol.Resources{CPUUnits: 121, MemoryMB: 122, GPUs: 123}
	return []golden.Case{
		{Name: "accept", Value: &Accept{Peer: "peer", No: 1, ID: "id", Lane: "route", Loan: "loan", Job: job}},
		{Name: "agree", Value: &Agree{Index: 1, Sum: 2, Program: "program"}},
		{Name: "appoint", Value: &Appoint{Duty: Duty{Zone: "zone", No: 1, Disk: "disk", Addr: "address", Next: "next", NextAddr: "next-address"}, Base: 2}},
		{Name: "book", Value: &Book{Plans: []Plan{{Job: "job", K: 1, Step: 2, Whole: true, Items: []Item{{Index: 3, Copy: 4, Worker: "worker", Ver: 5}}}}}},
		{Name: "cancel", Value: &Cancel{ID: "id"}},
		{Name: "eligible/draining", Value: &Eligible{ID: "id", Draining: true, LeavesIn: 1}},
		{Name: "eligible/gone", Value: &Eligible{ID: "id", Gone: true, LeavesIn: 1}},
		{Name: "eligible/sick", Value: &Eligible{ID: "id", Sick: true, LeavesIn: 1}},
		{Name: "ends", Value: &Ends{Worker: "worker", Fence: 1, Ends: []protocol.Completion{{Sequence: 2, Task: "task", Run: 3, Result: "how", Checkpoint: "saved"}},
			Saved: []protocol.RunProgress{{Task: "task", Run: 4, Checkpoint: "saved", Percent: 5}}, First: true}},
		{Name: "halt", Value: &Halt{Allocs: []uint64{1, 2}, Why: "why"}},
		{Name: "handin", Value: &HandIn{Host: "host", Path: "path", ID: "id", Job: job, Bucket: 1}},
		{Name: "lapse", Value: &Lapse{Workers: []Fenced{{ID: "id", Fence: 1}}}},
		{Name: "lend", Value: &Lend{ID: "id", Peer: "peer", Service: "service", CPU: 1, Least: 2, For: 3, Slices: 4, Slice: 5}},
		{Name: "limits", Value: &SetLimits{Limits: Limits{KeepJobMs: 1, Replans: 2, Far: 3.5}}},
		{Name: "mint", Value: &Mint{Epoch: "epoch"}},
		{Name: "offer", Value: &Offer{Job: "job", Peer: "peer"}},
		{Name: "release", Value: &Release{Peer: "peer", No: 1, ID: "id"}},
		{Name: "replace", Value: &Replace{Base: 1, Raw: []byte("text")}},
		{Name: "settle", Value: &SettleMove{Job: "job", No: 1, Peer: "peer", Epoch: "epoch", Index: 2, What: "what"}},
		{Name: "sweep", Value: &Sweep{Rebuild: true}},
		{Name: "takeup", Value: &TakeUp{ID: "id", Node: "node", Life: "life", Service: "service", Zone: "zone", Labels: []string{"label"}, Room: resources,
			Draining: true, LeavesIn: 1, Replaces: 2}},
		{Name: "void", Value: &Void{Peer: "peer", No: 1, ID: "id", Cancel: true}},
	}
}

// TestCommandBytes holds each registered command against the golden bytes.
func TestCommandBytes(t *testing.T) {
	commands := filledCommands()
	golden.Check(t, "commands.txt", rows, commands)
	covered := map[string]bool{}
	for _, c := range commands {
		kind, _, _ := strings.Cut(c.Name, "/")
		covered[kind] = true
		if kinds[kind] == nil || reflect.TypeOf(kinds[kind]()) != reflect.TypeOf(c.Value) {
			t.Errorf("%T is not what is registered as %s", c.Value, kind)
		}
	}
	for _, kind := range Kinds() {
		if !covered[kind] {
			t.Errorf("no bytes of the command %s", kind)
		}
	}
}

// TestCommandNames holds the names under which commands stand in the log, and the
// version of the state, against the golden list.
func TestCommandNames(t *testing.T) {
	names := Kinds()
	slices.Sort(names)
	golden.Text(t, "names.txt", fmt.Sprintf("version %d\ncommand %s\n", Form, strings.Join(names, "\ncommand ")))
}

// TestEntryBytes holds an entry of the log with all commands, and an outcome,
// against the golden bytes.
func TestEntryBytes(t *testing.T) {
	entry := Batch{Clock: 1, Wall: 2}
	for _, c := range filledCommands() {
		kind, _, _ := strings.Cut(c.Name, "/")
		entry.Cmds = append(entry.Cmds, Encode(kind, c.Value.(Cmd)))
	}
	golden.Check(t, "entries.txt", rows, []golden.Case{
		{Name: "entry", Value: &entry},
		{Name: "outcome", Value: &Outcome{Code: 200, Text: "text", N: 1}},
	})
}

// TestRowBytes holds the rows of the tables against the golden bytes.
func TestRowBytes(t *testing.T) {
	worker := func(set func(*Worker)) *Worker {
		w := &Worker{ID: "id", Node: "node", Service: "service", Zone: "zone", Labels: []string{"label"}, Room: protocol.Resources{CPUUnits: 121, MemoryMB: 122, GPUs: 123},
			UsedCPU: 1, UsedMem: 2, Fence: 3, Life: "life", LeavesAt: 4, Ver: 5, Seen: 6, ShunTill: 7}
		set(w)
		return w
	}
	job := func(set func(*Job)) *Job {
		j := &Job{ID: "id", Seq: 1, Lane: "route", Service: "service", Priority: 2, MaxRounds: 3, Stretch: 4.5, TargetMs: 5, Spec: "spec", Steps: filledJob().Steps,
			RunTimes: 6, FirstRunMs: 7, IntervalMs: 8, Born: 9, NextK: 10, EndedAt: 11,
			Insts: []*Inst{{K: 12, Born: 13, Left: 14, Failed: true, Steps: []StepState{{Ready: true, Since: 15, Full: 16, Over: 17, Left: 18, Fails: 19, Fell: 20,
				Took: 21, TookN: 22, Tasks: []Task{{Run: 23, Fails: 24, Done: true, Saved: "saved", Allocs: []uint64{25}}}}}}},
			Move: Move{Peer: "peer", No: 26, State: MoveTaken, Cancel: true, Loan: "loan", Rounds: 27}}
		set(j)
		return j
	}
	golden.Check(t, "rows.txt", rows, []golden.Case{
		{Name: "worker-draining", Value: worker(func(w *Worker) { w.Draining = true })},
		{Name: "worker-sick", Value: worker(func(w *Worker) { w.Sick = true })},
		{Name: "worker-lost", Value: worker(func(w *Worker) { w.Lost = true })},
		{Name: "worker-dead", Value: worker(func(w *Worker) { w.Dead = true })},
		{Name: "device", Value: &Device{ID: "id", Class: "class", Worker: "worker", Healthy: true, Books: []Booking{{Alloc: 31, From: 32, To: 33}}}},
		{Name: "allocation", Value: &Alloc{ID: 41, Worker: "worker", Job: "job", K: 42, Step: 43, Index: 44, Copy: 45, Run: 46, CPU: 47, Mem: 48, GPUs: []string{"gpu"},
			From: 49, Stopping: true, Why: "why", Saved: "saved"}},
		{Name: "job-canceled", Value: job(func(j *Job) { j.Off = true })},
		{Name: "job-failed", Value: job(func(j *Job) { j.Failed = true })},
		{Name: "job-begun", Value: job(func(j *Job) { j.Began = true })},
		{Name: "job-done", Value: job(func(j *Job) { j.Done = true })},
		{Name: "move-guest", Value: &Move{Peer: "peer", No: 51, State: MoveReleased, Guest: true, Loan: "loan", Rounds: 52}},
		{Name: "peer", Value: &PeerSeen{Epoch: "epoch", Index: 61}},
		{Name: "loan", Value: &Loan{ID: "id", Peer: "peer", Service: "service", Slices: []string{"slice"}, CPU: 71, From: 72, To: 73}},
		{Name: "rollup", Value: &Rollup{CPUTotal: 81, CPUFree: 82, CPUUsed: 83, MemTotal: 84, MemFree: 85, MemUsed: 86, GPUTotal: 87, GPUUsed: 88, Draining: 89, Unreachable: 90, At: 91}},
		{Name: "flaps", Value: &Flap{Count: 1.5, At: 92}},
		{Name: "configurations", Value: &TakenLog{Accepted: []Taken{{Base: 93, Version: 94, Digest: TakenDigest{95}}}, Refused: []Taken{{Base: 96, Version: 97, Digest: TakenDigest{98}}}}},
	})
}

// TestStateBytes holds a saved state, with a row in each table, against the
// golden bytes, and reads it again.
func TestStateBytes(t *testing.T) {
	s := New(Limits{KeepJobMs: 1, Replans: 2, Far: 3.5})
	s.Applied, s.Clock, s.Wall, s.Origin, s.Last, s.LastSeq, s.Epoch, s.Chain, s.ChainFrom = 11, 12, 13, 14, 15, 16, "epoch", 17, 18
	route, service := clusterconfig.Route{Name: "route", HostName: "host", PathPrefix: "/path/", TargetService: "service"}, clusterconfig.Service{Name: "service", EnforcesResources: true}
	s.Desired = clusterconfig.Config{Version: 21, Routes: []clusterconfig.Route{route}, Services: []clusterconfig.Service{service}, Raw: []byte("text")}
	s.Taken.accept(22, 23, TakenDigest{24})
	s.Taken.refuse(25, TakenDigest{26})
	s.Lanes["route"], s.Services["service"] = &route, service
	s.Workers["worker"] = &Worker{ID: "worker", Service: "service", Room: protocol.Resources{CPUUnits: 31, MemoryMB: 32, GPUs: 33}}
	s.Devices["device"] = &Device{ID: "device", Class: ClassGPU, Worker: "worker", Books: []Booking{{Alloc: 34, From: 35, To: 36}}}
	s.Allocs[34] = &Alloc{ID: 34, Worker: "worker", Job: "job", CPU: 37, Mem: 38}
	s.Jobs["job"] = &Job{ID: "job", Lane: "route", Service: "service", Steps: filledJob().Steps,
		Insts: []*Inst{{Left: 1, Steps: []StepState{{Ready: true, Left: 1, Tasks: []Task{{Run: 39, Allocs: []uint64{34}}}}}}}}
	s.Rollups["service"] = &Rollup{CPUTotal: 41}
	s.Peers, s.Voids = map[string]*PeerSeen{"peer": {Epoch: "peer-epoch", Index: 42}}, map[string]int64{"peer/job": 43}
	s.Loans = map[string]*Loan{"loan": {ID: "loan", Peer: "peer", CPU: 44}}
	s.Demand = map[string]map[int64]float64{"route": {45: 46.5}}
	s.Duties, s.Flaps = map[string]Duty{"zone": {Zone: "zone", No: 47}}, map[string]Flap{"node": {Count: 1.5, At: 48}}

	tables := reflect.ValueOf(*s)
	for i := range tables.NumField() {
		if field := tables.Type().Field(i); field.IsExported() && tables.Field(i).IsZero() {
			t.Errorf("%s is empty", field.Name)
		}
	}
	saved := s.Save()
	golden.Text(t, "state.txt", fmt.Sprintf("state %s\n", hex.EncodeToString(saved)))
	loaded, err := Load(saved, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(loaded.Save(), saved) {
		t.Error("what was saved and loaded is not saved alike")
	}
}

// TestStoredWords holds the numbers and words that stand in rows against the
// golden list.
func TestStoredWords(t *testing.T) {
	golden.Text(t, "words.txt", fmt.Sprintf(`device gpu %s
device turn %s
device loan %s
move none %d
move offered %d
move taken %d
move released %d
booking open-end %d
`, ClassGPU, ClassTurn, ClassLoan, MoveNone, MoveOffered, MoveTaken, MoveReleased, Forever))
}
