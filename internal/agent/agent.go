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
	"tealpond/internal/tracing"
	"tealpond/internal/tuning"
)

// event is an input of the side daemon's loop.
type event struct {
	heartbeat  *heartbeatRequest
	signOff    *signOffRequest
	assignment *rpc.Assignment
	renew      bool
	callback   func()
}

// heartbeatRequest is a heartbeat with the channel for its answer.
type heartbeatRequest struct {
	id        string
	heartbeat protocol.Heartbeat
	status    chan int
}

// signOffRequest is a sign-off with the channel for its answer.
type signOffRequest struct {
	id     string
	status chan int
}

// Agent is the plug's state; only its loop touches it.
type Agent struct {
	settings      settings.File
	log           log.Logger
	process       string
	events        chan event
	discovery     *discovery.Client
	runner        RunnerClient
	callLeader    func(x context.Context, kind string, body any) rpc.Response // asks the leader
	trace         *tracing.Ring
	session       *runnerSession
	signOff       map[string]time.Time // lives that signed off, and when they leave
	over          map[string]bool      // lives that are over for the state or the runner
	callsInFlight int
	appliedIndex  uint64 // the newest state that an answer spoke of
	ctx           context.Context
	now           time.Time
}

// runKey names one run of a task.
func runKey(task string, run int) string { return task + "/" + strconv.Itoa(run) }

// newAgent builds a side daemon that turns to the leader through a seeker.
func newAgent(env daemon.Environment, runner RunnerClient) *Agent {
	a := &Agent{settings: env.Settings, log: env.Log, process: env.Incarnation, events: make(chan event, 1024), runner: runner, trace: env.Trace}
	a.discovery = discovery.NewClient(discovery.Options{Seeds: env.Settings.SeedAddresses(), PreferAggregator: true,
		OnAssignment: func(assignment rpc.Assignment) { a.events <- event{assignment: &assignment} },
		OnConnected:  func() { go func() { a.events <- event{renew: true} }() }})
	a.callLeader = a.discovery.Call
	return a
}

// post runs f in the loop; f tells what came of a call.
func (a *Agent) post(callback func()) {
	select {
	case a.events <- event{callback: callback}:
	case <-a.ctx.Done():
	}
}

// handle handles one input of the loop.
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

// requestLeader carries an ask to the leader and brings the answer into the loop.
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

// advance brings everything on that is due; it returns when to come back.
func (a *Agent) advance(now time.Time) time.Duration {
	a.now = now
	session := a.session
	if session == nil || session.superseded {
		return 0
	}
	if session.fence == 0 || session.registering {
		if !session.registering && now.Sub(session.lastRenewalAt) > tuning.LeaseRenewInterval {
			a.registerRunner(session)
		}
		return tuning.LeaseRenewInterval
	}
	wake := tuning.LeaseRenewInterval
	if !session.renewingLease && (session.lastRenewalAt.IsZero() || now.Sub(session.lastRenewalAt) >= tuning.LeaseRenewInterval) {
		a.renewLease(session)
	} else if !session.renewingLease {
		wake = min(wake, max(tuning.LeaseRenewInterval-now.Sub(session.lastRenewalAt), time.Millisecond))
	}
	if session.fence == 0 {
		return wake
	}
	if delay := a.poll(session); delay > 0 && delay < wake {
		wake = delay
	}
	if delay := a.superviseHealth(session); delay > 0 && delay < wake {
		wake = delay
	}
	for _, run := range session.runs {
		if delay := a.reportDeclared(session, run); delay > 0 && delay < wake {
			wake = delay
		}
	}
	if session.listed && !a.runnerSilent(session) {
		for key, run := range session.runs {
			if delay := a.advanceRun(session, key, run); delay > 0 && delay < wake {
				wake = delay
			}
		}
	}
	return wake
}
