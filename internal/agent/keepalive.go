package agent

import (
	"context"
	"sort"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/tuning"
)

// runtimeSample is how long a run took, in hundredths of its estimate.
type runtimeSample struct {
	percentOfEstimate int64
	takenAt           time.Time
}

// poll holds what runs and reads the lists.
func (a *Agent) poll(session *runnerSession) time.Duration {
	if session.pollFailures > 0 {
		if remaining := min(time.Duration(session.pollFailures)*50*time.Millisecond, 500*time.Millisecond) - a.now.Sub(session.lastPollAt); remaining > 0 {
			return remaining
		}
	}
	unanswered := session.hasUnansweredCall()
	if session.polling {
		if unanswered && !session.probing {
			// Why beside it: that one was begun before the silence, and may
			// wait for an end.
			a.sendKeepAlive(session, 0, &session.probing)
		}
		return 0
	}
	wait := tuning.RunnerPollWait
	if session.reportsInFlight > 0 && !unanswered {
		// Why not while ends are unacknowledged: the look would return at
		// once with the same ends; only a newer grant is worth it.
		extension := min(session.leaseUntilMs, a.estimatedClockMs(session)+tuning.MaxRunLeaseAhead.Milliseconds()) - session.confirmedUntilMs
		if remaining := tuning.MaxRunLeaseAhead.Milliseconds()/2 - extension; remaining > 0 {
			return max(time.Duration(remaining)*time.Millisecond, 50*time.Millisecond)
		}
		wait = 0
	}
	if len(session.runs) == 0 {
		wait = tuning.RunnerIdlePollWait
	}
	if !session.listed || session.leaseUntilMs > 0 && session.confirmedUntilMs == 0 || unanswered {
		wait = 0
	}
	for _, run := range session.runs {
		if run.phase == runStopped {
			wait = min(wait, 100*time.Millisecond)
		}
		if overdue := a.now.Sub(run.startedAt).Milliseconds() > 3*run.assignment.EstimateMs/2+100; run.phase == runRunning && overdue && !run.assignment.LongRunning {
			// Why sooner: it may stand still, and nothing would end the wait.
			wait = min(wait, tuning.OverdueRunPollWait)
		}
	}
	if session.unansweredCalls > 0 {
		// Why a short look that holds nothing: each hold sent to a runner that
		// may be gone would put off the moment when its work is surely over.
		wait = 0
	}
	a.sendKeepAlive(session, wait, &session.polling)
	return 0
}

// hasUnansweredCall tells whether a call was left without an answer, and no look begun
// since then has come back.
func (session *runnerSession) hasUnansweredCall() bool {
	for _, run := range session.runs {
		if run.unanswered && session.lastCompletePoll <= run.pollAtLastCall {
			return true
		}
	}
	return false
}

// sendKeepAlive makes one look; busy is set while it is under way.
func (a *Agent) sendKeepAlive(session *runnerSession, wait time.Duration, inFlight *bool) {
	request := protocol.KeepAliveRequest{Fence: session.fence, AcknowledgedSequence: session.committedSequence, WaitMs: wait.Milliseconds()}
	// Why short: when the runner falls silent, all that it held is over so
	// much sooner, and a grant is there to prolong it.
	if until := min(session.leaseUntilMs, a.estimatedClockMs(session)+tuning.MaxRunLeaseAhead.Milliseconds()); session.clockMs > 0 && until > session.confirmedUntilMs && session.unansweredCalls == 0 {
		request.LeaseUntilMs = until
		session.longestUntilMs = max(session.longestUntilMs, until)
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
			a.noteResponse(session, response)
			if a.session != session || session.fence != fence {
				return
			}
			a.handleKeepAlive(session, request, poll, response)
		})
	}()
}

