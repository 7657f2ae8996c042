package wire

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/golden"
)

// TestBodyBytes holds the JSON bodies that callers and runners see, and the rows
// that the log holds, against the golden bytes.
func TestBodyBytes(t *testing.T) {
	step := Step{TaskCount: 11, CPUUnits: 12, MemMb: 13, GPUs: 14, EstimateMs: 15, DependsOn: []int{16}, NeededLabels: Labels{"label-a", "label-b"},
		NearTo: "rack", ApartFrom: 17}
	with := func(set func(*Step)) Step {
		flagged := step
		set(&flagged)
		return flagged
	}
	checkpoints, allTogether := with(func(s *Step) { s.Checkpoints = true }), with(func(s *Step) { s.AllTogether = true })
	sameRack, twice := with(func(s *Step) { s.SameRack = true }), with(func(s *Step) { s.Twice = true })
	longRunning := with(func(s *Step) { s.LongRunning = true })
	job := Job{JobSpec: "spec", RunTimes: 1, FirstRunMs: 2, IntervalMs: 3, Steps: []Step{checkpoints, allTogether, sameRack, twice, longRunning}}
	leaves := int64(24)
	golden.Check(t, "bodies.txt", golden.Codec{Encode: json.Marshal, Decode: json.Unmarshal}, []golden.Case{
		{Name: "job", Value: &job},
		{Name: "heartbeat", Value: &Beat{TargetService: "service", Address: "address", Zone: "zone", ConfigVersion: "version", Slots: 21, State: "state",
			ColdLeftMs: 22, FreeRoom: Room{CPUUnits: 31, MemMb: 32, GPUs: 33}, Labels: []string{"label"}, ClockMs: 23, LeavesAtMs: &leaves, CallSeq: 25}},
		{Name: "start", Value: &Start{TaskID: "task", RunID: 41, JobSpec: "spec", UntilMs: 42, FenceNumber: 43, LastCheckpoint: "checkpoint"}},
		{Name: "stop", Value: &Stop{TaskID: "task", RunID: 51, FenceNumber: 52}},
		{Name: "hold", Value: &Hold{UntilMs: 61, FenceNumber: 62, LastSeen: 63, WaitMs: 64}},
		{Name: "clock", Value: &Clock{ClockMs: 71, Reason: "reason"}},
		{Name: "lists", Value: &Lists{ClockMs: 81, Running: [][]any{{"task", 82.0, "checkpoint", 83.0}}, Ended: [][]any{{84.0, "task", 85.0, "done", "checkpoint"}}}},
	})

	golden.Check(t, "rows.txt", golden.Codec{Encode: cbor.Marshal, Decode: cbor.Unmarshal}, []golden.Case{
		{Name: "job", Value: &job},
		{Name: "resources", Value: &Room{CPUUnits: 31, MemMb: 32, GPUs: 33}},
		{Name: "running", Value: &Run{Task: "task", Run: 91, Saved: "checkpoint", Percent: 92}},
		{Name: "ended", Value: &End{N: 93, Task: "task", Run: 94, How: "done", Saved: "checkpoint"}},
	})
	golden.Text(t, "headers.txt", "based-on "+HeadBasedOn+"\ntarget "+HeadTarget+"\ntime-left "+HeadLeft+"\nnot-run "+HeadNotRun+"\nretry "+HeadRetry+"\n")
}
