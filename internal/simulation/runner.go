package simulation

import (
	"context"
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"sync"
	"time"

	"tealpond/internal/agent"
	"tealpond/internal/protocol"
)

// Runner is a stand-in for a runner, by the pages of the protocol. What its
// calls and runs were goes into the history that the rules are held against.
type Runner struct {
	mu               sync.Mutex
	history          *History
	Node             string
	Service          string
	Zone             string
	Labels           []string
	Capacity         protocol.Resources
	EnforcesCapacity bool
	incarnation      string
	incarnations     int
	clockStart       time.Time
	clockSlowdown    float64 // its steady clock runs so much slower
	fence            int64
	leaseUntil       int64
	acknowledged     int64
	lastCompletion   int64
	runs             map[string]*runnerTask
	highestRun       map[string]int // the highest run that stopped or ended, by task
	completions      []protocol.Completion
	changed          chan struct{}
	random           *rand.Rand

	Silent        bool    // answers nothing
	LateFraction  float64 // part of the orders carried out late, without an answer
	Stalled       bool    // tasks stand still
	Draining      bool
	RejectsStarts bool // answers starts with 503 and beats on
	started       int
	heartbeatSeq  int64
}

type runnerTask struct {
	task      string
	run       int
	spec      string
	duration  time.Duration
	progress  time.Duration
	updatedAt time.Time
}

// NewRunner builds a runner of one life.
func NewRunner(history *History, node, service string, seed int64) *Runner {
	r := &Runner{history: history, Node: node, Service: service, Zone: "z", Labels: []string{"a", "r1"}, Capacity: protocol.Resources{CPUUnits: 8000, MemoryMB: 8000}, EnforcesCapacity: true,
		changed: make(chan struct{}), random: rand.New(rand.NewSource(seed)), clockSlowdown: 1}
	r.startIncarnation()
	return r
}

func (r *Runner) startIncarnation() {
	r.incarnations++
	r.incarnation = fmt.Sprintf("i-%s-%d", r.Node, r.incarnations)
	r.clockStart = time.Now().Add(-time.Duration(r.random.Intn(100000)) * time.Millisecond)
	r.fence, r.leaseUntil, r.acknowledged, r.lastCompletion = 0, 0, 0, 0
	r.runs, r.highestRun, r.completions = map[string]*runnerTask{}, map[string]int{}, nil
}

func (r *Runner) clock() int64 {
	return int64(float64(time.Since(r.clockStart).Milliseconds()) / r.clockSlowdown)
}

// update changes how the runner behaves from now on.
func (r *Runner) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	change()
}

// Crash ends this life; the next one runs nothing and knows no fence.
func (r *Runner) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	for _, x := range r.runs {
		r.history.record(Event{Kind: "end", Node: r.Node, Incarnation: r.incarnation, Task: x.task, Run: x.run, Outcome: "crashed"})
	}
	r.history.record(Event{Kind: "life", Node: r.Node, Incarnation: r.incarnation})
	r.startIncarnation()
}

// advance brings runs and holds up to now.
func (r *Runner) advance() {
	now := time.Now()
	if r.leaseUntil > 0 && r.clock() > r.leaseUntil {
		for key, running := range r.runs {
			r.finish(key, running, "lapsed")
		}
		r.history.record(Event{Kind: "lapse", Node: r.Node, Incarnation: r.incarnation})
		r.leaseUntil = 0
	}
	for key, running := range r.runs {
		if !r.Stalled {
			running.progress += now.Sub(running.updatedAt)
		}
		running.updatedAt = now
		if running.progress >= running.duration {
			outcome := "done"
			if r.history.failsNow(running.task, specField(running.spec, "fail")) {
				outcome = "failed"
			}
			r.finish(key, running, outcome)
		}
	}
}

