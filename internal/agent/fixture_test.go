package agent

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// testConfig is a configuration with one route, to service s.
const testConfig = `{"configVersion":1,"routeList":[{"name":"a","hostName":"h","pathPrefix":"/p/",` +
	`"kind":"writing","timeoutMs":1000,"targetMs":100,"priority":0,"targetService":"s","maxTries":2,"stretch":1.5}],` +
	`"serviceList":[{"name":"s","guards":true}]}`

// fixture is an agent without its event loop, connected to a state without a replicated log.
type fixture struct {
	t          *testing.T
	mu         sync.Mutex // requests come concurrently
	state      *state.Store
	agent      *Agent
	session    *runnerSession
	dropReport func(*state.ReportCompletions) bool // selects reports that are lost before they reach the state
	reports    int                                 // reports that reached the state
}

// execute applies a command to the state.
func (f *fixture) execute(kind string, c state.Command) state.Outcome {
	return applyCommand(f.state, kind, c)
}

// applyCommand applies one command to a state as its next log entry.
func applyCommand(s *state.Store, kind string, c state.Command) state.Outcome {
	batch := state.Batch{Clock: time.Now().UnixMilli(), Commands: []state.EncodedCommand{state.EncodeCommand(kind, c)}}
	return s.ApplyEntry(s.AppliedIndex+1, transport.Encode(batch))[0]
}

// newFixture returns a fixture with a worker w to which n tasks of job j are allocated as run 1.
func newFixture(t *testing.T, n int) *fixture {
	t.Helper()
	f := &fixture{t: t, state: state.New(state.Limits{JobRetentionMs: 1e6, MaxReplans: 2})}
	f.execute(state.CommandReplaceConfiguration, &state.ReplaceConfiguration{Raw: []byte(testConfig)})
	capacity := protocol.Resources{CPUUnits: 1000, MemoryMB: 1000}
	register := &state.RegisterWorker{ID: "w", Node: "n", Service: "s", Capacity: capacity, LeavesInMs: -1}
	fence := f.execute(state.CommandRegisterWorker, register).Value
	job := protocol.Job{Steps: []protocol.Step{{TaskCount: n, EstimateMs: 100}}}
	f.execute(state.CommandSubmitJob, &state.SubmitJob{Host: "h", Path: "/p/j", ID: "j", Job: job})
	var placements []state.Placement
	for i := range n {
		placements = append(placements, state.Placement{TaskIndex: i, Worker: "w", WorkerVersion: f.state.Workers["w"].Version})
	}
	f.execute(state.CommandApplyPlans, &state.ApplyPlans{Plans: []state.Plan{{Job: "j", Placements: placements}}})
	f.agent = &Agent{log: log.NewNopLogger(), now: time.Now(), trace: tracing.NewRing(64), events: make(chan event, 64), ctx: t.Context()}
	f.agent.callLeader = f.callLeader
	f.session = &runnerSession{id: "w", fence: fence, listed: true, runs: map[string]*taskRun{}}
	f.agent.session = f.session
	return f
}

