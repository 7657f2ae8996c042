package simulation

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tealpond/internal/standin"
)

// EventKind is the kind of an event.
type EventKind string

// Events at runners. An agent requests a start; the run starts unless the runner
// rejects it; the run ends; the runner lists the end to the agent, which acknowledges it.
const (
	EventStartRequested = EventKind(standin.WorkerStartRequested)
	EventRunStarted     = EventKind(standin.WorkerRunStarted)
	EventRunEnded       = EventKind(standin.WorkerRunEnded)
	EventListed         = EventKind(standin.WorkerCompletionListed)
	EventAcknowledged   = EventKind(standin.WorkerCompletionAcknowledged)
	EventLeaseExpired   = EventKind(standin.WorkerLeaseExpired)
	EventCrashed        = EventKind(standin.WorkerCrashed)
)

// Events seen by clients, operators and tests.
const (
	EventDraining         EventKind = "draining"    // a heartbeat with the state draining was acknowledged
	EventEvacuated        EventKind = "evacuated"   // the evacuation of the zone Node was acknowledged
	EventEvacuationEnded  EventKind = "taken back"  // an order to end the evacuation of the zone Node was sent
	EventIsolated         EventKind = "isolated"    // a node lost contact with the majority
	EventReconnected      EventKind = "reconnected" // a node is connected to the majority again
	EventJobStateReported EventKind = "job shown"   // a response told a client a job's state
	// EventLimitChanged is a change of limitedTenant's limit to CPUCapacity: a configuration with
	// a lower limit was acknowledged, or one with a higher limit was sent.
	EventLimitChanged EventKind = "limit changed"
)

// Outcomes of a run as listed by runners, and runCrashed for runs that were lost in a crash.
const (
	runDone         = standin.RunDone
	runFailed       = standin.RunFailed
	runStopped      = standin.RunStopped
	runLeaseExpired = standin.RunLeaseExpired
	runCrashed      = standin.RunCrashed
)

// States of a job that the checkers use, as they are reported to clients.
const (
	jobDone     = "done"
	jobCanceled = "called_off"
	jobFailed   = "failed"
	jobGone     = "410" // the status code for a job that is not known, or no longer
)

// Event is one event of a history. Which fields are set depends on its kind.
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
	CPUInUse         int64 // thousandths of a core, including the run that starts
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
	Text          string // the whole configuration that was sent or read
	Invalid       bool   // the configuration must not be accepted
	Code          int    // the status code; 0 if there was no response or it was lost
	HasRetryAfter bool   // the response had a Retry-After header
	UnknownKey    bool   // the API key belongs to no tenant
}

// isFinalRefusal reports whether the response refuses a call permanently. By the protocol the
// caller doesn't retry such a call.
func (c Call) isFinalRefusal() bool {
	return c.Code >= 400 && c.Code < 500 && c.Code != http.StatusRequestTimeout && c.Code != http.StatusTooManyRequests
}

// SubmittedJob is a job as seen by its client.
type SubmittedJob struct {
	JobSpec         string
	Cluster         string  // the name of the cluster that it was submitted to
	Dependencies    [][]int // by step
	TaskCounts      []int   // by step
	MaxAttempts     int
	MilliCPU        []int64   // of one task, by step
	UnknownKey      bool      // the API key belongs to no tenant
	AllowsCopies    bool      // some step allows copies of its tasks
	Accepted        bool      // an attempt to submit it was accepted
	Rejected        bool      // every attempt was refused
	CancelRequested bool      // a cancel was sent, whatever its outcome
	CanceledAt      time.Time // when a cancel was acknowledged; zero if none was
}

// History records the events and calls that all simulated parties observed, in order of
// time. Its methods are safe for concurrent use.
type History struct {
	mu         sync.Mutex
	Events     []Event
	Calls      []Call
	Jobs       map[string]*SubmittedJob
	failedRuns map[string]int    // number of failed runs, by task
	zones      map[string]string // zones of agents, by node
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{Jobs: map[string]*SubmittedJob{}, failedRuns: map[string]int{}, zones: map[string]string{}}
}

// record adds an event with the current time.
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

// runFails reports whether a run of a task is to fail: the first runs do, as many as failures.
func (h *History) runFails(task string, failures int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failedRuns[task] >= failures {
		return false
	}
	h.failedRuns[task]++
	return true
}

// splitTaskID splits a task ID into its job, step and instance. An ID of another form
// is returned as the job.
func splitTaskID(task string) (job string, step int, instance string) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, 0, ""
	}
	step, _ = strconv.Atoi(parts[2])
	return parts[0], step, parts[1]
}