func (r *Runner) finish(key string, ended *runnerTask, outcome string) {
	delete(r.runs, key)
	r.highestRun[ended.task] = max(r.highestRun[ended.task], ended.run)
	r.lastCompletion++
	r.completions = append(r.completions, protocol.Completion{Sequence: r.lastCompletion, Task: ended.task, Run: ended.run, Result: outcome})
	r.history.record(Event{Kind: "end", Node: r.Node, Incarnation: r.incarnation, Task: ended.task, Run: ended.run, Outcome: outcome, Completion: r.lastCompletion})
	close(r.changed)
	r.changed = make(chan struct{})
}

// failsNow tells whether a run fails, as the first most of its task do.
func (h *History) failsNow(task string, most int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failedRuns[task] >= most {
		return false
	}
	h.failedRuns[task]++
	return true
}

func specField(spec, name string) int {
	for _, f := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(f, name+"="); ok {
			n, _ := strconv.Atoi(v)
			return n
		}
	}
	return 0
}

// Call is the runner's side of duty_call.
func (r *Runner) Call(ctx context.Context, incarnation, path string, body any) agent.RunnerResponse {
	r.mu.Lock()
	if start, ok := body.(protocol.StartRequest); ok {
		r.history.record(Event{Kind: "order", Node: r.Node, Incarnation: incarnation, Task: start.TaskID, Run: start.RunID})
	}
	if r.Silent {
		r.mu.Unlock()
		<-ctx.Done()
		return agent.RunnerResponse{}
	}
	if path != "/-/hold" && r.random.Float64() < r.LateFraction {
		wait := time.Duration(2000+r.random.Intn(10000)) * time.Millisecond
		r.mu.Unlock()
		go func() {
			time.Sleep(wait)
			r.mu.Lock()
			r.handle(incarnation, path, body)
			r.mu.Unlock()
		}()
		<-ctx.Done()
		return agent.RunnerResponse{}
	}
	defer r.mu.Unlock()
	if poll, ok := body.(protocol.KeepAliveRequest); ok {
		return r.renewAndPoll(ctx, incarnation, poll)
	}
	return r.handle(incarnation, path, body)
}

func (r *Runner) reject(reason string) agent.RunnerResponse {
	return agent.RunnerResponse{StatusCode: 409, Run: protocol.RunResponse{ClockMs: r.clock(), Reason: reason}}
}

func (r *Runner) handle(incarnation, path string, body any) agent.RunnerResponse {
	r.advance()
	if incarnation != r.incarnation {
		return agent.RunnerResponse{StatusCode: 421}
	}
	ok := agent.RunnerResponse{StatusCode: 200, Run: protocol.RunResponse{ClockMs: r.clock()}}
	switch request := body.(type) {
	case protocol.StartRequest:
		if r.RejectsStarts {
			return agent.RunnerResponse{StatusCode: 503}
		}
		if request.Fence < r.fence {
			return r.reject("fence")
		}
		r.fence = request.Fence
		if request.LeaseUntilMs <= r.clock() {
			return r.reject("late")
		}
		r.leaseUntil = max(r.leaseUntil, request.LeaseUntilMs)
		key := request.TaskID + "/" + strconv.Itoa(request.RunID)
		if r.runs[key] != nil {
			return ok
		}
		cpu := int64(specField(request.Spec, "cpu"))
		for _, running := range r.runs {
			cpu += int64(specField(running.spec, "cpu"))
		}
		if cpu > r.Capacity.CPUUnits && r.EnforcesCapacity {
			// Why before what is old: the pages name no order, and a refusal
			// for room must not be taken for "it never ran here".
			return r.reject("room")
		}
		if request.RunID <= r.highestRun[request.TaskID] {
			return r.reject("old")
		}
		r.runs[key] = &runnerTask{task: request.TaskID, run: request.RunID, spec: request.Spec, duration: time.Duration(specField(request.Spec, "ms")) * time.Millisecond, updatedAt: time.Now()}
		r.history.record(Event{Kind: "start", Node: r.Node, Incarnation: r.incarnation, Task: request.TaskID, Run: request.RunID, JobSpec: request.Spec, CPUInUse: cpu, CPUCapacity: r.Capacity.CPUUnits, EnforcesCapacity: r.EnforcesCapacity})
		r.started++
		go r.advanceAfter(r.runs[key].duration)
	case protocol.StopRequest:
		if request.Fence < r.fence {
			return r.reject("fence")
		}
		r.fence = request.Fence
		key := request.TaskID + "/" + strconv.Itoa(request.RunID)
		if running := r.runs[key]; running != nil {
			r.finish(key, running, "stopped")
		}
		r.highestRun[request.TaskID] = max(r.highestRun[request.TaskID], request.RunID)
	}
	return ok
}

