// Package soak runs the program as real processes on this machine that serve clients, while a schedule
// of signals, restarts, configuration changes and runner replacements is executed, all generated from
// one seed. It checks what clients and runners observed against the operators' rules. It covers what
// the simulation lacks: signals, kernel sockets, and processes that end while clients are connected.
// The package serves tests only; no daemon imports it.
package soak

import (
	"sync"
	"syscall"
	"time"

	"tealpond/internal/localcluster"
	"tealpond/internal/standin"
)

// Outcome is the result of a client's request.
type Outcome string

// Outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered"  // the answer was received completely, with any status
	OutcomeClosed   Outcome = "closed"    // the connection was closed before the answer was complete
	OutcomeReset    Outcome = "reset"     // the connection was reset before the answer was complete
	OutcomeUnsent   Outcome = "unsent"    // the connection ended before the request was sent completely
	OutcomeTimedOut Outcome = "timed out" // no answer within requestTimeout after the deadline
)

// Request is a request as its client observed it.
type Request struct {
	ID      string
	Daemon  string
	Kind    string // of its route, or of a call that daemons answer
	Profile string // of the client
	Query   string // processing time and answer size, for the runner
	// Pipelined reports that the request was sent behind others that were not yet answered on its
	// connection.
	Pipelined bool
	// SentAt is when the last byte was sent; zero if the request was not sent completely.
	SentAt   time.Time
	Deadline time.Time
	EndedAt  time.Time
	Outcome  Outcome
	Status   int
	// FromRunner reports that the answer is the complete answer of the runner. It is always set for
	// requests that the daemons answer themselves.
	FromRunner bool
	Error      string
}

// Action is something that the schedule did to a daemon, a runner or the configuration.
type Action struct {
	At     time.Time
	Daemon string // empty if it does not concern a single daemon
	What   string
	Signal syscall.Signal // 0 if none was sent
}

// Recorder records what clients, runners and the schedule did. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	requests []Request
	runs     map[string][]standin.Run // by request ID
	actions  []Action
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{runs: map[string][]standin.Run{}} }

// AddRequest records a request that has ended.
func (l *Recorder) AddRequest(request Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, request)
}

// AddRun records a run when it begins and updates it when it has ended.
func (l *Recorder) AddRun(run standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, known := range l.runs[run.AttemptID] {
		if known.RunnerID == run.RunnerID && known.StartedAt.Equal(run.StartedAt) {
			l.runs[run.AttemptID][i] = run
			return
		}
	}
	l.runs[run.AttemptID] = append(l.runs[run.AttemptID], run)
}

// AddAction records an action.
func (l *Recorder) AddAction(action Action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.actions = append(l.actions, action)
}

// Record is a snapshot of a recorder with the exits of processes, for the checker.
type Record struct {
	Requests []Request
	Runs     map[string][]standin.Run // by request ID
	Actions  []Action
	Exits    []localcluster.Exit
}

// Snapshot returns a copy of what was recorded so far, with the given exits.
func (l *Recorder) Snapshot(exits []localcluster.Exit) Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := Record{
		Requests: append([]Request(nil), l.requests...),
		Runs:     map[string][]standin.Run{},
		Actions:  append([]Action(nil), l.actions...),
		Exits:    exits,
	}
	for id, runs := range l.runs {
		record.Runs[id] = append([]standin.Run(nil), runs...)
	}
	return record
}
