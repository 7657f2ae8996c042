// Package soak lets the built program serve clients as real processes on this machine
// while signals, restarts, changes of the configuration and of the runners come in series,
// all drawn from one seed, and holds what clients and runners saw against the operators'
// rules. The simulation has neither signals nor a kernel's sockets, nor processes that end
// under their clients. The package serves tests only; no daemon imports it.
package soak

import (
	"sync"
	"syscall"
	"time"

	"tealpond/internal/localcluster"
	"tealpond/internal/standin"
)

// Ending is how a client's request ended.
type Ending string

// The endings of a request.
const (
	EndAnswered Ending = "answered" // with a whole answer of any status
	EndClosed   Ending = "closed"   // the connection was closed before
	EndReset    Ending = "reset"    // the connection was reset before
	EndUnsent   Ending = "unsent"   // the connection ended before the request was sent whole
	EndGaveUp   Ending = "gave up"  // the client waited for longer than it had said
)

// Request is a request as its client saw it.
type Request struct {
	ID     string
	Daemon string
	Kind   string // of its route
	Habit  string // of the client
	Query  string // what it asks of the runner
	// Behind: it was sent while others of its connection were not answered.
	Behind bool
	// SentAt is when its last byte was sent; zero: it was not sent whole.
	SentAt   time.Time
	Deadline time.Time
	EndedAt  time.Time
	Ending   Ending
	Status   int
	// Sealed: the body is the runner's, whole.
	Sealed bool
	Error  string
}

// Action is something that was done to a daemon or a runner.
type Action struct {
	At     time.Time
	Daemon string // empty: it concerns all
	What   string
	Signal syscall.Signal // 0: none was sent
}

// Ledger is all that clients, runners and the schedule did. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	requests []Request
	runs     map[string][]standin.Run // by the request's ID
	actions  []Action
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string][]standin.Run{}} }

// AddRequest records a request that has ended.
func (l *Ledger) AddRequest(request Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, request)
}

// AddRun records a run as it begins, and completes it once it has ended.
func (l *Ledger) AddRun(run standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, known := range l.runs[run.Attempt] {
		if known.Runner == run.Runner && known.BeganAt.Equal(run.BeganAt) {
			l.runs[run.Attempt][i] = run
			return
		}
	}
	l.runs[run.Attempt] = append(l.runs[run.Attempt], run)
}

// AddAction records what was done.
func (l *Ledger) AddAction(action Action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.actions = append(l.actions, action)
}

// Record is a copy of a ledger with the ends of processes, for the checker.
type Record struct {
	Requests []Request
	Runs     map[string][]standin.Run // by the request's ID
	Actions  []Action
	Exits    []localcluster.Exit
}

// Snapshot returns what was recorded so far.
func (l *Ledger) Snapshot(exits []localcluster.Exit) Record {
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
