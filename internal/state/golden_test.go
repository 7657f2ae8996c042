package state

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
	"tealpond/internal/coordination"
	"tealpond/internal/golden"
	"tealpond/internal/protocol"
)

// rowCodec encodes commands and rowCodec of tables.
var rowCodec = golden.Codec{Encode: cbor.Marshal, Decode: cbor.Unmarshal}

// filledJob returns a job as clients send it, with a distinct value in each numeric field.
func filledJob() protocol.Job {
	return protocol.Job{Spec: "spec", PeriodicInstances: 101, FirstRunMs: 102, IntervalMs: 103, Steps: []protocol.Step{{
		TaskCount: 1, CPUUnits: 112, MemoryMB: 113, GPUs: 114, EstimateMs: 115, DependsOn: []int{116}, Checkpoints: true, SameRack: true,
		RequiredLabels: protocol.Labels{"label"}, PreferredRack: "rack", MaxPerWorker: 117, LongRunning: true}}}
}

// filledCommands returns commands with distinct values in their fields, by registered name.
// A suffix after a slash distinguishes several cases of one command.
func filledCommands() []golden.Case {
	job, resources := filledJob(), protocol.Resources{CPUUnits: 121, MemoryMB: 122, GPUs: 123}
	return []golden.Case{
		{Name: "accept", Value: &AcceptJob{Peer: "peer", OfferID: 1, ID: "id", Route: "route", Loan: "loan", Job: job}},
		{Name: "agree", Value: &ConfirmDigest{Index: 1, Digest: 2, ProgramVersion: "program"}},
		{Name: "appoint", Value: &AppointAggregator{Aggregator: ZoneAggregator{Zone: "zone", Revision: 1, Member: "disk", Address: "address", Standby: "next", StandbyAddress: "next-address"}, BaseRevision: 2}},
		{Name: "book", Value: &ApplyPlans{Plans: []Plan{{Job: "job", Instance: 1, Step: 2, AllOrNothing: true, Placements: []Placement{{TaskIndex: 3, Copy: 4, Worker: "worker", WorkerVersion: 5}}}}}},
		{Name: "cancel", Value: &CancelJob{ID: "id"}},
		{Name: "change", Value: &ChangeConfiguration{BaseVersion: 1, Raw: []byte("text")}},
		{Name: "eligibility/draining", Value: &ReportEligibility{ID: "id", Fence: 2, Number: 3, Draining: true, LeavesInMs: 1}},
		{Name: "eligibility/sick", Value: &ReportEligibility{ID: "id", Fence: 2, Number: 3, Leaving: true, Unhealthy: true, LeavesInMs: 1}},
		{Name: "eligible/draining", Value: &SetEligibility{ID: "id", Draining: true, LeavesInMs: 1}},
		{Name: "eligible/gone", Value: &SetEligibility{ID: "id", Leaving: true, LeavesInMs: 1}},
		{Name: "eligible/sick", Value: &SetEligibility{ID: "id", Unhealthy: true, LeavesInMs: 1}},
		{Name: "ends", Value: &ReportCompletions{Worker: "worker", Fence: 1, Completions: []protocol.Completion{{Sequence: 2, Task: "task", Run: 3, Result: "how", Checkpoint: "saved"}},
			Checkpoints: []protocol.RunProgress{{Task: "task", Run: 4, Checkpoint: "saved", Percent: 5}}, FromOldest: true}},
		{Name: "evacuate", Value: &EvacuateZone{Zone: "zone", Evacuated: true, BaseRevision: 1}},
		{Name: "forget", Value: &RemoveUnused{}},
		{Name: "format", Value: &RaiseFormat{Version: 1}},
		{Name: "halt", Value: &StopRuns{Allocations: []uint64{1, 2}, Reason: "why"}},
		{Name: "handin", Value: &SubmitJob{Host: "host", Path: "path", ID: "id", Job: job, DemandBucket: 1}},
		{Name: "lapse", Value: &ExpireLeases{Workers: []FencedWorker{{ID: "id", Fence: 1}}}},
		{Name: "lend", Value: &LendCapacity{ID: "id", Peer: "peer", Service: "service", MilliCPU: 1, MinMilliCPU: 2, DurationMs: 3, Slices: 4, SliceMilliCPU: 5}},
		{Name: "limits", Value: &SetLimits{Limits: Limits{JobRetentionMs: 1, MaxReplans: 2, RemoteFactor: 3.5}}},
		{Name: "lock", Value: &AcquireLock{Name: "name", Holder: "holder", HoldMs: 1}},
		{Name: "mint", Value: &SetEpoch{Epoch: "epoch"}},
		{Name: "number", Value: &NextNumber{Name: "name"}},
		{Name: "offer", Value: &OfferJob{Job: "job", Peer: "peer"}},
		{Name: "put", Value: &PutKey{Key: "key", Value: "value", Expected: 1, HistoryMs: 2}},
		{Name: "release", Value: &ReleaseJob{Peer: "peer", OfferID: 1, ID: "id"}},
		{Name: "relock", Value: &RenewLock{Name: "name", Holder: "holder", Fence: 1, HoldMs: 2}},
		{Name: "replace", Value: &ReplaceConfiguration{BaseVersion: 1, Raw: []byte("text")}},
		{Name: "settle", Value: &ResolveTransfer{Job: "job", OfferID: 1, Peer: "peer", Epoch: "epoch", Index: 2, Answer: "what"}},
		{Name: "submit", Value: &SubmitTenantJob{Submit: SubmitJob{Host: "host", Path: "path", ID: "id", Job: job, DemandBucket: 1}, Tenant: "tenant", ConfigVersion: 2, BeyondShare: true}},
		{Name: "sweep", Value: &CollectGarbage{RebuildUsage: true}},
		{Name: "takeup", Value: &RegisterWorker{ID: "id", Node: "node", AgentProcessID: "life", Service: "service", Zone: "zone", Labels: []string{"label"}, Capacity: resources,
			Draining: true, LeavesInMs: 1, ReplacesFence: 2}},
		{Name: "unlock", Value: &ReleaseLock{Name: "name", Holder: "holder", Fence: 1}},
		{Name: "void", Value: &WithdrawOffer{Peer: "peer", OfferID: 1, ID: "id", Cancel: true}},
	}
}