// callLeader executes a request on the state.
func (f *fixture) callLeader(ctx context.Context, kind string, body any) rpc.Response {
	report, ok := body.(*state.ReportCompletions)
	if ok && f.dropReport != nil && f.dropReport(report) {
		<-ctx.Done()
		return rpc.Response{Code: rpc.CodeTimeout}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var outcome state.Outcome
	switch command := body.(type) {
	case *state.ReportCompletions:
		f.reports++
		outcome = f.execute(state.CommandReportCompletions, command)
	case *state.RegisterWorker:
		outcome = f.execute(state.CommandRegisterWorker, command)
	case *state.ReportEligibility:
		outcome = f.execute(state.CommandReportEligibility, command)
	case *state.SetEligibility:
		outcome = f.execute(state.CommandSetEligibility, command)
	default:
		f.t.Errorf("request %s", kind)
	}
	return rpc.Response{Code: rpc.Code(outcome.Code), Text: outcome.Text, Value: outcome.Value}
}

// handleEvents handles events until all goroutines are blocked and no event is pending.
func (f *fixture) handleEvents() {
	for {
		synctest.Wait()
		select {
		case e := <-f.agent.events:
			f.agent.handle(e)
		default:
			return
		}
	}
}

// assign delivers the assignment that the leader sends for an allocated task.
func (f *fixture) assign(index int) {
	f.agent.handleAssignment(rpc.Assignment{Worker: "w", Fence: f.session.fence, Task: fmt.Sprintf("j.0.0.%d", index), Run: 1, EstimateMs: 100})
}

// listCompletions delivers a poll response that lists these tasks as done, with sequence index + 1.
func (f *fixture) listCompletions(indexes ...int) {
	response := RunnerResponse{StatusCode: 200, KeepAlive: protocol.KeepAliveResponse{ClockMs: 5}}
	for _, i := range indexes {
		response.KeepAlive.Ended = append(response.KeepAlive.Ended, []any{float64(i + 1), fmt.Sprintf("j.0.0.%d", i), float64(1), "done", ""})
	}
	f.session.lastPoll++
	request := protocol.KeepAliveRequest{AcknowledgedSequence: f.session.committedSequence}
	f.agent.handleKeepAlive(f.session, request, f.session.lastPoll, response)
}

// check checks up to which sequence completions are committed and acknowledged, and how many
// allocations are open.
func (f *fixture) check(committed int64, open int) {
	f.t.Helper()
	if w := f.state.Workers["w"]; w.LastCompletion != committed || f.session.committedSequence != committed {
		f.t.Errorf("completions are committed up to %d and acknowledged up to %d, want %d",
			w.LastCompletion, f.session.committedSequence, committed)
	}
	if len(f.state.Allocations) != open {
		f.t.Errorf("%d allocations are open, want %d", len(f.state.Allocations), open)
	}
}

// heartbeat delivers a heartbeat and returns the status of the response, or 0.
func (f *fixture) heartbeat(id, state string, sequence int64) int {
	f.t.Helper()
	request := &heartbeatRequest{id: id, status: make(chan int, 1), heartbeat: protocol.Heartbeat{Service: "s", State: state,
		FreeResources: protocol.Resources{CPUUnits: 1000, MemoryMB: 1000}, Sequence: sequence}}
	f.agent.handle(event{heartbeat: request})
	f.handleEvents()
	return statusOf(request.status)
}

// signOff delivers a sign-off and returns the status of the response, or 0.
func (f *fixture) signOff(id string) int {
	f.t.Helper()
	request := &signOffRequest{id: id, status: make(chan int, 1)}
	f.agent.handle(event{signOff: request})
	f.handleEvents()
	return statusOf(request.status)
}

// statusOf returns the response status, or 0 if there was no response yet.
func statusOf(answers chan int) int {
	select {
	case status := <-answers:
		return status
	default:
		return 0
	}
}

// checkLeavesIn checks the time in ms after which the worker leaves according to the state.
func (f *fixture) checkLeavesIn(id string, wantMs int64) {
	f.t.Helper()
	w := f.state.Workers[id]
	if w == nil || !w.Draining || w.Schedulable() {
		f.t.Fatalf("%s is not leaving: %+v", id, w)
	}
	if left := w.LeavesAt - time.Now().UnixMilli(); left != wantMs {
		f.t.Errorf("%s leaves in %d ms, want %d", id, left, wantMs)
	}
}

// noLeader responds to all requests that no leader is known.
func noLeader(context.Context, string, any) rpc.Response {
	return rpc.Response{Code: rpc.CodeNoLeader}
}

// scriptedRunner is a runner with scripted responses; calls of a path without one get no response.
type scriptedRunner struct {
	mu        sync.Mutex
	responses map[string]RunnerResponse
	calls     []string // path and task of each call
}

// Call records the call and returns the scripted response; without one it blocks until the context
// ends.
func (r *scriptedRunner) Call(ctx context.Context, _, path string, body any) RunnerResponse {
	r.mu.Lock()
	task := ""
	switch b := body.(type) {
	case protocol.StartRequest:
		task = b.TaskID
	case protocol.StopRequest:
		task = b.TaskID
	}
	r.calls = append(r.calls, path+" "+task)
	response, ok := r.responses[path]
	r.mu.Unlock()
	if !ok {
		<-ctx.Done()
	}
	return response
}

// respond sets the response to calls of a path.
func (r *scriptedRunner) respond(path string, response RunnerResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses[path] = response
}

// silence removes the response to calls of a path.
func (r *scriptedRunner) silence(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.responses, path)
}

// count returns the number of calls of a path.
func (r *scriptedRunner) count(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.calls {
		if strings.HasPrefix(m, path) {
			n++
		}
	}
	return n
}

// listRunning returns a poll response that lists these tasks as running, as run 1.
func listRunning(tasks ...string) RunnerResponse {
	response := RunnerResponse{StatusCode: 200, KeepAlive: protocol.KeepAliveResponse{ClockMs: 5}}
	for _, t := range tasks {
		response.KeepAlive.Running = append(response.KeepAlive.Running, []any{t, float64(1), "", float64(10)})
	}
	return response
}

// newFixtureWithRunner returns a fixture of one task with a runner and a long lease.
func newFixtureWithRunner(t *testing.T) (*fixture, *scriptedRunner) {
	t.Helper()
	f := newFixture(t, 1)
	runner := &scriptedRunner{responses: map[string]RunnerResponse{pathKeepAlive: listRunning()}}
	f.agent.runner = runner
	f.session.clockMs, f.session.clockReadAt, f.session.workerLeaseUntilMs, f.session.renewingLease = 1, time.Now(), 1e9, true
	f.session.lastResponseAt = time.Now()
	return f, runner
}

// advance runs the agent for a duration.
func (f *fixture) advance(d time.Duration) {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		f.agent.advance(time.Now())
		synctest.Wait()
		f.handleEvents()
		time.Sleep(5 * time.Millisecond)
	}
}
