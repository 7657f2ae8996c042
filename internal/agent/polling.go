package agent

import (
	"context"
	"net/http"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/timing"
)

const (
	// runnerPollWait is the waitMs of a poll, which may be at most 2,000 ms.
	runnerPollWait = 900 * time.Millisecond
	// runnerIdlePollWait is the waitMs of a poll while nothing is running.
	runnerIdlePollWait = 2000 * time.Millisecond
	// overdueRunPollWait is the waitMs of a poll while a run exceeds its estimate.
	overdueRunPollWait = 350 * time.Millisecond
	// runnerPollSlack is added to waitMs for the transmission of a poll and its response.
	runnerPollSlack = 300 * time.Millisecond
)

// poll sends keep-alive requests, called polls here: each normally extends the runner's lease and
// reads its lists of running and completed runs. A long poll, which may wait at the runner for a
// completion, is in flight nearly all the time. It returns the time until it must be called again, or 0.
func (a *Agent) poll(session *runnerSession) time.Duration {
	if remaining := session.pollBackoff(a.now); remaining > 0 {
		return remaining
	}
	needsLists := session.needsRunLists()
	if session.polling {
		if needsLists && !session.probing {
			// A second poll is sent concurrently with the first, which started before the call and
			// may still wait for a completion.
			a.sendKeepAlive(session, 0, &session.probing)
		}
		return 0
	}
	if session.reportsInFlight > 0 && !needsLists {
		if pause := session.reportPause(a.now); pause > 0 {
			return pause
		}
	}
	a.sendKeepAlive(session, session.pollWait(a.now, needsLists), &session.polling)
	return 0
}

// pollBackoff returns the time left until the next poll after consecutive failures, which is not
// positive once the next poll is due.
func (s *runnerSession) pollBackoff(now time.Time) time.Duration {
	if s.pollFailures == 0 {
		return 0
	}
	return min(time.Duration(s.pollFailures)*pollRetryStep, pollRetryMax) - now.Sub(s.lastPollAt)
}

// reportPause returns the time to wait before the next poll while completions are being reported.
// The runner would answer a poll at once, with the same completions, so the next one is sent only
// when the runner's lease has to be extended.
func (s *runnerSession) reportPause(now time.Time) time.Duration {
	extensionMs := s.maxRunLeaseUntilMs(now) - s.confirmedRunLeaseUntilMs
	if remainingMs := timing.MaxRunLeaseAhead.Milliseconds()/2 - extensionMs; remainingMs > 0 {
		return max(time.Duration(remainingMs)*time.Millisecond, minReportPause)
	}
	return 0
}

// pollWait returns how long the runner may wait for a completion before it answers the next poll.
// If needsLists is set, the lists of running and completed runs are needed at once.
func (s *runnerSession) pollWait(now time.Time, needsLists bool) time.Duration {
	wait := runnerPollWait
	if s.reportsInFlight > 0 && !needsLists {
		wait = 0
	}
	if len(s.runs) == 0 {
		wait = runnerIdlePollWait
	}
	if !s.listed || s.workerLeaseUntilMs > 0 && s.confirmedRunLeaseUntilMs == 0 || needsLists {
		wait = 0
	}
	for _, run := range s.runs {
		if run.phase == runStopped {
			wait = min(wait, stoppedRunPollWait)
		}
		if run.overdue(now) {
			// The run may be stalled, and then no completion would end the wait.
			wait = min(wait, overdueRunPollWait)
		}
	}
	if s.unansweredCalls > 0 {
		wait = 0
	}
	return wait
}

// needsRunLists reports whether the lists of running and completed runs are needed at once: a call got
// no response, and no poll that was sent since then has returned them.
func (s *runnerSession) needsRunLists() bool {
	for _, run := range s.runs {
		if run.unanswered && s.lastCompletePoll <= run.pollAtLastCall {
			return true
		}
	}
	return false
}

// sendKeepAlive sends one poll; inFlight is set until it returns. The lease of a runner that left
// calls unanswered is not extended: each extension would postpone the time from which its runs have
// certainly ended.
func (a *Agent) sendKeepAlive(session *runnerSession, wait time.Duration, inFlight *bool) {
	request := protocol.KeepAliveRequest{
		Fence:                session.fence,
		AcknowledgedSequence: session.committedSequence,
		WaitMs:               wait.Milliseconds(),
	}
	untilMs := session.maxRunLeaseUntilMs(a.now)
	if session.clockMs > 0 && untilMs > session.confirmedRunLeaseUntilMs && session.unansweredCalls == 0 {
		request.LeaseUntilMs = untilMs
		session.longestRunLeaseUntilMs = max(session.longestRunLeaseUntilMs, untilMs)
	}
	*inFlight, session.lastPollAt = true, a.now
	session.lastPoll++
	poll, fence := session.lastPoll, session.fence
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, wait+runnerPollSlack)
		response := a.runner.Call(ctx, session.id, pathKeepAlive, request)
		cancel()
		a.post(func() {
			*inFlight = false
			session.recordResponse(response, a.now)
			if a.session != session || session.fence != fence {
				return
			}
			a.handleKeepAlive(session, request, poll, response)
		})
	}()
}

// handleKeepAlive handles the response to a poll.
func (a *Agent) handleKeepAlive(session *runnerSession, request protocol.KeepAliveRequest, poll uint64, response RunnerResponse) {
	if response.StatusCode != http.StatusOK {
		session.pollFailures++
		if response.refusedFor(protocol.ReasonStaleFence) {
			a.registerRunner(session)
		}
		return
	}
	session.pollFailures = 0
	session.recordClock(response.Run.ClockMs, a.now)
	session.confirmedRunLeaseUntilMs = max(session.confirmedRunLeaseUntilMs, request.LeaseUntilMs)
	if poll < session.lastCompletePoll {
		// The lists of a newer poll were read already.
		return
	}
	a.reconcile(session, poll, newListing(response.KeepAlive))
}
