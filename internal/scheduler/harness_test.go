package scheduler

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// testConfiguration has a high-priority route /p/ and a low-priority route /q/.
const testConfiguration = `{"configVersion":1,"routeList":[{"name":"a","hostName":"h","pathPrefix":"/p/","kind":"writing","timeoutMs":1000,"targetMs":100,"priority":0,"targetService":"s","maxTries":9,"stretch":1.5},{"name":"b","hostName":"h","pathPrefix":"/q/","kind":"writing","timeoutMs":1000,"targetMs":100,"priority":2,"targetService":"s","maxTries":9,"stretch":3}],"serviceList":[{"name":"s","guards":true}]}`

// testCluster is a replicated state with workers, seven on each rack. It is changed only by commands,
// as in a real cluster. Its methods call Helper only on failure to stay cheap, since benchmarks use
// them too.
type testCluster struct {
	tb          testing.TB
	store       *state.Store
	clock       int64 // ms
	submitted   int
	completions map[string]int64 // by worker
}

func newTestCluster(tb testing.TB, workers int) *testCluster {
	c := &testCluster{tb: tb, store: state.New(state.Limits{JobRetentionMs: 1000, MaxReplans: 2, RemoteFactor: 3}), completions: map[string]int64{}}
	c.apply(state.CommandReplaceConfiguration, &state.ReplaceConfiguration{Raw: []byte(testConfiguration)})
	for i := range workers {
		c.apply(state.CommandRegisterWorker, &state.RegisterWorker{ID: workerID(i), Node: "n" + workerID(i), Service: "s", Zone: fmt.Sprint("z", i%9),
			Labels: []string{"a", fmt.Sprint("r", i/7)}, Capacity: protocol.Resources{CPUUnits: 16000, MemoryMB: 32768}, LeavesInMs: -1})
	}
	return c
}

func workerID(i int) string { return fmt.Sprintf("i-%06d", i) }

// apply applies a command, 2 ms after the previous one.
func (c *testCluster) apply(name string, command state.Command) state.Outcome {
	c.clock += 2
	raw, err := cbor.Marshal(state.Batch{Clock: c.clock, WallClock: c.clock, Commands: []state.EncodedCommand{state.EncodeCommand(name, command)}})
	if err != nil {
		c.tb.Helper()
		c.tb.Fatal(err)
	}
	return c.store.ApplyEntry(c.store.AppliedIndex+1, raw)[0]
}

// advance moves the clock forward and applies a command, so that the state clock follows.
func (c *testCluster) advance(ms int64) {
	c.clock += ms
	c.apply(state.CommandCollectGarbage, &state.CollectGarbage{})
}

// submit submits a job and returns its ID.
func (c *testCluster) submit(prefix string, steps ...protocol.Step) string {
	c.submitted++
	id := fmt.Sprintf("%016x", c.submitted)
	if outcome := c.apply(state.CommandSubmitJob, &state.SubmitJob{Host: "h", Path: prefix + id, ID: id, Job: protocol.Job{Spec: "x", Steps: steps}}); outcome.Code != state.CodeOK {
		c.tb.Helper()
		c.tb.Fatal(outcome.Text)
	}
	return id
}

// planAndBind applies the planner's plans and returns the number of placements planned.
func (c *testCluster) planAndBind(p *Planner) int {
	plans := p.Plan(c.store)
	if len(plans) > 0 {
		c.apply(state.CommandApplyPlans, &state.ApplyPlans{Plans: plans})
	}
	n := 0
	for _, plan := range plans {
		n += len(plan.Placements)
	}
	return n
}

// complete reports a run as completed successfully.
func (c *testCluster) complete(allocation *state.Allocation) { c.end(allocation, "done") }

// end reports that a run ended with the given result.
func (c *testCluster) end(allocation *state.Allocation, result string) {
	worker := c.store.Workers[allocation.Worker]
	c.completions[allocation.Worker]++
	c.apply(state.CommandReportCompletions, &state.ReportCompletions{Worker: allocation.Worker, Fence: worker.Fence,
		Completions: []protocol.Completion{{Sequence: c.completions[allocation.Worker], Task: allocation.TaskName(), Run: allocation.Run, Result: result}}})
}

func (c *testCluster) anyAllocation() *state.Allocation {
	for _, allocation := range c.store.Allocations {
		return allocation
	}
	return nil
}

// fillWorkers starts runs until there are runsEach per worker on average.
func (c *testCluster) fillWorkers(p *Planner, runsEach float64) {
	target := int(runsEach * float64(len(c.store.Workers)))
	for len(c.store.Allocations) < target {
		n := min(target-len(c.store.Allocations), maxTasksPerPlan)
		c.submit("/p/", protocol.Step{TaskCount: n, CPUUnits: 800, MemoryMB: 900, EstimateMs: 40000})
		c.planAndBind(p)
	}
}
