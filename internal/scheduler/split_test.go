package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// splitCluster is a testCluster with eight workers, half of them of service "s" and half of "t",
// whose only route can be changed.
type splitCluster struct {
	*testCluster
	planner Planner
	version int64
}

func newSplitCluster(t *testing.T) *splitCluster {
	t.Helper()
	c := &splitCluster{testCluster: &testCluster{tb: t, store: state.New(state.Limits{MaxReplans: 2, RemoteFactor: 3}), completions: map[string]int64{}}}
	for i := range 8 {
		c.addWorker(i, []string{"s", "t"}[i%2])
	}
	return c
}

// addWorker registers a worker of a service. Its first label is the name of the service.
func (c *splitCluster) addWorker(number int, service string) {
	c.apply(state.CommandRegisterWorker, &state.RegisterWorker{ID: workerID(number), Node: "n" + workerID(number), Service: service, Zone: "z",
		Labels: []string{service, "r1"}, Capacity: protocol.Resources{CPUUnits: 4000, MemoryMB: 8192}, LeavesInMs: -1})
}

// raiseFormat puts the newest format of the state into force.
func (c *splitCluster) raiseFormat() {
	c.apply(state.CommandRaiseFormat, &state.RaiseFormat{Version: state.FormatVersion})
}

// configure replaces the configuration by one in which the route's services are given as JSON fields.
func (c *splitCluster) configure(services string) {
	c.tb.Helper()
	raw := fmt.Sprintf(`{"configVersion":%d,"routeList":[{"name":"a","hostName":"h","pathPrefix":"/p/","kind":"writing","timeoutMs":1000,`+
		`"targetMs":100,"priority":0,%s,"maxTries":2,"stretch":1.5}],"serviceList":[{"name":"s","guards":true},{"name":"t","guards":true}]}`, c.version+1, services)
	if outcome := c.apply(state.CommandReplaceConfiguration, &state.ReplaceConfiguration{BaseVersion: c.version, Raw: []byte(raw)}); outcome.Code != state.CodeOK {
		c.tb.Fatal(outcome)
	}
	c.version++
}

// Services of the route, as JSON fields.
const (
	onlyS      = `"targetService":"s"`
	onlyT      = `"targetService":"t"`
	mostlyS    = `"trafficSplit":[{"targetService":"s","share":90},{"targetService":"t","share":10}]`
	mostlyT    = `"trafficSplit":[{"targetService":"s","share":10},{"targetService":"t","share":90}]`
	tNeverUsed = `"trafficSplit":[{"targetService":"s","share":1},{"targetService":"t","share":0}]`
)

// minRounds is the number of rounds that runToEnd plays at least, so that lasting tasks start again.
const minRounds = 3

// runToEnd plans, and ends all runs with success, until each job is done or, if its tasks last, has
// all of them running. It fails the test for each job that does not get there in many rounds.
func (c *splitCluster) runToEnd() {
	c.tb.Helper()
	for round := range 100 {
		c.advance(100)
		c.planAndBind(&c.planner)
		if round >= minRounds && len(c.stuckJobs()) == 0 {
			return
		}
		for _, id := range sortedAllocations(c.store) {
			if allocation := c.store.Allocations[id]; allocation != nil {
				c.complete(allocation)
			}
		}
	}
	for _, job := range c.stuckJobs() {
		c.tb.Errorf("job %s of service %q is %q and starts no task, with all workers free", job.ID, job.Service, job.Status())
	}
}

// stuckJobs returns the jobs that are neither done nor run all of their lasting tasks.
func (c *splitCluster) stuckJobs() []*state.Job {
	var stuck []*state.Job
	for _, job := range c.store.Jobs {
		lasts := job.Steps[0].LongRunning && job.AllTasksRunning()
		if !lasts && job.Status() != state.StatusDone {
			stuck = append(stuck, job)
		}
	}
	return stuck
}

