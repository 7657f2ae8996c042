package simulation

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tealpond/internal/agent"
	"tealpond/internal/protocol"
)

// keepAlivePath is the protocol's path for renewing a lease and polling the lists.
const keepAlivePath = "/-/hold"

// maxLeaseAheadMs is how far ahead a lease may lie that a runner accepts.
const maxLeaseAheadMs = 10000

// Runner is a stand-in for a runner, by the operators' protocol. A jobSpec of the form
// "ms=300 cpu=500 fail=1" gives a run's duration, the thousandths of a core that it
// uses, and how many runs of its task fail. What is called and run goes into a History.
//
// Exported fields may be changed at any time, by update.
type Runner struct {
	mu               sync.Mutex
	history          *History
	Node             string
	Service          string
	Zone             string
	Labels           []string
	Capacity         protocol.Resources
	EnforcesCapacity bool
	Draining         bool    // it says so in its heartbeats
	Silent           bool    // it answers nothing
	LateFraction     float64 // part of the requests carried out late, without an answer
	LostAnswers      float64 // part of the requests that are carried out and whose answers are lost
	Stalled          bool    // tasks make no progress
	RejectsStarts    bool    // it answers starts with 503, and its heartbeats go on

	incarnation    string
	incarnations   int // so far
	clockStart     time.Time
	clockSlowdown  float64 // how many times as slow as time its clock runs
	fence          int64
	leaseUntil     int64 // on the runner's clock, in ms; 0 if there is no lease
	acknowledged   int64 // the last completion that was acknowledged
	lastCompletion int64
	runs           map[string]*runnerTask // by taskRunKey
	highestRun     map[string]int         // that stopped or ended, by task
	completions    []protocol.Completion  // not acknowledged yet
	changed        chan struct{}          // closed at the next completion
	random         *rand.Rand
	started        int // runs
	heartbeatSeq   int64
}

// runnerTask is a run under way.
type runnerTask struct {
	task      string
	run       int
	spec      string
	duration  time.Duration
	progress  time.Duration
	updatedAt time.Time // when progress was
}

func taskRunKey(task string, run int) string { return task + "/" + strconv.Itoa(run) }

// NewRunner makes a runner in its first incarnation.
func NewRunner(history *History, node, service string, seed int64) *Runner {
	runner := &Runner{history: history, Node: node, Service: service, Zone: "z", Labels: []string{"a", "r1"}, Capacity: protocol.Resources{CPUUnits: 8000, MemoryMB: 8000}, EnforcesCapacity: true,
		changed: make(chan struct{}), random: rand.New(rand.NewSource(seed)), clockSlowdown: 1}
	runner.startIncarnation()
	return runner
}

// startIncarnation begins an incarnation that runs nothing and knows no fence.
func (runner *Runner) startIncarnation() {
	runner.incarnations++
	runner.incarnation = fmt.Sprintf("i-%s-%d", runner.Node, runner.incarnations)
	runner.clockStart = time.Now().Add(-time.Duration(runner.random.Intn(100000)) * time.Millisecond)
	runner.fence, runner.leaseUntil, runner.acknowledged, runner.lastCompletion = 0, 0, 0, 0
	runner.runs, runner.highestRun, runner.completions = map[string]*runnerTask{}, map[string]int{}, nil
}

// clock is the runner's monotonic clock, in ms.
func (runner *Runner) clock() int64 {
	return int64(float64(time.Since(runner.clockStart).Milliseconds()) / runner.clockSlowdown)
}

// update changes how the runner behaves from now on.
func (runner *Runner) update(change func()) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.advance()
	change()
}

// Crash ends this incarnation and begins the next one.
func (runner *Runner) Crash() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.advance()
	for _, running := range runner.runs {
		runner.history.record(Event{Kind: EventRunEnded, Node: runner.Node, Incarnation: runner.incarnation, Task: running.task, Run: running.run, Outcome: runCrashed})
	}
	runner.history.record(Event{Kind: EventCrashed, Node: runner.Node, Incarnation: runner.incarnation})
	runner.startIncarnation()
}

// advance brings runs and the lease up to now. It is called with r.mu held.
func (runner *Runner) advance() {
	now := time.Now()
	if runner.leaseUntil > 0 && runner.clock() > runner.leaseUntil {
		for key, running := range runner.runs {
			runner.finish(key, running, runLapsed)
		}
		runner.history.record(Event{Kind: EventLeaseExpired, Node: runner.Node, Incarnation: runner.incarnation})
		runner.leaseUntil = 0
	}
	for key, running := range runner.runs {
		if !runner.Stalled {
			running.progress += now.Sub(running.updatedAt)
		}
		running.updatedAt = now
		if running.progress >= running.duration {
			outcome := runDone
			if runner.history.failsNow(running.task, specField(running.spec, "fail")) {
				outcome = runFailed
			}
			runner.finish(key, running, outcome)
		}
	}
}

