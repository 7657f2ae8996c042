package agent

import (
	"context"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/tuning"
)

// runPhase is how far a run is, as this daemon sees it.
type runPhase byte

const (
	runPending  = runPhase(iota) // ordered, not yet sent
	runStarting                  // a start is under way
	runRunning                   // an answer or a list says that it is there
	runStopping                  // a stop is to be sent or under way
	runStopped                   // a stop was answered
	runRefused                   // it surely never ran here
)

// taskRun is one run of a task that was ordered, or that the runner lists.
type taskRun struct {
	assignment         rpc.Assignment
	phase              runPhase
	callInFlight       bool // a call is under way
	attempts           int  // calls so far
	unhealthyResponses int  // times the runner was sick
	notBefore          time.Time
	stopRequested      bool
	pollAtLastCall     uint64 // number of the last look begun when its call came back
	unanswered         bool   // that call brought no answer: the lists are read first
	unansweredStarts   int    // starts without an answer: they may still be carried out
	missedPolls        int
	percent            int
	firstPercent       int // when first seen
	progressSeen       bool
	percentChangedAt   time.Time // when percent last changed
	startedAt          time.Time
	checkpoint         string
	declaredResult     string // the end that this daemon told of it; it holds for good
	reporting          bool   // the verdict is on its way to the leader
}

// handleAssignment takes an order of the leader, if it is one of this fence.
func (a *Agent) handleAssignment(assignment rpc.Assignment) {
	session := a.session
	if session == nil || session.id != assignment.Worker || session.fence != assignment.Fence {
		return
	}
	key := runKey(assignment.Task, assignment.Run)
	if done := session.completed[key]; done != nil {
		// Why never started: the runner would turn it away, and that refusal
		// could close the booking before the end does: a done task would run
		// twice.
		a.reportAgain(session, done)
		return
	}
	run := session.runs[key]
	if run == nil {
		run = &taskRun{assignment: assignment}
		session.runs[key] = run
	}
	mark := "start received"
	if assignment.Stop {
		run.stopRequested, mark = true, "stop received"
	}
	a.trace.Record(assignment.Task, mark, int64(assignment.Run), "")
}

// advanceRun brings one run further; it returns when to look at it again.
func (a *Agent) advanceRun(session *runnerSession, key string, run *taskRun) time.Duration {
	if run.callInFlight || run.declaredResult != "" && run.phase != runStopping {
		return 0
	}
	if remaining := run.notBefore.Sub(a.now); remaining > 0 {
		return remaining
	}
	if run.unanswered && session.lastCompletePoll <= run.pollAtLastCall {
		// Why first: it may be there, or over; the next look tells.
		return 0
	}
	if handler := phaseHandlers[run.phase]; handler != nil {
		return handler(a, session, run)
	}
	return 0
}

var phaseHandlers = map[runPhase]func(*Agent, *runnerSession, *taskRun) time.Duration{
	runPending:  (*Agent).startRun,
	runStarting: (*Agent).startRun,
	runRunning:  (*Agent).stopIfRequested,
	runStopping: (*Agent).stopRun,
	runRefused:  (*Agent).settleRefusal,
}

// startRun starts a run, or starts it again, after the pre-order check.
func (a *Agent) startRun(session *runnerSession, run *taskRun) time.Duration {
	if run.stopRequested {
		if run.attempts == 0 {
			a.declareResult(session, run, "refused")
			return 0
		}
		run.phase = runStopping
		return a.stopRun(session, run)
	}
	// The pre-order check: eligibility, grant and lists as of now.
	if session.drainingCommitted || a.leaves(session) {
		if run.attempts == 0 {
			a.declareResult(session, run, "refused")
			return 0
		}
		run.phase = runRefused
		return a.settleRefusal(session, run)
	}
	// Sent again, if the first was left without an answer, under the same
	// conditions: an order of this fence, not stopped, within the grant.
	nowMs := a.estimatedClockMs(session)
	if session.leaseUntilMs < nowMs+300 {
		return 50 * time.Millisecond
	}
	if a.callsInFlight >= tuning.MaxConcurrentRunnerRequests {
		return 0
	}
	untilMs := min(session.leaseUntilMs, nowMs+tuning.MaxRunLeaseAhead.Milliseconds())
	session.longestUntilMs = max(session.longestUntilMs, untilMs)
	run.phase = runStarting
	run.attempts++
	body := protocol.StartRequest{TaskID: run.assignment.Task, RunID: run.assignment.Run, Spec: run.assignment.JobSpec, LeaseUntilMs: untilMs,
		Fence: session.fence, Checkpoint: run.assignment.Checkpoint}
	a.callRunner(session, run, pathStart, body, a.handleStartResponse)
	return 0
}

