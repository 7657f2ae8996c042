package agent

import (
	"context"
	"net/http"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/tuning"
)

// poll extends the runner's lease and reads its lists: one poll that may wait for
// a completion is in flight nearly all the time. It gives the time until it is to
// be called again, or 0.
func (a *Agent) poll(session *runnerSession) time.Duration {
	if remaining := session.pollBackoff(a.now); remaining > 0 {
		return remaining
	}
	unanswered := session.hasUnansweredCall()
	if session.polling {
		if unanswered && !session.probing {
			// A second poll is sent beside the first, which began before the
			// call and may still wait for a completion.
			a.sendKeepAlive(session, 0, &session.probing)
		}
		return 0
	}
	if session.reportsInFlight > 0 && !unanswered {
		if pause := session.reportPause(a.now); pause > 0 {
			return pause
		}
	}
	a.sendKeepAlive(session, session.pollWait(a.now, unanswered), &session.polling)
	return 0
}

// pollBackoff is the time left until the next poll after some that failed.
func (s *runnerSession) pollBackoff(now time.Time) time.Duration {
	if s.pollFailures == 0 {
		return 0
	}
	return min(time.Duration(s.pollFailures)*pollRetryStep, pollRetryMax) - now.Sub(s.lastPollAt)
}

// reportPause is the time until a poll is worth it while completions are being
// reported: it would return at once with the same completions, so only a lease
// that is due to be extended makes it useful.
func (s *runnerSession) reportPause(now time.Time) time.Duration {
	extensionMs := s.reachableLeaseMs(now) - s.confirmedUntilMs
	if remainingMs := tuning.MaxRunLeaseAhead.Milliseconds()/2 - extensionMs; remainingMs > 0 {
		return max(time.Duration(remainingMs)*time.Millisecond, minReportPause)
	}
	return 0
}

// pollWait is how long the next poll lets the runner wait for a completion.
// Unanswered tells that a call was left without an answer, so that the lists are
// needed at once.
func (s *runnerSession) pollWait(now time.Time, unanswered bool) time.Duration {
	wait := tuning.RunnerPollWait
	if s.reportsInFlight > 0 && !unanswered {
		wait = 0
	}
	if len(s.runs) == 0 {
		wait = tuning.RunnerIdlePollWait
	}
	if !s.listed || s.leaseUntilMs > 0 && s.confirmedUntilMs == 0 || unanswered {
		wait = 0
	}
	for _, run := range s.runs {
		if run.phase == runStopped {
			wait = min(wait, stoppedRunPollWait)
		}
		if run.overdue(now) {
			// It may stand still, and then nothing would end the wait.
			wait = min(wait, tuning.OverdueRunPollWait)
		}
	}
	if s.unansweredCalls > 0 {
		wait = 0
	}
	return wait
}

// hasUnansweredCall tells whether a call was left without an answer, and no poll
// that was sent since then has brought the lists.
func (s *runnerSession) hasUnansweredCall() bool {
	for _, run := range s.runs {
		if run.unanswered && s.lastCompletePoll <= run.pollAtLastCall {
			return true
		}
	}
	return false
}

// sendKeepAlive sends one poll; inFlight is set until it returns. The lease of a
// runner that left calls without an answer is not extended: each extension would
// put off the moment when its work is surely over.
func (a *Agent) sendKeepAlive(session *runnerSession, wait time.Duration, inFlight *bool) {
	request := protocol.KeepAliveRequest{Fence: session.fence, AcknowledgedSequence: session.committedSequence, WaitMs: wait.Milliseconds()}
	if untilMs := session.reachableLeaseMs(a.now); session.clockMs > 0 && untilMs > session.confirmedUntilMs && session.unansweredCalls == 0 {
		request.LeaseUntilMs = untilMs
		session.longestUntilMs = max(session.longestUntilMs, untilMs)
	}
	*inFlight, session.lastPollAt = true, a.now
	session.lastPoll++
	poll, fence := session.lastPoll, session.fence
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, wait+tuning.RunnerPollSlack)
		response := a.runner.Call(ctx, session.id, pathKeepAlive, request)
		cancel()
		a.post(func() {
			*inFlight = false
			session.noteResponse(response, a.now)
			if a.session != session || session.fence != fence {
				return
			}
			a.handleKeepAlive(session, request, poll, response)
		})
	}()
}

// handleKeepAlive takes the answer to a poll.
func (a *Agent) handleKeepAlive(session *runnerSession, request protocol.KeepAliveRequest, poll uint64, response RunnerResponse) {
	if response.StatusCode != http.StatusOK {
		session.pollFailures++
		if response.refusedFor(protocol.ReasonStaleFence) {
			a.registerRunner(session)
		}
		return
	}
	session.pollFailures = 0
	session.noteClock(response.Run.ClockMs, a.now)
	session.confirmedUntilMs = max(session.confirmedUntilMs, request.LeaseUntilMs)
	if poll < session.lastCompletePoll {
		// A poll that was sent later came back before it.
		return
	}
	a.reconcile(session, poll, newListing(response.KeepAlive))
}
