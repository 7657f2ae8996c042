package standin

import (
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"sync"
	"time"

	"tealpond/internal/protocol"
)

// keepAlivePath is the path of the call that renews a lease and polls the lists of runs.
const keepAlivePath = "/-/hold"

// maxLeaseAheadMs is the longest time in ms from now to the end of a lease that a keep-alive sets.
const maxLeaseAheadMs = 10000

// WorkerOptions configure a Worker.
type WorkerOptions struct {
	Node, Service, Zone string
	Seed                int64 // of its clock, and of its late and lost answers
	// Observe is called with each event; it may be nil. It must not call the worker.
	Observe func(WorkerEvent)
	// RunFails reports whether a finished run fails, given its task and the number of runs of the task
	// that fail. If it is nil, no run fails.
	RunFails func(task string, failures int) bool
}

// Worker is a fake of the runner of a worker machine, as the operators' protocol describes it. A
// jobSpec of the form "ms=300 cpu=500 fail=1" sets the duration of a run, its CPU use in thousandths
// of a core, and how many runs of its task fail.
//
// Exported fields may be changed at any time within Update.
type Worker struct {
	mu                 sync.Mutex
	options            WorkerOptions
	Node               string
	Service            string
	Zone               string
	Labels             []string
	Capacity           protocol.Resources
	EnforcesCapacity   bool
	Draining           bool    // its heartbeats report the state "draining"
	Unresponsive       bool    // it answers no calls
	DelayedFraction    float64 // fraction of the requests that are carried out late and not answered
	LostAnswerFraction float64 // fraction of the requests that are carried out but not answered
	Stalled            bool    // runs make no progress
	RejectsStarts      bool    // it answers starts with 503 and keeps sending heartbeats

	incarnation    string
	incarnations   int // number of incarnations so far
	clockStart     time.Time
	clockSlowdown  float64 // factor by which its clock is slower than real time
	fence          int64
	leaseUntil     int64 // on the runner's clock, in ms; 0 without a lease
	acknowledged   int64 // sequence number of the last acknowledged completion
	lastCompletion int64
	runs           map[string]*runnerTask // by taskRunKey
	highestRun     map[string]int         // highest run that was stopped or ended, by task
	completions    []protocol.Completion  // not yet acknowledged
	changed        chan struct{}          // closed at the next completion
	random         *rand.Rand
	started        int // number of runs started since the last ResetStartedRuns
	heartbeatSeq   int64
}

// runnerTask is a run in progress.
type runnerTask struct {
	task      string
	run       int
	spec      string
	duration  time.Duration
	progress  time.Duration
	updatedAt time.Time // when progress was updated
}

func taskRunKey(task string, run int) string { return task + "/" + strconv.Itoa(run) }

// NewWorker returns a worker whose runner is in its first incarnation.
func NewWorker(options WorkerOptions) *Worker {
	w := &Worker{options: options, Node: options.Node, Service: options.Service, Zone: options.Zone, Labels: []string{"a", "r1"},
		Capacity: protocol.Resources{CPUUnits: 8000, MemoryMB: 8000}, EnforcesCapacity: true,
		changed: make(chan struct{}), random: rand.New(rand.NewSource(options.Seed)), clockSlowdown: 1}
	w.startIncarnation()
	return w
}

// record reports an event to WorkerOptions.Observe.
func (w *Worker) record(event WorkerEvent) {
	if w.options.Observe != nil {
		event.Node = w.Node
		w.options.Observe(event)
	}
}

// startIncarnation begins an incarnation without runs and without a fencing token.
func (w *Worker) startIncarnation() {
	w.incarnations++
	w.incarnation = fmt.Sprintf("i-%s-%d", w.Node, w.incarnations)
	w.clockStart = time.Now().Add(-time.Duration(w.random.Intn(100000)) * time.Millisecond)
	w.fence, w.leaseUntil, w.acknowledged, w.lastCompletion = 0, 0, 0, 0
	w.runs, w.highestRun, w.completions = map[string]*runnerTask{}, map[string]int{}, nil
}