// TestCommandBytes compares the encoding of each registered command with the golden file.
func TestCommandBytes(t *testing.T) {
	commands := filledCommands()
	golden.Check(t, "commands.txt", rowCodec, commands)
	covered := map[string]bool{}
	for _, c := range commands {
		name, _, _ := strings.Cut(c.Name, "/")
		covered[name] = true
		if commandConstructors[name] == nil || reflect.TypeOf(commandConstructors[name]()) != reflect.TypeOf(c.Value) {
			t.Errorf("%T is not the command registered as %s", c.Value, name)
		}
	}
	for _, name := range CommandNames() {
		if !covered[name] {
			t.Errorf("no golden case for command %s", name)
		}
	}
}

// TestCommandNames compares the names of commands in the log, and the format version of the
// state, with the golden file.
func TestCommandNames(t *testing.T) {
	names := CommandNames()
	slices.Sort(names)
	golden.Text(t, "names.txt", fmt.Sprintf("version %d\ncommand %s\n", FormatVersion, strings.Join(names, "\ncommand ")))
}

// TestEntryBytes compares the encodings of a log entry with all commands, and of an outcome,
// with the golden file.
func TestEntryBytes(t *testing.T) {
	entry := Batch{Clock: 1, WallClock: 2}
	for _, c := range filledCommands() {
		name, _, _ := strings.Cut(c.Name, "/")
		entry.Commands = append(entry.Commands, EncodeCommand(name, c.Value.(Command)))
	}
	golden.Check(t, "entries.txt", rowCodec, []golden.Case{
		{Name: "entry", Value: &entry},
		{Name: "outcome", Value: &Outcome{Code: 200, Text: "text", Value: 1}},
	})
}

