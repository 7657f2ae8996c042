package agent

import (
	"sort"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

// completedRun is a run that is over here: its end as listed, or, with N = 0, as
// this daemon told it.
type completedRun struct {
	completion protocol.Completion
	notedAt    time.Time
	reporting  bool // it is being told again
}

// reportCompletions has ends committed before they are acknowledged to the runner;
// first tells that they begin the runner's list.
func (a *Agent) reportCompletions(session *runnerSession, completions []protocol.Completion, startsList bool, checkpoints []protocol.RunProgress) {
	fence, committedBefore := session.fence, session.committedSequence
	if len(completions) > 0 {
		session.reportsInFlight++
	}
	a.requestLeader(rpc.KindReportCompletions, &state.ReportCompletions{Worker: session.id, Fence: fence, Completions: completions, FromOldest: startsList, Checkpoints: checkpoints}, 20*time.Second, func(response rpc.Response) {
		if a.session != session {
			return
		}
		if response.Code == 200 {
			a.noteCommitted(session, response, committedBefore, fence)
		}
		if fence != session.fence {
			return
		}
		if len(completions) > 0 {
			session.reportsInFlight--
		}
		if response.Code == 409 {
			a.registerRunner(session)
		}
		if response.Code == 200 && len(completions) > 0 && response.Value < completions[len(completions)-1].Sequence {
			// Why at once: an earlier end was lost on its way, and jobs wait.
			if missing := session.unacknowledged(); len(missing) > 0 && missing[0].Sequence == session.committedSequence+1 {
				a.reportCompletions(session, missing, false, nil)
			}
		}
		if session.reportsInFlight == 0 {
			// Why read again: what is on its way no more, and not committed,
			// is still in the runner's list.
			session.readSequence = session.committedSequence
		}
	})
}

// noteCommitted takes note of the prefix of ends that the state holds: never the
// top of what was told, since what was told before may be lost.
func (a *Agent) noteCommitted(session *runnerSession, response rpc.Response, committedBefore, fence int64) {
	if response.Text != "" {
		_ = a.log.Log("level", "error", "event", "ends.fault", "runner", session.id, "fence", fence, "why", response.Text)
	}
	if response.Value < committedBefore {
		_ = a.log.Log("level", "error", "event", "ends.fault", "runner", session.id, "fence", fence,
			"why", "the state holds fewer ends than it said before", "held", response.Value, "acknowledged", committedBefore)
	}
	if response.Value <= session.committedSequence {
		return
	}
	for _, done := range session.completed {
		if done.completion.Sequence > session.committedSequence && done.completion.Sequence <= response.Value {
			a.trace.Record(done.completion.Task, "end acknowledged", done.completion.Sequence, "")
		}
	}
	session.committedSequence = response.Value
}

// unacknowledged are the ends that were read and aren't known to be committed.
func (session *runnerSession) unacknowledged() []protocol.Completion {
	var completions []protocol.Completion
	for _, done := range session.completed {
		if done.completion.Sequence > session.committedSequence {
			completions = append(completions, done.completion)
		}
	}
	sort.Slice(completions, func(a, b int) bool { return completions[a].Sequence < completions[b].Sequence })
	return completions
}

// reportAgain answers an order of a run that is over: an order says that the
// state holds it as open. Mostly the two only crossed; if not, it closes it.
func (a *Agent) reportAgain(session *runnerSession, done *completedRun) {
	if done.completion.Sequence > session.committedSequence || done.reporting {
		// Why not: it is on its way, or will be once it is listed again.
		return
	}
	done.reporting = true
	fence, committedBefore := session.fence, session.committedSequence
	a.requestLeader(rpc.KindReportCompletions, &state.ReportCompletions{Worker: session.id, Fence: fence, Completions: []protocol.Completion{done.completion}}, 20*time.Second, func(response rpc.Response) {
		done.reporting = false
		if a.session != session {
			return
		}
		switch {
		case response.Code == 200:
			a.noteCommitted(session, response, committedBefore, fence)
		case fence != session.fence:
			// Why no more: under a new fence all is ordered anew.
		case response.Code == 409:
			a.registerRunner(session)
		case response.Code != 410:
			a.reportAgain(session, done)
		}
	})
}

// remember notes that a run is over; old ones are forgotten once the state
// holds their ends: it then orders them no more.
func (session *runnerSession) remember(completion protocol.Completion, now time.Time) {
	if session.completed == nil {
		session.completed = map[string]*completedRun{}
	}
	key := runKey(completion.Task, completion.Run)
	if done := session.completed[key]; done != nil {
		if completion.Sequence > done.completion.Sequence {
			// Why the listed one: it says how the run ended.
			done.completion = completion
		}
		return
	}
	if len(session.completed) >= tuning.MaxCompletedRunsKept {
		for otherKey, done := range session.completed {
			if now.Sub(done.notedAt) > tuning.CompletedRunRetention && done.completion.Sequence <= session.committedSequence {
				delete(session.completed, otherKey)
			}
		}
	}
	session.completed[key] = &completedRun{completion: completion, notedAt: now}
}

// declareResult has a run closed that the lists will never name. What was told once
// holds: the run is never started again under this fence, since a command that
// brought no answer may be committed at any later time.
func (a *Agent) declareResult(session *runnerSession, run *taskRun, result string) {
	run.declaredResult = result
	a.reportDeclared(session, run)
}

// reportDeclared has a run's verdict committed, again until an answer says that
// it is; it returns when to come back.
func (a *Agent) reportDeclared(session *runnerSession, run *taskRun) time.Duration {
	if run.declaredResult == "" || run.reporting {
		return 0
	}
	if remaining := run.notBefore.Sub(a.now); remaining > 0 {
		return remaining
	}
	run.reporting = true
	fence, committedBefore, key := session.fence, session.committedSequence, runKey(run.assignment.Task, run.assignment.Run)
	completion := protocol.Completion{Task: run.assignment.Task, Run: run.assignment.Run, Result: run.declaredResult}
	a.requestLeader(rpc.KindReportCompletions, &state.ReportCompletions{Worker: session.id, Fence: fence, Completions: []protocol.Completion{completion}}, 20*time.Second, func(response rpc.Response) {
		run.reporting = false
		run.notBefore = a.now.Add(tuning.LeaseRenewInterval)
		if a.session != session || session.runs[key] != run {
			return
		}
		switch response.Code {
		case 200:
			a.noteCommitted(session, response, committedBefore, fence)
			session.remember(completion, a.now)
			delete(session.runs, key)
		case 409:
			a.registerRunner(session)
		}
	})
	return 0
}