// finish ends a run and lists its end.
func (runner *Runner) finish(key string, ended *runnerTask, outcome string) {
	delete(runner.runs, key)
	runner.highestRun[ended.task] = max(runner.highestRun[ended.task], ended.run)
	runner.lastCompletion++
	runner.completions = append(runner.completions, protocol.Completion{Sequence: runner.lastCompletion, Task: ended.task, Run: ended.run, Result: outcome})
	runner.history.record(Event{Kind: EventRunEnded, Node: runner.Node, Incarnation: runner.incarnation, Task: ended.task, Run: ended.run, Outcome: outcome, Completion: runner.lastCompletion})
	close(runner.changed)
	runner.changed = make(chan struct{})
}

// specField is the number that a jobSpec gives for a name, or 0.
func specField(spec, name string) int {
	for _, field := range strings.Fields(spec) {
		if value, ok := strings.CutPrefix(field, name+"="); ok {
			n, _ := strconv.Atoi(value)
			return n
		}
	}
	return 0
}

// Call makes a call to the runner, as an agent does over the runner's port. The path is
// that of the protocol; incarnation is the one that the agent believes to be there.
func (runner *Runner) Call(ctx context.Context, incarnation, path string, body any) agent.RunnerResponse {
	runner.mu.Lock()
	if start, ok := body.(protocol.StartRequest); ok {
		runner.history.record(Event{Kind: EventStartRequested, Node: runner.Node, Incarnation: incarnation, Task: start.TaskID, Run: start.RunID})
	}
	if runner.Silent {
		runner.mu.Unlock()
		<-ctx.Done()
		return agent.RunnerResponse{}
	}
	if path != keepAlivePath && runner.random.Float64() < runner.LateFraction {
		delay := time.Duration(2000+runner.random.Intn(10000)) * time.Millisecond
		runner.mu.Unlock()
		go func() {
			time.Sleep(delay)
			runner.mu.Lock()
			runner.handle(incarnation, body)
			runner.mu.Unlock()
		}()
		<-ctx.Done()
		return agent.RunnerResponse{}
	}
	if path != keepAlivePath && runner.random.Float64() < runner.LostAnswers {
		runner.handle(incarnation, body)
		runner.mu.Unlock()
		<-ctx.Done()
		return agent.RunnerResponse{}
	}
	defer runner.mu.Unlock()
	if poll, ok := body.(protocol.KeepAliveRequest); ok {
		return runner.keepAlive(ctx, incarnation, poll)
	}
	return runner.handle(incarnation, body)
}

// accept is the response to a request that was carried out.
func (runner *Runner) accept() agent.RunnerResponse {
	return agent.RunnerResponse{StatusCode: http.StatusOK, Run: protocol.RunResponse{ClockMs: runner.clock()}}
}

// reject is the response to a request that is refused for a reason of the protocol.
func (runner *Runner) reject(reason string) agent.RunnerResponse {
	return agent.RunnerResponse{StatusCode: http.StatusConflict, Run: protocol.RunResponse{ClockMs: runner.clock(), Reason: reason}}
}

// handle carries out a start or a stop. It is called with r.mu held.
func (runner *Runner) handle(incarnation string, body any) agent.RunnerResponse {
	runner.advance()
	if incarnation != runner.incarnation {
		return agent.RunnerResponse{StatusCode: http.StatusMisdirectedRequest}
	}
	switch request := body.(type) {
	case protocol.StartRequest:
		return runner.start(request)
	case protocol.StopRequest:
		return runner.stop(request)
	}
	return runner.accept()
}

func (runner *Runner) start(request protocol.StartRequest) agent.RunnerResponse {
	if runner.RejectsStarts {
		return agent.RunnerResponse{StatusCode: http.StatusServiceUnavailable}
	}
	if request.Fence < runner.fence {
		return runner.reject("fence")
	}
	runner.fence = request.Fence
	if request.LeaseUntilMs <= runner.clock() {
		return runner.reject("late")
	}
	runner.leaseUntil = max(runner.leaseUntil, request.LeaseUntilMs)
	key := taskRunKey(request.TaskID, request.RunID)
	if runner.runs[key] != nil {
		return runner.accept()
	}
	cpu := int64(specField(request.Spec, "cpu"))
	for _, running := range runner.runs {
		cpu += int64(specField(running.spec, "cpu"))
	}
	if cpu > runner.Capacity.CPUUnits && runner.EnforcesCapacity {
		// This comes before the check for an old run: the protocol names no order,
		// and a refusal for room must not be taken for "it never ran here".
		return runner.reject("room")
	}
	if request.RunID <= runner.highestRun[request.TaskID] {
		return runner.reject("old")
	}
	runner.runs[key] = &runnerTask{task: request.TaskID, run: request.RunID, spec: request.Spec, duration: time.Duration(specField(request.Spec, "ms")) * time.Millisecond, updatedAt: time.Now()}
	runner.history.record(Event{Kind: EventRunStarted, Node: runner.Node, Incarnation: runner.incarnation, Task: request.TaskID, Run: request.RunID, JobSpec: request.Spec, CPUInUse: cpu, CPUCapacity: runner.Capacity.CPUUnits, EnforcesCapacity: runner.EnforcesCapacity})
	runner.started++
	go runner.advanceAfter(runner.runs[key].duration)
	return runner.accept()
}

