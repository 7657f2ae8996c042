package agent

import (
	"context"
	"net/http"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
)

// maxConcurrentRunnerRequests is the maximum number of concurrent requests to a runner.
const maxConcurrentRunnerRequests = 4

// runPhase is the state of a run, as far as the agent knows.
type runPhase byte

const (
	runPending  = runPhase(iota) // assigned, no start sent yet
	runStarting                  // a start is in flight, or got no response
	runRunning                   // a response or a list says that it exists
	runStopping                  // a stop is in flight, or to be sent
	runStopped                   // the runner answered a stop
	runRefused                   // the runner refused to start it
)

// taskRun is one run of a task that was assigned, or that the runner lists.
type taskRun struct {
	assignment    rpc.Assignment
	phase         runPhase
	stopRequested bool

	// Calls about the run.
	callInFlight       bool
	attempts           int       // starts sent
	unhealthyResponses int       // responses of an unhealthy runner to starts
	notBefore          time.Time // no call and no report before
	startUntil         time.Time // no start from then on, since the zone is evacuated; zero: not evacuated
	pollAtLastCall     uint64    // number of the last poll sent when the run's last call returned
	unanswered         bool      // that call got no response: the lists are read first
	unansweredStarts   int       // starts whose effect is unknown: they may still take effect

	// What the runner lists about the run.
	missedPolls      int // consecutive complete lists without the run
	percent          int
	firstPercent     int // when first listed
	progressSeen     bool
	percentChangedAt time.Time
	startedAt        time.Time
	checkpoint       string // newest one that was reported and not refused since

	declaredResult string // reported by this agent, without a completion; it is final
	reporting      bool   // the declared result is being reported
}

// handleAssignment handles an assignment, if it is for the current fence.
func (a *Agent) handleAssignment(assignment rpc.Assignment) {
	session := a.session
	if session == nil || session.id != assignment.Worker || session.fence != assignment.Fence {
		return
	}
	key := runKey(assignment.Task, assignment.Run)
	if done := session.completed[key]; done != nil {
		// The run is never started again: the runner would refuse it, and the refusal could close
		// the allocation before the completion does. A task that is done would then run again.
		a.reportCompletionAgain(session, done)
		return
	}
	run := session.runs[key]
	if run == nil {
		run = &taskRun{assignment: assignment}
		session.runs[key] = run
	}
	traceEvent := "start received"
	if assignment.Evacuated {
		run.startUntil = a.now.Add(time.Duration(assignment.StartWithinMs) * time.Millisecond)
	}
	if assignment.Stop {
		run.stopRequested, traceEvent = true, "stop received"
	}
	a.trace.Record(assignment.Task, traceEvent, int64(assignment.Run), "")
}

// advanceRun does the work that is due for a run. It returns the time until it must be called
// again, or 0.
func (a *Agent) advanceRun(session *runnerSession, run *taskRun) time.Duration {
	if run.callInFlight || run.declaredResult != "" && run.phase != runStopping {
		return 0
	}
	if remaining := run.notBefore.Sub(a.now); remaining > 0 {
		return remaining
	}
	if run.unanswered && session.lastCompletePoll <= run.pollAtLastCall {
		// The run may be running, or have ended: the next poll shows which.
		return 0
	}
	switch run.phase {
	case runPending, runStarting:
		return a.startRun(session, run)
	case runRunning:
		return a.stopIfRequested(session, run)
	case runStopping:
		return a.stopRun(session, run)
	case runRefused:
		return a.resolveRefusal(session, run)
	}
	return 0
}

// startsTooLate reports whether the start deadline of a run in an evacuated zone has passed.
func (r *taskRun) startsTooLate(now time.Time) bool {
	return !r.startUntil.IsZero() && !now.Before(r.startUntil)
}

// startRun starts a run, unless it is to be stopped, the runner is leaving, the run's start
// deadline in an evacuated zone has passed, or the lease is too short. A start that got no response
// is sent again under the same conditions.
func (a *Agent) startRun(session *runnerSession, run *taskRun) time.Duration {
	if run.stopRequested {
		if run.attempts == 0 {
			a.declareResult(session, run, protocol.ResultRefused)
			return 0
		}
		run.phase = runStopping
		return a.stopRun(session, run)
	}
	if session.drainingCommitted || a.isLeaving(session) || run.startsTooLate(a.now) {
		if run.attempts == 0 {
			a.declareResult(session, run, protocol.ResultRefused)
			return 0
		}
		run.phase = runRefused
		return a.resolveRefusal(session, run)
	}
	if session.workerLeaseUntilMs < session.estimatedClockMs(a.now)+minStartLeaseMs {
		return leaseWaitPause
	}
	if a.callsInFlight >= maxConcurrentRunnerRequests {
		return 0
	}
	untilMs := session.maxRunLeaseUntilMs(a.now)
	session.longestRunLeaseUntilMs = max(session.longestRunLeaseUntilMs, untilMs)
	run.phase = runStarting
	run.attempts++
	body := protocol.StartRequest{
		TaskID:       run.assignment.Task,
		RunID:        run.assignment.Run,
		Spec:         run.assignment.JobSpec,
		LeaseUntilMs: untilMs,
		Fence:        session.fence,
		Checkpoint:   run.assignment.Checkpoint,
	}
	a.callRunner(session, run, pathStart, body, a.handleStartResponse)
	return 0
}