// advanceAfter ticks when a run should be over, so that its end is seen in time.
func (r *Runner) advanceAfter(d time.Duration) {
	time.Sleep(d)
	r.mu.Lock()
	r.advance()
	r.mu.Unlock()
}

// renewAndPoll is called and returns with r.mu held.
func (r *Runner) renewAndPoll(ctx context.Context, incarnation string, poll protocol.KeepAliveRequest) agent.RunnerResponse {
	r.advance()
	if incarnation != r.incarnation {
		return agent.RunnerResponse{StatusCode: 421}
	}
	if poll.Fence < r.fence {
		return r.reject("fence")
	}
	r.fence = poll.Fence
	if poll.LeaseUntilMs > r.leaseUntil {
		r.leaseUntil = min(poll.LeaseUntilMs, r.clock()+10000)
	}
	if poll.AcknowledgedSequence > r.acknowledged {
		for n := r.acknowledged + 1; n <= poll.AcknowledgedSequence; n++ {
			r.history.record(Event{Kind: "note", Node: r.Node, Incarnation: r.incarnation, Completion: n})
		}
		r.acknowledged = poll.AcknowledgedSequence
		keep := r.completions[:0:0]
		for _, completion := range r.completions {
			if completion.Sequence > r.acknowledged {
				keep = append(keep, completion)
			}
		}
		r.completions = keep
	}
	if poll.WaitMs > 0 && len(r.completions) == 0 {
		changed := r.changed
		r.mu.Unlock()
		t := time.NewTimer(time.Duration(poll.WaitMs) * time.Millisecond)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		r.mu.Lock()
		r.advance()
		if ctx.Err() != nil || incarnation != r.incarnation || r.Silent {
			return agent.RunnerResponse{}
		}
	}
	out := agent.RunnerResponse{StatusCode: 200}
	out.KeepAlive.ClockMs = r.clock()
	out.Run.ClockMs = r.clock()
	for _, running := range r.runs {
		out.KeepAlive.Running = append(out.KeepAlive.Running, []any{running.task, float64(running.run), "", float64(min(99, 100*running.progress/max(running.duration, 1)))})
	}
	for _, completion := range r.completions {
		r.history.record(Event{Kind: "listed", Node: r.Node, Incarnation: r.incarnation, Task: completion.Task, Run: completion.Run, Completion: completion.Sequence})
		out.KeepAlive.Ended = append(out.KeepAlive.Ended, []any{float64(completion.Sequence), completion.Task, float64(completion.Run), completion.Result, completion.Checkpoint})
	}
	return out
}

// heartbeat is the runner's account of itself.
func (r *Runner) heartbeat() (string, protocol.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	r.heartbeatSeq++
	heartbeat := protocol.Heartbeat{Service: r.Service, Address: "x:1", Zone: r.Zone, State: "ready", FreeResources: r.Capacity, Labels: r.Labels, ClockMs: r.clock(), Sequence: r.heartbeatSeq}
	if r.Draining {
		heartbeat.State = "draining"
		left := int64(5000)
		heartbeat.LeavesInMs = &left
	}
	return r.incarnation, heartbeat
}