func (runner *Runner) stop(request protocol.StopRequest) agent.RunnerResponse {
	if request.Fence < runner.fence {
		return runner.reject("fence")
	}
	runner.fence = request.Fence
	key := taskRunKey(request.TaskID, request.RunID)
	if running := runner.runs[key]; running != nil {
		runner.finish(key, running, runStopped)
	}
	runner.highestRun[request.TaskID] = max(runner.highestRun[request.TaskID], request.RunID)
	return runner.accept()
}

// advanceAfter advances the runner when a run should be over, so that its end is seen
// in time.
func (runner *Runner) advanceAfter(d time.Duration) {
	time.Sleep(d)
	runner.mu.Lock()
	runner.advance()
	runner.mu.Unlock()
}

// keepAlive renews the lease, takes acknowledgements, and gives the lists of runs once
// there are completions or the poll's time is up. It is called and returns with r.mu
// held, and lets go of it while it waits.
func (runner *Runner) keepAlive(ctx context.Context, incarnation string, poll protocol.KeepAliveRequest) agent.RunnerResponse {
	runner.advance()
	if incarnation != runner.incarnation {
		return agent.RunnerResponse{StatusCode: http.StatusMisdirectedRequest}
	}
	if poll.Fence < runner.fence {
		return runner.reject("fence")
	}
	runner.fence = poll.Fence
	if poll.LeaseUntilMs > runner.leaseUntil {
		runner.leaseUntil = min(poll.LeaseUntilMs, runner.clock()+maxLeaseAheadMs)
	}
	runner.acknowledge(poll.AcknowledgedSequence)
	if poll.WaitMs > 0 && len(runner.completions) == 0 {
		changed := runner.changed
		runner.mu.Unlock()
		timer := time.NewTimer(time.Duration(poll.WaitMs) * time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		runner.mu.Lock()
		runner.advance()
		if ctx.Err() != nil || incarnation != runner.incarnation || runner.Silent {
			return agent.RunnerResponse{}
		}
	}
	return runner.lists()
}

// acknowledge drops the completions up to a number from the list.
func (runner *Runner) acknowledge(number int64) {
	if number <= runner.acknowledged {
		return
	}
	for n := runner.acknowledged + 1; n <= number; n++ {
		runner.history.record(Event{Kind: EventAcknowledged, Node: runner.Node, Incarnation: runner.incarnation, Completion: n})
	}
	runner.acknowledged = number
	kept := runner.completions[:0:0]
	for _, completion := range runner.completions {
		if completion.Sequence > number {
			kept = append(kept, completion)
		}
	}
	runner.completions = kept
}

// lists is the response that lists what runs and what has ended.
func (runner *Runner) lists() agent.RunnerResponse {
	response := runner.accept()
	response.KeepAlive.ClockMs = response.Run.ClockMs
	for _, running := range runner.runs {
		percent := min(99, 100*running.progress/max(running.duration, 1))
		response.KeepAlive.Running = append(response.KeepAlive.Running, []any{running.task, float64(running.run), "", float64(percent)})
	}
	for _, completion := range runner.completions {
		runner.history.record(Event{Kind: EventListed, Node: runner.Node, Incarnation: runner.incarnation, Task: completion.Task, Run: completion.Run, Completion: completion.Sequence})
		response.KeepAlive.Ended = append(response.KeepAlive.Ended, []any{float64(completion.Sequence), completion.Task, float64(completion.Run), completion.Result, completion.Checkpoint})
	}
	return response
}

// heartbeat is the runner's next heartbeat, and its incarnation.
func (runner *Runner) heartbeat() (string, protocol.Heartbeat) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.advance()
	runner.heartbeatSeq++
	heartbeat := protocol.Heartbeat{Service: runner.Service, Address: "x:1", Zone: runner.Zone, State: "ready", FreeResources: runner.Capacity, Labels: runner.Labels, ClockMs: runner.clock(), Sequence: runner.heartbeatSeq}
	if runner.Draining {
		heartbeat.State = "draining"
		leavesInMs := int64(5000)
		heartbeat.LeavesInMs = &leavesInMs
	}
	return runner.incarnation, heartbeat
}