// callRunner makes one call about a run; onResponse is called in the event loop, unless the session
// or the fence has changed meanwhile.
func (a *Agent) callRunner(
	session *runnerSession, run *taskRun, path string, body any,
	onResponse func(*runnerSession, *taskRun, RunnerResponse),
) {
	run.callInFlight = true
	a.callsInFlight++
	fence := session.fence
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, runnerRequestTimeout)
		response := a.runner.Call(ctx, session.id, path, body)
		cancel()
		a.post(func() {
			run.callInFlight = false
			a.callsInFlight--
			session.recordResponse(response, a.now)
			if a.session != session || session.fence != fence {
				return
			}
			session.recordClock(response.Run.ClockMs, a.now)
			run.pollAtLastCall = session.lastPoll
			run.unanswered = !response.answered() && !callPolicies[path].Retryable
			if response.StatusCode == http.StatusMisdirectedRequest {
				// The runner has a new incarnation. Nothing is reported, since its heartbeat ends
				// the old one with all its runs.
				run.notBefore = a.now.Add(newIncarnationPause)
				return
			}
			onResponse(session, run, response)
		})
	}()
}

// handleStartResponse handles the response to a start.
func (a *Agent) handleStartResponse(session *runnerSession, run *taskRun, response RunnerResponse) {
	a.trace.Record(run.assignment.Task, "start answered", int64(response.StatusCode), response.Run.Reason)
	if response.effectUnknown() {
		run.unansweredStarts++
	}
	if run.phase != runStarting {
		return
	}
	switch response.StatusCode {
	case http.StatusOK:
		run.phase, run.missedPolls = runRunning, 0
		if run.startedAt.IsZero() {
			run.startedAt, run.percentChangedAt = a.now, a.now
		}
	case 0: // no response
		run.notBefore = a.now.Add(min(time.Duration(run.attempts)*startRetryStep, startRetryMax))
	case http.StatusConflict:
		a.handleStartRefusal(session, run, response.Run.Reason)
	case http.StatusBadRequest:
		run.phase = runRefused
	default:
		// 429 and 503 from an unhealthy runner, or a status that the protocol doesn't define.
		run.unhealthyResponses++
		run.notBefore = a.now.Add(time.Duration(run.unhealthyResponses) * unhealthyStartStep)
		if run.unhealthyResponses >= maxUnhealthyStarts {
			run.phase = runRefused
		}
	}
}

// handleStartRefusal handles a runner's refusal to start a run.
func (a *Agent) handleStartRefusal(session *runnerSession, run *taskRun, reason string) {
	_ = a.log.Log("level", "info", "event", "run.start_refused", "task", run.assignment.Task, "run", run.assignment.Run, "reason", reason)
	switch reason {
	case protocol.ReasonStaleFence:
		a.registerRunner(session)
	case protocol.ReasonLeaseEnded:
		run.notBefore = a.now.Add(lateStartPause)
	case protocol.ReasonAlreadyStarted:
		// The run is running, or has ended: the next poll shows which.
		run.phase = runRunning
	default:
		run.phase = runRefused
	}
}

// stopIfRequested stops a run if a stop was requested.
func (a *Agent) stopIfRequested(session *runnerSession, run *taskRun) time.Duration {
	if run.stopRequested {
		run.phase = runStopping
		return a.stopRun(session, run)
	}
	return 0
}

// resolveRefusal declares a run refused if no earlier start can still take effect; otherwise it
// stops the run first.
func (a *Agent) resolveRefusal(session *runnerSession, run *taskRun) time.Duration {
	if run.unansweredStarts == 0 {
		a.declareResult(session, run, protocol.ResultRefused)
		return 0
	}
	run.phase = runStopping
	return a.stopRun(session, run)
}

// stopRun sends a stop; the run has ended once a later poll doesn't list it as running.
func (a *Agent) stopRun(session *runnerSession, run *taskRun) time.Duration {
	if a.callsInFlight >= maxConcurrentRunnerRequests {
		return 0
	}
	body := protocol.StopRequest{TaskID: run.assignment.Task, RunID: run.assignment.Run, Fence: session.fence}
	a.callRunner(session, run, pathStop, body, func(session *runnerSession, run *taskRun, response RunnerResponse) {
		switch {
		case response.refusedFor(protocol.ReasonStaleFence):
			a.registerRunner(session)
		case response.StatusCode == http.StatusOK || response.StatusCode == http.StatusConflict:
			run.phase = runStopped
		default:
			run.notBefore = a.now.Add(stopRetryPause)
		}
	})
	return 0
}
