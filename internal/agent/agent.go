package agent

import (
	"context"
	"strconv"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/daemon"
	"tealpond/internal/discovery"
	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/timing"
	"tealpond/internal/tracing"
)

// eventQueueLength is the capacity of the queue of the agent's event loop.
const eventQueueLength = 1024

// event is an input of the agent's event loop; exactly one field is set.
type event struct {
	heartbeat  *heartbeatRequest
	signOff    *signOffRequest
	assignment *rpc.Assignment
	renew      bool // a connection to the leader was established: the lease is renewed at once
	callback   func()
}

// heartbeatRequest is a heartbeat with the channel for the HTTP status of its response.
type heartbeatRequest struct {
	id        string // the runner's incarnation
	heartbeat protocol.Heartbeat
	status    chan int
}

// signOffRequest is a sign-off with the channel for the HTTP status of its response.
type signOffRequest struct {
	id     string // the runner's incarnation
	status chan int
}

// Agent is the agent role. Only its event loop accesses the session.
type Agent struct {
	settings          settings.File
	log               log.Logger
	reload            <-chan settings.File
	processID         string // daemon.Environment.ProcessID
	events            chan event
	discovery         *discovery.Client
	runner            RunnerClient
	callLeader        func(ctx context.Context, kind string, body any) rpc.Response
	trace             *tracing.Ring
	session           *runnerSession   // of the current incarnation; nil: no heartbeat was received yet
	signedOff         incarnationTimes // when incarnations that signed off will leave
	endedIncarnations incarnationTimes // when the end of an incarnation was reported, by the leader or the runner
	callsInFlight     int              // calls to the runner about its runs
	appliedIndex      uint64           // the highest applied log index in the leader's responses
	ctx               context.Context  // the context of Run
	now               time.Time        // when the loop started to handle its current input
}

// New returns an agent that calls its runner with the given client.
func New(env daemon.Environment, runner RunnerClient) *Agent {
	a := &Agent{
		settings:  env.Settings,
		log:       env.Log,
		reload:    env.Reload,
		processID: env.ProcessID,
		events:    make(chan event, eventQueueLength),
		runner:    runner,
		trace:     env.Trace,
	}
	a.discovery = discovery.NewClient(discovery.Options{
		Seeds:            env.Settings.SeedAddresses(),
		PreferAggregator: true,
		OnAssignment:     func(assignment rpc.Assignment) { a.send(event{assignment: &assignment}) },
		OnConnected:      func() { go a.send(event{renew: true}) },
	})
	a.callLeader = a.discovery.Call
	return a
}

// runKey returns the key of one run of a task.
func runKey(task string, run int) string { return task + "/" + strconv.Itoa(run) }

// post has the event loop call a function, such as one that handles the response to a call. It does
// nothing once the agent has stopped.
func (a *Agent) post(callback func()) { a.send(event{callback: callback}) }

// send passes an input to the event loop. It does nothing once the agent has stopped.
func (a *Agent) send(e event) {
	select {
	case a.events <- e:
	case <-a.ctx.Done():
	}
}

// handle handles one input of the event loop.
func (a *Agent) handle(e event) {
	a.now = time.Now()
	switch {
	case e.heartbeat != nil:
		a.handleHeartbeat(e.heartbeat)
	case e.signOff != nil:
		a.handleSignOff(e.signOff)
	case e.assignment != nil:
		a.handleAssignment(*e.assignment)
	case e.renew:
		if a.session != nil {
			a.session.lastRenewalAt = time.Time{}
		}
	case e.callback != nil:
		e.callback()
	}
}

// requestLeader sends a request to the leader; onResponse is called in the event loop.
func (a *Agent) requestLeader(kind string, body any, timeout time.Duration, onResponse func(rpc.Response)) {
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, timeout)
		defer cancel()
		response := a.callLeader(ctx, kind, body)
		a.post(func() {
			a.appliedIndex = max(a.appliedIndex, response.AppliedIndex)
			onResponse(response)
		})
	}()
}

// advance does all work that is due, and returns the time until it must be called again; 0 if there
// is nothing to do before the next input.
func (a *Agent) advance(now time.Time) time.Duration {
	a.now = now
	session := a.session
	if session == nil || session.superseded {
		return 0
	}
	if session.fence == 0 || session.registering {
		if !session.registering && now.Sub(session.lastRenewalAt) > timing.LeaseRenewInterval {
			a.registerRunner(session)
		}
		return timing.LeaseRenewInterval
	}
	wake := timing.LeaseRenewInterval
	atLatest := func(delay time.Duration) {
		if delay > 0 {
			wake = min(wake, delay)
		}
	}
	atLatest(a.renewLeaseIfDue(session))
	atLatest(a.poll(session))
	atLatest(a.superviseHealth(session))
	for _, run := range session.runs {
		atLatest(a.reportDeclared(session, run))
	}
	if session.listed && !session.silent(now) {
		for _, run := range session.runs {
			atLatest(a.advanceRun(session, run))
		}
	}
	return wake
}