// TestRowBytes compares the encodings of rows of the tables with the golden file.
func TestRowBytes(t *testing.T) {
	worker := func(set func(*Worker)) *Worker {
		w := &Worker{ID: "id", Node: "node", Service: "service", Zone: "zone", Labels: []string{"label"}, Capacity: protocol.Resources{CPUUnits: 121, MemoryMB: 122, GPUs: 123},
			UsedMilliCPU: 1, UsedMemoryMB: 2, Fence: 3, AgentProcessID: "life", LeavesAt: 4, Version: 5, LastCompletion: 6, BackoffUntil: 7}
		set(w)
		return w
	}
	job := func(set func(*Job)) *Job {
		j := &Job{ID: "id", Sequence: 1, Route: "route", Service: "service", Priority: 2, MaxAttempts: 3, Stretch: 4.5, TargetMs: 5, Spec: "spec", Steps: filledJob().Steps,
			PeriodicInstances: 6, FirstRunMs: 7, IntervalMs: 8, CreatedAt: 9, NextInstance: 10, EndedAt: 11,
			Instances: []*JobInstance{{Number: 12, CreatedAt: 13, StepsLeft: 14, Failed: true, Steps: []StepState{{Ready: true, ReadyAt: 15, LastAllocatedAt: 16, CompletedAt: 17, TasksLeft: 18, GangFailures: 19, LastFailedRun: 20,
				DoneRunsMs: 21, DoneRuns: 22, Tasks: []Task{{LastRun: 23, Failures: 24, Done: true, Checkpoint: "saved", Allocations: []uint64{25}}}}}}},
			Transfer: JobTransfer{Peer: "peer", OfferID: 26, State: TransferAccepted, CancelRequested: true, Loan: "loan", OfferCount: 27}}
		set(j)
		return j
	}
	golden.Check(t, "rows.txt", rowCodec, []golden.Case{
		{Name: "worker-draining", Value: worker(func(w *Worker) { w.Draining = true })},
		{Name: "worker-sick", Value: worker(func(w *Worker) { w.Unhealthy = true })},
		{Name: "worker-lost", Value: worker(func(w *Worker) { w.LeaseExpired = true })},
		{Name: "worker-dead", Value: worker(func(w *Worker) { w.Dead = true })},
		{Name: "device", Value: &Device{ID: "id", Class: "class", Worker: "worker", Healthy: true, Reservations: []Reservation{{Allocation: 31, From: 32, To: 33}}}},
		{Name: "allocation", Value: &Allocation{ID: 41, Worker: "worker", Job: "job", Instance: 42, Step: 43, TaskIndex: 44, Copy: 45, Run: 46, MilliCPU: 47, MemoryMB: 48, GPUs: []string{"gpu"},
			AllocatedAt: 49, Stopping: true, StopReason: "why", Checkpoint: "saved"}},
		{Name: "job-canceled", Value: job(func(j *Job) { j.Canceled = true })},
		{Name: "job-failed", Value: job(func(j *Job) { j.Failed = true })},
		{Name: "job-begun", Value: job(func(j *Job) { j.Started = true })},
		{Name: "job-done", Value: job(func(j *Job) { j.Done = true })},
		{Name: "move-guest", Value: &JobTransfer{Peer: "peer", OfferID: 51, State: TransferReleased, Incoming: true, Loan: "loan", OfferCount: 52}},
		{Name: "peer", Value: &PeerProgress{Epoch: "epoch", Index: 61}},
		{Name: "loan", Value: &Loan{ID: "id", Peer: "peer", Service: "service", Slices: []string{"slice"}, MilliCPU: 71, From: 72, To: 73}},
		{Name: "rollup", Value: &ServiceUsage{TotalMilliCPU: 81, AllocatableMilliCPU: 82, UsedMilliCPU: 83, TotalMemoryMB: 84, AllocatableMemoryMB: 85, UsedMemoryMB: 86, TotalGPUs: 87, UsedGPUs: 88, Draining: 89, Unreachable: 90, RebuiltAt: 91}},
		{Name: "flaps", Value: &CrashBackoff{Crashes: 1.5, UpdatedAt: 92}},
		{Name: "configurations", Value: &ConfigurationHistory{Accepted: []ConfigurationRecord{{BaseVersion: 93, Version: 94, Digest: ConfigurationDigest{95}}}, Refused: []ConfigurationRecord{{BaseVersion: 96, Version: 97, Digest: ConfigurationDigest{98}}}}},
	})
}

