package state

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/protocol"
)

// testConfiguration is the format of a configuration with one route; its argument is the version.
const testConfiguration = `{"configVersion":%d,"routeList":[{"name":"a","hostName":"h","pathPrefix":"/p/",` +
	`"kind":"writing","timeoutMs":1000,"targetMs":100,"priority":0,"targetService":"s","maxTries":2,"stretch":1.5}],` +
	`"serviceList":[{"name":"s","guards":true}]}`

// fixture is a state to which commands are applied in their log encoding.
type fixture struct {
	t     *testing.T
	store *Store
	now   int64 // both clocks
}

// newFixture returns a state with a configuration. Plans with a refused placement are not
// replanned, although other tests of the package link in the scheduler.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	replan := Replan
	Replan = nil
	t.Cleanup(func() { Replan = replan })
	f := newEmptyFixture(t, Limits{JobRetentionMs: 1000, MaxReplans: 2})
	f.apply(&ReplaceConfiguration{Raw: []byte(fmt.Sprintf(testConfiguration, 1))})
	return f
}

// newEmptyFixture returns a state without a configuration.
func newEmptyFixture(t *testing.T, limits Limits) *fixture {
	return &fixture{t: t, store: New(limits)}
}

// restored returns a replica that is restored from a snapshot of the state.
func (f *fixture) restored() *fixture {
	f.t.Helper()
	s, err := DecodeSnapshot(f.store.EncodeSnapshot(), f.store.Limits)
	if err != nil {
		f.t.Fatal(err)
	}
	return &fixture{t: f.t, store: s, now: f.now}
}

// apply applies an entry with one command, 10 ms after the previous entry.
func (f *fixture) apply(c Command) Outcome {
	f.t.Helper()
	f.now += 10
	batch := Batch{Clock: f.now, WallClock: f.now, Commands: []EncodedCommand{EncodeCommand(f.commandName(c), c)}}
	return f.store.ApplyEntry(f.store.AppliedIndex+1, encodeBatch(batch))[0]
}

// commandName returns the name under which a command is registered.
func (f *fixture) commandName(c Command) string {
	f.t.Helper()
	for name, create := range commandConstructors {
		if reflect.TypeOf(create()) == reflect.TypeOf(c) {
			return name
		}
	}
	f.t.Fatalf("%T is not registered", c)
	return ""
}

func encodeBatch(batch Batch) []byte {
	raw, err := cbor.Marshal(batch)
	if err != nil {
		panic(err)
	}
	return raw
}

// addWorker registers a worker on a node of its own.
func (f *fixture) addWorker(id string, capacity protocol.Resources) *Worker {
	f.t.Helper()
	f.apply(&RegisterWorker{ID: id, Node: "n-" + id, Service: "s", Labels: []string{"a", "r1"}, Capacity: capacity, LeavesInMs: -1})
	return f.store.Workers[id]
}

// submit submits a job and fails the test unless it is accepted.
func (f *fixture) submit(id string, steps ...protocol.Step) {
	f.t.Helper()
	if o := f.apply(&SubmitJob{Host: "h", Path: "/p/" + id, ID: id, Job: protocol.Job{Spec: "x", Steps: steps}}); o.Code != CodeOK {
		f.t.Fatalf("the job was refused: %v", o)
	}
}

// placementOn returns a placement of the task with the given index on the current version of
// a worker.
func placementOn(worker *Worker, index int) Placement {
	return Placement{TaskIndex: index, Worker: worker.ID, WorkerVersion: worker.Version}
}

// applyPlan applies a plan for a step of a job's first instance, and returns the number of
// plans that were refused.
func (f *fixture) applyPlan(job string, step int, allOrNothing bool, placements ...Placement) int64 {
	f.t.Helper()
	return f.apply(&ApplyPlans{Plans: []Plan{{Job: job, Step: step, AllOrNothing: allOrNothing, Placements: placements}}}).Value
}

// reportCompletion reports the completion of a run as the first completion of a worker.
func (f *fixture) reportCompletion(worker, task string, run int, result string) {
	f.t.Helper()
	completions := []protocol.Completion{{Sequence: 1, Task: task, Run: run, Result: result}}
	f.apply(&ReportCompletions{Worker: worker, Fence: f.store.Workers[worker].Fence, Completions: completions})
}

// jobStatus returns the status of job j, or an empty string if the job does not exist.
func (f *fixture) jobStatus() string {
	status, _ := f.store.JobStatus("j")
	return status
}