// callRunner makes one call about a run.
func (a *Agent) callRunner(session *runnerSession, run *taskRun, path string, body any, onResponse func(*runnerSession, *taskRun, RunnerResponse)) {
	run.callInFlight = true
	a.callsInFlight++
	fence := session.fence
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, tuning.RunnerRequestTimeout)
		response := a.runner.Call(ctx, session.id, path, body)
		cancel()
		a.post(func() {
			run.callInFlight = false
			a.callsInFlight--
			a.noteResponse(session, response)
			if a.session != session || session.fence != fence {
				return
			}
			a.noteClock(session, response.Run.ClockMs)
			run.pollAtLastCall = session.lastPoll
			run.unanswered = response.StatusCode == 0 && !callPolicies[path].Retryable
			if response.StatusCode == 421 {
				// Why nothing told: the new life's beat ends the old one.
				run.notBefore = a.now.Add(500 * time.Millisecond)
				return
			}
			onResponse(session, run, response)
		})
	}()
}

// handleStartResponse takes the answer to a start.
func (a *Agent) handleStartResponse(session *runnerSession, run *taskRun, response RunnerResponse) {
	a.trace.Record(run.assignment.Task, "start answered", int64(response.StatusCode), response.Run.Reason)
	if response.effectUnknown() {
		run.unansweredStarts++
	}
	if run.phase != runStarting {
		return
	}
	switch response.StatusCode {
	case 200:
		run.phase, run.missedPolls = runRunning, 0
		if run.startedAt.IsZero() {
			run.startedAt, run.percentChangedAt = a.now, a.now
		}
	case 0:
		run.notBefore = a.now.Add(min(time.Duration(run.attempts)*10*time.Millisecond, 300*time.Millisecond))
	case 409:
		_ = a.log.Log("level", "info", "event", "start.refused", "task", run.assignment.Task, "run", run.assignment.Run, "reason", response.Run.Reason)
		switch response.Run.Reason {
		case "fence":
			a.registerRunner(session)
		case "late":
			run.notBefore = a.now.Add(20 * time.Millisecond)
		case "old":
			// Why as started: it is there or was; the lists will tell.
			run.phase = runRunning
		default:
			run.phase = runRefused
		}
	case 400:
		run.phase = runRefused
	default:
		// 429 and 503 from a sick runner, or what the pages don't name.
		run.unhealthyResponses++
		run.notBefore = a.now.Add(time.Duration(run.unhealthyResponses) * 40 * time.Millisecond)
		if run.unhealthyResponses >= 3 {
			run.phase = runRefused
		}
	}
}

// stopIfRequested stops a run that is to be stopped.
func (a *Agent) stopIfRequested(session *runnerSession, run *taskRun) time.Duration {
	if run.stopRequested {
		run.phase = runStopping
		return a.stopRun(session, run)
	}
	return 0
}

// settleRefusal tells a refusal once no unanswered start can take effect.
func (a *Agent) settleRefusal(session *runnerSession, run *taskRun) time.Duration {
	if run.unansweredStarts == 0 {
		a.declareResult(session, run, "refused")
		return 0
	}
	run.phase = runStopping
	return a.stopRun(session, run)
}

// stopRun stops a run; it is over once a later look doesn't list it.
func (a *Agent) stopRun(session *runnerSession, run *taskRun) time.Duration {
	if a.callsInFlight >= tuning.MaxConcurrentRunnerRequests {
		return 0
	}
	a.callRunner(session, run, pathStop, protocol.StopRequest{TaskID: run.assignment.Task, RunID: run.assignment.Run, Fence: session.fence}, func(session *runnerSession, run *taskRun, response RunnerResponse) {
		switch {
		case response.StatusCode == 200:
			run.phase = runStopped
		case response.StatusCode == 409 && response.Run.Reason == "fence":
			a.registerRunner(session)
		case response.StatusCode == 409:
			run.phase = runStopped
		default:
			run.notBefore = a.now.Add(30 * time.Millisecond)
		}
	})
	return 0
}
