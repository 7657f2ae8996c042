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

// keepAlivePath is the protocol's path for renewing a lease and polling the lists.
const keepAlivePath = "/-/hold"

// maxLeaseAheadMs is how far ahead a lease may lie that a runner accepts.
const maxLeaseAheadMs = 10000

// WorkerOptions are what a Worker is built from.
type WorkerOptions struct {
	Node, Service, Zone string
	Seed                int64 // of its clock, and of what it does late
	// Observe is notified of each event; nil: nobody is. It must not call the worker.
	Observe func(WorkerEvent)
	// FailsNow reports whether a run of a task fails that may fail so many times.
	FailsNow func(task string, times int) bool
}

// Worker is a stand-in for the runner of a worker machine, by the operators' protocol. A
// jobSpec of the form "ms=300 cpu=500 fail=1" gives a run's duration, the thousandths of a
// core that it uses, and how many runs of its task fail.
//
// Exported fields may be changed at any time, by Update.
type Worker struct {
	mu               sync.Mutex
	options          WorkerOptions
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

// NewWorker makes a worker with a runner in its first incarnation.
func NewWorker(options WorkerOptions) *Worker {
	w := &Worker{options: options, Node: options.Node, Service: options.Service, Zone: options.Zone, Labels: []string{"a", "r1"},
		Capacity: protocol.Resources{CPUUnits: 8000, MemoryMB: 8000}, EnforcesCapacity: true,
		changed: make(chan struct{}), random: rand.New(rand.NewSource(options.Seed)), clockSlowdown: 1}
	w.startIncarnation()
	return w
}

// record tells of an event.
func (w *Worker) record(event WorkerEvent) {
	if w.options.Observe != nil {
		event.Node = w.Node
		w.options.Observe(event)
	}
}

// startIncarnation begins an incarnation that runs nothing and knows no fence.
func (w *Worker) startIncarnation() {
	w.incarnations++
	w.incarnation = fmt.Sprintf("i-%s-%d", w.Node, w.incarnations)
	w.clockStart = time.Now().Add(-time.Duration(w.random.Intn(100000)) * time.Millisecond)
	w.fence, w.leaseUntil, w.acknowledged, w.lastCompletion = 0, 0, 0, 0
	w.runs, w.highestRun, w.completions = map[string]*runnerTask{}, map[string]int{}, nil
}

// clock is the runner's monotonic clock, in ms.
func (w *Worker) clock() int64 {
	return int64(float64(time.Since(w.clockStart).Milliseconds()) / w.clockSlowdown)
}

// Update changes how the runner behaves from now on.
func (w *Worker) Update(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	change()
}

// Crash ends this incarnation and begins the next one.
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

// advance brings runs and the lease up to now. It is called with w.mu held.
func (w *Worker) advance() {
	now := time.Now()
	if w.leaseUntil > 0 && w.clock() > w.leaseUntil {
		for key, running := range w.runs {
			w.finish(key, running, RunLapsed)
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
			if w.failsNow(running.task, specField(running.spec, "fail")) {
				outcome = RunFailed
			}
			w.finish(key, running, outcome)
		}
	}
}

// failsNow reports whether a run that is over has failed.
func (w *Worker) failsNow(task string, times int) bool {
	return times > 0 && w.options.FailsNow != nil && w.options.FailsNow(task, times)
}

// finish ends a run and lists its end.
func (w *Worker) finish(key string, ended *runnerTask, outcome string) {
	delete(w.runs, key)
	w.highestRun[ended.task] = max(w.highestRun[ended.task], ended.run)
	w.lastCompletion++
	w.completions = append(w.completions, protocol.Completion{Sequence: w.lastCompletion, Task: ended.task, Run: ended.run, Result: outcome})
	w.record(WorkerEvent{Kind: WorkerRunEnded, Incarnation: w.incarnation, Task: ended.task, Run: ended.run, Outcome: outcome, Completion: w.lastCompletion})
	close(w.changed)
	w.changed = make(chan struct{})
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

// Heartbeat is the runner's next heartbeat, and its incarnation.
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

// Incarnation is the runner's present one.
func (w *Worker) Incarnation() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// Running is how many runs are under way.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return len(w.runs)
}

// Started is how many runs have started since the last call of ForgetStarted.
func (w *Worker) Started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// ForgetStarted begins to count anew.
func (w *Worker) ForgetStarted() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = 0
}

// SkipIncarnations begins the incarnation behind so many others.
func (w *Worker) SkipIncarnations(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnations = count
	w.startIncarnation()
}

// SetClockSlowdown says how many times as slow as time the runner's clock runs.
func (w *Worker) SetClockSlowdown(times float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockSlowdown = times
}