// clock returns the time of the runner's monotonic clock, in ms.
func (w *Worker) clock() int64 {
	return int64(float64(time.Since(w.clockStart).Milliseconds()) / w.clockSlowdown)
}

// Update applies a change to the exported fields, which takes effect from now on.
func (w *Worker) Update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	change()
}

// Crash ends the current incarnation with all its runs and begins the next one.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, running := range w.runs {
		w.record(WorkerEvent{Kind: WorkerRunEnded, Incarnation: w.incarnation, Task: running.task, Run: running.run, Outcome: RunCrashed})
	}
	w.record(WorkerEvent{Kind: WorkerCrashed, Incarnation: w.incarnation})
	w.startIncarnation()
}

// advance updates the lease and the runs to the current time. It is called with w.mu held.
func (w *Worker) advance() {
	now := time.Now()
	if w.leaseUntil > 0 && w.clock() > w.leaseUntil {
		for key, running := range w.runs {
			w.finish(key, running, RunLeaseExpired)
		}
		w.record(WorkerEvent{Kind: WorkerLeaseExpired, Incarnation: w.incarnation})
		w.leaseUntil = 0
	}
	for key, running := range w.runs {
		if !w.Stalled {
			running.progress += now.Sub(running.updatedAt)
		}
		running.updatedAt = now
		if running.progress >= running.duration {
			outcome := RunDone
			if w.runFails(running.task, specField(running.spec, "fail")) {
				outcome = RunFailed
			}
			w.finish(key, running, outcome)
		}
	}
}

// runFails reports whether a finished run fails.
func (w *Worker) runFails(task string, failures int) bool {
	return failures > 0 && w.options.RunFails != nil && w.options.RunFails(task, failures)
}

// finish ends a run and adds its completion to the list.
func (w *Worker) finish(key string, ended *runnerTask, outcome string) {
	delete(w.runs, key)
	w.highestRun[ended.task] = max(w.highestRun[ended.task], ended.run)
	w.lastCompletion++
	w.completions = append(w.completions, protocol.Completion{Sequence: w.lastCompletion, Task: ended.task, Run: ended.run, Result: outcome})
	w.record(WorkerEvent{Kind: WorkerRunEnded, Incarnation: w.incarnation, Task: ended.task, Run: ended.run, Outcome: outcome, Completion: w.lastCompletion})
	close(w.changed)
	w.changed = make(chan struct{})
}

// specField returns the number of a named field of a jobSpec, or 0 if there is none.
func specField(spec, name string) int {
	for _, field := range strings.Fields(spec) {
		if value, ok := strings.CutPrefix(field, name+"="); ok {
			n, _ := strconv.Atoi(value)
			return n
		}
	}
	return 0
}

// Heartbeat returns the runner's incarnation and its next heartbeat.
func (w *Worker) Heartbeat() (string, protocol.Heartbeat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.heartbeatSeq++
	heartbeat := protocol.Heartbeat{Service: w.Service, Address: "x:1", Zone: w.Zone, State: "ready", FreeResources: w.Capacity, Labels: w.Labels, ClockMs: w.clock(), Sequence: w.heartbeatSeq}
	if w.Draining {
		heartbeat.State = "draining"
		leavesInMs := int64(5000)
		heartbeat.LeavesInMs = &leavesInMs
	}
	return w.incarnation, heartbeat
}

// Incarnation returns the ID of the runner's current incarnation.
func (w *Worker) Incarnation() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// RunningCount returns the number of runs in progress.
func (w *Worker) RunningCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return len(w.runs)
}

// StartedRuns returns the number of runs that have started since the last call of ResetStartedRuns.
func (w *Worker) StartedRuns() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// ResetStartedRuns resets the count of StartedRuns.
func (w *Worker) ResetStartedRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = 0
}

// SkipIncarnations begins a new incarnation, numbered as if there had been count before it.
func (w *Worker) SkipIncarnations(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnations = count
	w.startIncarnation()
}

// SetClockSlowdown sets the factor by which the runner's clock is slower than real time.
func (w *Worker) SetClockSlowdown(times float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockSlowdown = times
}