func sortedAllocations(store *state.Store) []uint64 {
	var ids []uint64
	for id := range store.Allocations {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// twoSteps returns a job whose second step depends on the first. The function changes both steps.
func twoSteps(change func(*protocol.Step)) protocol.Job {
	job := protocol.Job{Spec: "x", Steps: []protocol.Step{
		{TaskCount: 4, CPUUnits: 500, MemoryMB: 64, EstimateMs: 500},
		{TaskCount: 4, CPUUnits: 500, MemoryMB: 64, EstimateMs: 500, DependsOn: []int{0}},
	}}
	for i := range job.Steps {
		change(&job.Steps[i])
	}
	return job
}

// fromPeer is the kind of the jobs that a peer cluster offers.
const fromPeer = "from a peer"

// kindsOfJobs has a job of each kind, by a name for the kind.
var kindsOfJobs = map[string]protocol.Job{
	"plain":       twoSteps(func(*protocol.Step) {}),
	fromPeer:      twoSteps(func(*protocol.Step) {}),
	"gang":        twoSteps(func(step *protocol.Step) { step.Gang = true }),
	"same rack":   twoSteps(func(step *protocol.Step) { step.Gang, step.SameRack = true, true }),
	"apart":       twoSteps(func(step *protocol.Step) { step.MaxPerWorker = 1 }),
	"speculative": twoSteps(func(step *protocol.Step) { step.Speculative = true }),
	"checkpoints": twoSteps(func(step *protocol.Step) { step.Checkpoints = true }),
	"long":        twoSteps(func(step *protocol.Step) { step.EstimateMs = 60_000 }),
	"labels of s": twoSteps(func(step *protocol.Step) { step.RequiredLabels = protocol.Labels{"s"} }),
	"lasting":     {Spec: "x", Steps: []protocol.Step{{TaskCount: 1, CPUUnits: 500, MemoryMB: 64, LongRunning: true}}},
	"periodic":    {Spec: "x", PeriodicInstances: 3, FirstRunMs: 1, IntervalMs: 300, Steps: twoSteps(func(*protocol.Step) {}).Steps},
}

// submitJob submits a job of a kind and returns its ID.
func (c *splitCluster) submitJob(kind string) string {
	c.tb.Helper()
	c.submitted++
	id := fmt.Sprintf("%016x", c.submitted)
	if kind == fromPeer {
		c.apply(state.CommandLendCapacity, &state.LendCapacity{ID: "loan", Peer: "peer", Service: "s", MilliCPU: 16000, MinMilliCPU: 1, DurationMs: 1 << 40, Slices: 4, SliceMilliCPU: 4000})
		if outcome := c.apply(state.CommandAcceptJob, &state.AcceptJob{Peer: "peer", OfferID: 1, ID: id, Route: "a", Loan: "loan", Job: kindsOfJobs[kind]}); outcome.Code != state.CodeOK {
			c.tb.Fatal(outcome)
		}
		return id
	}
	if outcome := c.apply(state.CommandSubmitJob, &state.SubmitJob{Host: "h", Path: "/p/" + id, ID: id, Job: kindsOfJobs[kind]}); outcome.Code != state.CodeOK {
		c.tb.Fatal(outcome)
	}
	return id
}

// TestJobsOfSplitRouteRun guards against jobs that never start another task once their route has a
// traffic split, whether they were accepted before the change or after it: job.Service was empty.
func TestJobsOfSplitRouteRun(t *testing.T) {
	for kind := range kindsOfJobs {
		for _, changes := range [][]string{
			{onlyS, mostlyS}, {onlyS, mostlyT}, {onlyS, tNeverUsed}, {onlyS, mostlyS, onlyS}, {onlyS, mostlyT, onlyS, mostlyT}, {mostlyS, mostlyT},
		} {
			t.Run(fmt.Sprint(kind, " ", strings.Join(changes, " ")), func(t *testing.T) {
				c := newSplitCluster(t)
				c.raiseFormat()
				for _, services := range changes {
					c.configure(services)
					for range 4 {
						c.submitJob(kind)
					}
					c.planAndBind(&c.planner)
				}
				c.runToEnd()
			})
		}
	}
}
