package protocol

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/golden"
)

// TestBodyBytes compares the JSON bodies used by callers and runners, and the CBOR rows
// stored in the log, with the golden files.
func TestBodyBytes(t *testing.T) {
	step := Step{TaskCount: 11, CPUUnits: 12, MemoryMB: 13, GPUs: 14, EstimateMs: 15, DependsOn: []int{16}, RequiredLabels: Labels{"label-a", "label-b"},
		PreferredRack: "rack", MaxPerWorker: 17}
	with := func(set func(*Step)) Step {
		flagged := step
		set(&flagged)
		return flagged
	}
	checkpoints, allTogether := with(func(s *Step) { s.Checkpoints = true }), with(func(s *Step) { s.Gang = true })
	sameRack, twice := with(func(s *Step) { s.SameRack = true }), with(func(s *Step) { s.Speculative = true })
	longRunning := with(func(s *Step) { s.LongRunning = true })
	job := Job{Spec: "spec", PeriodicInstances: 1, FirstRunMs: 2, IntervalMs: 3, Steps: []Step{checkpoints, allTogether, sameRack, twice, longRunning}}
	leaves := int64(24)
	golden.Check(t, "bodies.txt", golden.Codec{Encode: json.Marshal, Decode: json.Unmarshal}, []golden.Case{
		{Name: "job", Value: &job},
		{Name: "heartbeat", Value: &Heartbeat{Service: "service", Address: "address", Zone: "zone", ConfigVersion: "version", Slots: 21, State: "state",
			WarmupLeftMs: 22, FreeResources: Resources{CPUUnits: 31, MemoryMB: 32, GPUs: 33}, Labels: []string{"label"}, ClockMs: 23, LeavesInMs: &leaves, Sequence: 25}},
		{Name: "start", Value: &StartRequest{TaskID: "task", RunID: 41, Spec: "spec", LeaseUntilMs: 42, Fence: 43, Checkpoint: "checkpoint"}},
		{Name: "stop", Value: &StopRequest{TaskID: "task", RunID: 51, Fence: 52}},
		{Name: "hold", Value: &KeepAliveRequest{LeaseUntilMs: 61, Fence: 62, AcknowledgedSequence: 63, WaitMs: 64}},
		{Name: "clock", Value: &RunResponse{ClockMs: 71, Reason: "reason"}},
		{Name: "lists", Value: &KeepAliveResponse{ClockMs: 81, Running: [][]any{{"task", 82.0, "checkpoint", 83.0}}, Ended: [][]any{{84.0, "task", 85.0, "done", "checkpoint"}}}},
	})

	golden.Check(t, "rows.txt", golden.Codec{Encode: cbor.Marshal, Decode: cbor.Unmarshal}, []golden.Case{
		{Name: "job", Value: &job},
		{Name: "resources", Value: &Resources{CPUUnits: 31, MemoryMB: 32, GPUs: 33}},
		{Name: "running", Value: &RunProgress{Task: "task", Run: 91, Checkpoint: "checkpoint", Percent: 92}},
		{Name: "ended", Value: &Completion{Sequence: 93, Task: "task", Run: 94, Result: "done", Checkpoint: "checkpoint"}},
	})
	golden.Text(t, "headers.txt", "based-on "+HeaderBasedOn+"\ntarget "+HeaderTargetRunner+"\ntime-left "+HeaderTimeLeft+"\nnot-run "+HeaderNotRun+"\nretry "+HeaderRetryAfter+"\n")
}