// TestStateBytes compares the snapshot of a state with a row in each table with the golden
// file, and checks that the state is unchanged by encoding and decoding.
func TestStateBytes(t *testing.T) {
	s := New(Limits{JobRetentionMs: 1, MaxReplans: 2, RemoteFactor: 3.5})
	if s.Format != FormatUnmarked {
		t.Errorf("a new state has format %d, want %d", s.Format, FormatUnmarked)
	}
	s.AppliedIndex, s.Clock, s.WallClock, s.Origin, s.LastID, s.LastJobSequence, s.Epoch, s.DigestChain, s.DigestChainFrom = 11, 12, 13, 14, 15, 16, "epoch", 17, 18
	route, service := clusterconfig.Route{Name: "route", HostName: "host", PathPrefix: "/path/", TargetService: "service"}, clusterconfig.Service{Name: "service", EnforcesResources: true}
	s.Configuration = clusterconfig.Config{Version: 21, Routes: []clusterconfig.Route{route}, Services: []clusterconfig.Service{service}, Raw: []byte("text")}
	s.ConfigurationHistory.recordAccepted(22, 23, ConfigurationDigest{24})
	s.ConfigurationHistory.recordRefused(25, ConfigurationDigest{26})
	s.Routes["route"], s.Services["service"] = &route, service
	s.Workers["worker"] = &Worker{ID: "worker", Service: "service", Capacity: protocol.Resources{CPUUnits: 31, MemoryMB: 32, GPUs: 33}}
	s.Devices["device"] = &Device{ID: "device", Class: ClassGPU, Worker: "worker", Reservations: []Reservation{{Allocation: 34, From: 35, To: 36}}}
	s.Allocations[34] = &Allocation{ID: 34, Worker: "worker", Job: "job", MilliCPU: 37, MemoryMB: 38}
	s.Jobs["job"] = &Job{ID: "job", Route: "route", Service: "service", Steps: filledJob().Steps,
		Instances: []*JobInstance{{StepsLeft: 1, Steps: []StepState{{Ready: true, TasksLeft: 1, Tasks: []Task{{LastRun: 39, Allocations: []uint64{34}}}}}}}}
	s.ServiceUsages["service"] = &ServiceUsage{TotalMilliCPU: 41}
	s.Peers, s.WithdrawnOffers = map[string]*PeerProgress{"peer": {Epoch: "peer-epoch", Index: 42}}, map[string]int64{"peer/job": 43}
	s.Loans = map[string]*Loan{"loan": {ID: "loan", Peer: "peer", MilliCPU: 44}}
	s.Demand = map[string]map[int64]float64{"route": {45: 46.5}}
	s.Quotas = map[string]Quota{"tenant": {MilliCPU: 49, MemoryMB: 50, GPUs: 51, MilliShare: 52}}
	s.JobTenants = map[string]JobTenant{"job": {Tenant: "tenant", BeyondShare: true}}
	s.GoneWorkers = map[string]int64{"worker": 53}
	s.Evacuations = map[string]ZoneEvacuation{"zone": {Revision: 64, Evacuated: true, ChangedAt: 65}}
	s.EligibilityReports = map[string]int64{"worker": 66}
	s.Coordination = &coordination.Tables{LastFence: 54, HistoryMs: 55, Counters: map[string]int64{"number": 56},
		Locks: map[string]coordination.Lock{"lock": {Holder: "holder", Fence: 57, FirstFence: 58, ExpiresAt: 59, AcquiredAt: 60}},
		Groups: map[string]*coordination.Group{"group.": {Revision: 62, Compacted: 61, Keys: map[string]coordination.KeyValue{"group.key": {Value: "value", Revision: 62}},
			History:  []coordination.Event{{Name: "group.key", Value: "value", Revision: 62, At: 63}},
			Outcomes: map[string]coordination.PutOutcome{"group.key\x00value": {Revision: 62, Refused: true, At: 63}}}}}
	s.Aggregators, s.CrashBackoffs = map[string]ZoneAggregator{"zone": {Zone: "zone", Revision: 47}}, map[string]CrashBackoff{"node": {Crashes: 1.5, UpdatedAt: 48}}

	tables := reflect.ValueOf(*s)
	for i := range tables.NumField() {
		if field := tables.Type().Field(i); field.IsExported() && tables.Field(i).IsZero() {
			t.Errorf("field %s is empty; set it so that its encoding is compared", field.Name)
		}
	}
	text := ""
	reports := s.EligibilityReports
	for format := FormatUnmarked; format <= FormatVersion; format++ {
		s.Format, s.EligibilityReports = format, reports
		if format < FormatOrderedReports {
			s.EligibilityReports = nil
		}
		saved := s.EncodeSnapshot()
		if format == FormatUnmarked {
			text += fmt.Sprintf("state %s\n", hex.EncodeToString(saved))
		} else {
			text += fmt.Sprintf("state of format %d %s\n", format, hex.EncodeToString(saved))
		}
		loaded, err := DecodeSnapshot(saved, Limits{})
		if err != nil {
			t.Fatal(err)
		}
		if loaded.Format != format || !bytes.Equal(loaded.EncodeSnapshot(), saved) {
			t.Errorf("format %d: the decoded snapshot has format %d or other bytes", format, loaded.Format)
		}
	}
	golden.Text(t, "state.txt", text)
}

// TestStoredConstants compares the names and numbers that rows contain with the golden
// file.
func TestStoredConstants(t *testing.T) {
	golden.Text(t, "words.txt", fmt.Sprintf(`device gpu %s
device turn %s
device loan %s
move none %d
move offered %d
move taken %d
move released %d
booking open-end %d
`, ClassGPU, ClassTaskLock, ClassLoanSlice, TransferNone, TransferOffered, TransferAccepted, TransferReleased, OpenEnd))
}