// handleKeepAlive compares a runner's lists with what is known here.
func (a *Agent) handleKeepAlive(session *runnerSession, request protocol.KeepAliveRequest, poll uint64, response RunnerResponse) {
	if response.StatusCode != 200 {
		session.pollFailures++
		if response.StatusCode == 409 && response.Run.Reason == "fence" {
			a.registerRunner(session)
		}
		return
	}
	session.pollFailures = 0
	a.noteClock(session, response.Run.ClockMs)
	if request.LeaseUntilMs > session.confirmedUntilMs {
		session.confirmedUntilMs = request.LeaseUntilMs
	}
	if poll < session.lastCompletePoll {
		// Why passed over: a look that was begun later came back before it.
		return
	}
	running := map[string]protocol.RunProgress{}
	for _, listed := range response.KeepAlive.Progress() {
		running[runKey(listed.Task, listed.Run)] = listed
	}
	completions := response.KeepAlive.Completions()
	complete := len(completions) < tuning.MaxCompletionsListed
	var unreported []protocol.Completion
	ended := map[string]bool{}
	for _, completion := range completions {
		ended[runKey(completion.Task, completion.Run)] = true
		session.remember(completion, a.now)
		if completion.Sequence > session.readSequence {
			session.readSequence = completion.Sequence
			unreported = append(unreported, completion)
			a.trace.Record(completion.Task, "end listed", int64(completion.Run), completion.Result)
			if run := session.runs[runKey(completion.Task, completion.Run)]; run != nil && completion.Result == "done" && !run.startedAt.IsZero() && run.assignment.EstimateMs > 0 && run.assignment.Checkpoint == "" {
				session.runtimeSamples = append(session.runtimeSamples, runtimeSample{a.now.Sub(run.startedAt).Milliseconds() * 100 / run.assignment.EstimateMs, a.now})
			}
		}
	}
	var checkpoints []protocol.RunProgress
	for key, listed := range running {
		run := session.runs[key]
		if run == nil {
			// Why kept: the leader will name it, and must not start it twice.
			run = &taskRun{assignment: rpc.Assignment{Task: listed.Task, Run: listed.Run}}
			if session.completed[key] != nil {
				// Why stopped: the state was told that it is over.
				_ = a.log.Log("level", "error", "event", "run.alive", "task", listed.Task, "run", listed.Run)
				run.stopRequested = true
			}
			session.runs[key] = run
		}
		if run.phase == runPending || run.phase == runStarting {
			run.phase = runRunning
		}
		run.missedPolls = 0
		if run.declaredResult != "" {
			_ = a.log.Log("level", "error", "event", "run.alive", "task", listed.Task, "run", listed.Run, "told", run.declaredResult)
			run.phase = runStopping
			continue
		}
		a.trackProgress(session, run, listed)
		if listed.Checkpoint != run.checkpoint {
			run.checkpoint = listed.Checkpoint
			checkpoints = append(checkpoints, listed)
		}
	}
	firstListing := !session.listed && complete
	if complete {
		session.listed, session.lastCompletePoll = true, poll
	}
	for key, run := range session.runs {
		if _, ok := running[key]; ok {
			continue
		}
		if ended[key] {
			delete(session.runs, key)
			continue
		}
		if run.declaredResult != "" {
			continue
		}
		// Why only looks begun after the answer: an older one can't know it.
		if (run.phase == runRunning || run.phase == runStopped) && poll > run.pollAtLastCall && complete {
			run.missedPolls++
			if run.missedPolls >= 2 || run.phase == runStopped {
				a.declareResult(session, run, "stopped")
			}
		}
	}
	if len(unreported) > 0 || len(checkpoints) > 0 {
		a.reportCompletions(session, unreported, len(unreported) > 0 && unreported[0].Sequence == completions[0].Sequence, checkpoints)
	}
	if firstListing {
		_ = a.log.Log("level", "info", "event", "runner.listed", "runner", session.id, "fence", session.fence, "running", len(running), "ended", len(completions))
	}
}

// trackProgress notes how far a run is, and stops one that stands still.
func (a *Agent) trackProgress(session *runnerSession, run *taskRun, listed protocol.RunProgress) {
	if run.startedAt.IsZero() {
		run.startedAt, run.percentChangedAt = a.now, a.now
	}
	if !run.progressSeen {
		// Why kept: a run that resumes begins in its middle.
		run.progressSeen, run.percent, run.firstPercent = true, listed.Percent, listed.Percent
		run.percentChangedAt = a.now
		return
	}
	if listed.Percent != run.percent {
		run.percent, run.percentChangedAt = listed.Percent, a.now
		return
	}
	unchangedFor := a.now.Sub(run.percentChangedAt)
	// Why by its own pace: a slow worker's long task moves a point rarely.
	timePerPercent := run.percentChangedAt.Sub(run.startedAt) / time.Duration(max(run.percent-run.firstPercent, 1))
	if run.percent == run.firstPercent {
		timePerPercent = time.Duration(run.assignment.EstimateMs) * time.Millisecond / 100
	}
	stuckAfter := tuning.StalledRunTimeout
	if run.assignment.Checkpoint != "" {
		// Why more: it makes no progress while it reads its saved text.
		stuckAfter += 2 * time.Duration(a.settings.Bounds.RestoreMs) * time.Millisecond
	}
	if unchangedFor < stuckAfter || unchangedFor < 8*timePerPercent || run.assignment.LongRunning || run.stopRequested || run.assignment.Worker == "" {
		return
	}
	_ = a.log.Log("level", "warn", "event", "run.stuck", "task", listed.Task, "run", listed.Run, "percent", listed.Percent, "still_ms", unchangedFor.Milliseconds())
	run.stopRequested = true
	session.lastStuckAt = a.now
}

// medianRuntime is the middle of how long runs took lately against their estimates.
func (a *Agent) medianRuntime(session *runnerSession) int64 {
	recent := session.runtimeSamples[:0]
	for _, sample := range session.runtimeSamples {
		if a.now.Sub(sample.takenAt) < tuning.SpeedSampleDecay {
			recent = append(recent, sample)
		}
	}
	session.runtimeSamples = recent
	var percents []int64
	for _, sample := range recent {
		percents = append(percents, sample.percentOfEstimate)
	}
	for _, run := range session.runs {
		// Why also what still runs: on a slow worker little ends.
		if run.phase != runRunning || run.startedAt.IsZero() || run.assignment.EstimateMs <= 0 {
			continue
		}
		elapsed := a.now.Sub(run.startedAt).Milliseconds()
		if run.assignment.Checkpoint != "" {
			continue
		}
		if run.percent >= 5 {
			percents = append(percents, run.percentChangedAt.Sub(run.startedAt).Milliseconds()*100/int64(run.percent)*100/run.assignment.EstimateMs)
		} else if elapsed > 2*run.assignment.EstimateMs {
			percents = append(percents, elapsed*100/run.assignment.EstimateMs)
		}
	}
	if len(percents) < 3 {
		return 0
	}
	sort.Slice(percents, func(a, b int) bool { return percents[a] < percents[b] })
	return max(percents[len(percents)/2], 1)
}
