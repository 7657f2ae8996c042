package simulation

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tealpond/internal/standin"
)

// EventKind tells what a stand-in saw.
type EventKind string

// What runners see. An agent requests a start and the run starts, or not; it ends;
// its end is listed to the agent, which acknowledges it.
const (
	EventStartRequested = EventKind(standin.WorkerStartRequested)
	EventRunStarted     = EventKind(standin.WorkerRunStarted)
	EventRunEnded       = EventKind(standin.WorkerRunEnded)
	EventListed         = EventKind(standin.WorkerEndListed)
	EventAcknowledged   = EventKind(standin.WorkerAcknowledged)
	EventLeaseExpired   = EventKind(standin.WorkerLeaseExpired)
	EventCrashed        = EventKind(standin.WorkerCrashed)
)

// What is seen from outside.
const (
	EventDraining    EventKind = "draining"    // a heartbeat that said so was acknowledged
	EventEvacuated   EventKind = "evacuated"   // an order to evacuate the zone Node was acknowledged
	EventTakenBack   EventKind = "taken back"  // an order to use it again was sent
	EventIsolated    EventKind = "isolated"    // a node lost its majority
	EventReconnected EventKind = "reconnected" // and has it again
	EventJobShown    EventKind = "job shown"   // a client was told a job's state
	// EventLimitChanged: a configuration with another limit of boundTenant, CPUCapacity, was
	// acknowledged if it is lower, or sent if it is higher.
	EventLimitChanged EventKind = "limit changed"
)

// Outcomes of a run, as runners list them, and one for runs lost in a crash.
const (
	runDone    = standin.RunDone
	runFailed  = standin.RunFailed
	runStopped = standin.RunStopped
	runLapsed  = standin.RunLapsed
	runCrashed = standin.RunCrashed
)

// States of a job that the checkers know, as clients are told them.
const (
	jobDone     = "done"
	jobCanceled = "called_off"
	jobFailed   = "failed"
	jobGone     = "410" // the status code for a job that isn't known (any more)
)

// Event is one thing that a stand-in saw. Which fields are set depends on its kind.
type Event struct {
	At               time.Time
	Kind             EventKind
	Node             string
	Incarnation      string // of the runner
	Task             string
	Run              int
	Outcome          string
	Completion       int64 // the sequence number of a run's end
	JobSpec          string
	CPUInUse         int64 // thousandths of a core, the run that starts included
	CPUCapacity      int64
	EnforcesCapacity bool
	Job              string
	State            string
}

// Kinds of calls that operators and clients make.
const (
	CallReplace = "Config.Replace"
	CallRead    = "Config.Read"
	CallSubmit  = "POST job"
	CallStatus  = "GET job"
	CallCancel  = "DELETE job"
)

// Call is one call to one node, as its caller saw it.
type Call struct {
	Sent, Done    time.Time
	Node          string
	Kind          string
	Version       int64 // of the configuration sent or read
	Base          int64
	Text          string // the configuration sent or read, whole
	Invalid       bool   // it must not be accepted
	Code          int    // the status; 0 if there was no answer or it was lost
	HasRetryAfter bool   // the answer said when to come back
	UnknownKey    bool   // it bore a key of no tenant
}

// isFinalRefusal reports whether the answer refuses a call permanently. By the protocol its
// caller doesn't send it again.
func (c Call) isFinalRefusal() bool {
	return c.Code >= 400 && c.Code < 500 && c.Code != http.StatusRequestTimeout && c.Code != http.StatusTooManyRequests
}

// SubmittedJob is a job as its client knows it.
type SubmittedJob struct {
	JobSpec         string
	Cluster         string  // the name of the one that it was submitted to
	Dependencies    [][]int // by step
	TaskCounts      []int   // by step
	MaxAttempts     int
	MilliCPU        []int64   // of one task, by step
	UnknownKey      bool      // it was submitted with a key of no tenant
	AllowsCopies    bool      // of tasks of some step
	Accepted        bool      // some attempt to submit it was accepted
	Rejected        bool      // every attempt was clearly refused
	CancelRequested bool      // a cancel was sent, with whatever answer
	CanceledAt      time.Time // when a cancel was acknowledged; zero if none was
}

// History is what all stand-ins saw, in the order in which they did. Its methods
// may be called by several goroutines.
type History struct {
	mu         sync.Mutex
	Events     []Event
	Calls      []Call
	Jobs       map[string]*SubmittedJob
	failedRuns map[string]int    // so far, by task
	zones      map[string]string // of agents, by node
}

// NewHistory makes an empty history.
func NewHistory() *History {
	return &History{Jobs: map[string]*SubmittedJob{}, failedRuns: map[string]int{}, zones: map[string]string{}}
}

// record adds an event that is seen now.
func (h *History) record(event Event) {
	h.mu.Lock()
	event.At = time.Now()
	h.Events = append(h.Events, event)
	h.mu.Unlock()
}

func (h *History) recordCall(call Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Calls = append(h.Calls, call)
}

// failsNow reports whether a run fails: the first runs of a task do, up to failures.
func (h *History) failsNow(task string, failures int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failedRuns[task] >= failures {
		return false
	}
	h.failedRuns[task]++
	return true
}

// splitTaskID splits a task's name into its job, step and instance. A name of
// another form is all job.
func splitTaskID(task string) (job string, step int, instance string) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, 0, ""
	}
	step, _ = strconv.Atoi(parts[2])
	return parts[0], step, parts[1]
}
