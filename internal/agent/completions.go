package agent

import (
	"cmp"
	"slices"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/timing"
)

const (
	// maxCompletedRunsKept is the number of completed runs that an agent remembers before it forgets
	// those that are committed and older than completedRunRetention.
	maxCompletedRunsKept = 512
	// completedRunRetention is how long a completed run is remembered at least.
	completedRunRetention = 30 * time.Second
)

// completedRun is a run that has ended: its completion as the runner listed it or,
// with sequence 0, as this daemon declared it.
type completedRun struct {
	completion protocol.Completion
	notedAt    time.Time
	reporting  bool // it is being reported again
}

// reportCompletions has the leader commit completions, which are acknowledged to
// the runner only after that, and checkpoints with them. Callers set startsList if
// the first completion is also the first of the runner's list.
func (a *Agent) reportCompletions(
	session *runnerSession, completions []protocol.Completion, startsList bool, checkpoints []protocol.RunProgress,
) {
	fence, committedBefore := session.fence, session.committedSequence
	if len(completions) > 0 {
		session.reportsInFlight++
	}
	command := &state.ReportCompletions{
		Worker:      session.id,
		Fence:       fence,
		Completions: completions,
		FromOldest:  startsList,
		Checkpoints: checkpoints,
	}
	a.requestLeader(rpc.KindReportCompletions, command, reportTimeout, func(response rpc.Response) {
		if a.session != session {
			return
		}
		if response.Code == rpc.CodeOK {
			a.noteCommitted(session, response, committedBefore, fence)
		}
		if fence != session.fence {
			return
		}
		if len(completions) > 0 {
			session.reportsInFlight--
		}
		if response.Code != rpc.CodeOK {
			session.reportCheckpointsAgain(checkpoints)
		}
		if response.Code == rpc.CodeConflict {
			a.registerRunner(session)
		}
		if response.Code == rpc.CodeOK && len(completions) > 0 && response.Value < completions[len(completions)-1].Sequence {
			// An earlier report was lost on its way. It is sent again at once,
			// since jobs wait for it.
			if missing := session.unacknowledged(); len(missing) > 0 && missing[0].Sequence == session.committedSequence+1 {
				a.reportCompletions(session, missing, false, nil)
			}
		}
		if session.reportsInFlight == 0 {
			// What is no longer being reported, and not committed, is still in
			// the runner's list and is read again.
			session.readSequence = session.committedSequence
		}
	})
}

// reportCheckpointsAgain has checkpoints reported with the next listing that names
// them: their report had no response, or was refused. A run that was saved anew
// meanwhile is left alone.
func (s *runnerSession) reportCheckpointsAgain(checkpoints []protocol.RunProgress) {
	for _, progress := range checkpoints {
		if run := s.runs[runKey(progress.Task, progress.Run)]; run != nil && run.checkpoint == progress.Checkpoint {
			run.checkpoint = ""
		}
	}
}

// noteCommitted records the prefix of completions that is committed. It is
// the one that the response names, never the last one reported, since an earlier
// report may have been lost.
func (a *Agent) noteCommitted(session *runnerSession, response rpc.Response, committedBefore, fence int64) {
	if response.Text != "" {
		_ = a.log.Log("level", "error", "event", "completions.mismatched", "worker", session.id, "fence", fence, "error", response.Text)
	}
	if response.Value < committedBefore {
		_ = a.log.Log("level", "error", "event", "completions.mismatched", "worker", session.id, "fence", fence,
			"error", "the state holds fewer completions than it said before", "held", response.Value, "acknowledged", committedBefore)
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

// unacknowledged are the completions that were read and aren't known to be
// committed, in the order of their sequence.
func (s *runnerSession) unacknowledged() []protocol.Completion {
	var completions []protocol.Completion
	for _, done := range s.completed {
		if done.completion.Sequence > s.committedSequence {
			completions = append(completions, done.completion)
		}
	}
	slices.SortFunc(completions, func(a, b protocol.Completion) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return completions
}

// reportAgain reports a completion once more when the leader assigns its run again.
// Usually the assignment and the first report crossed on their way; otherwise the
// run is still open in the state, and this report closes it.
func (a *Agent) reportAgain(session *runnerSession, done *completedRun) {
	if done.completion.Sequence > session.committedSequence || done.reporting {
		// It is being reported, or will be once it is listed again.
		return
	}
	done.reporting = true
	fence, committedBefore := session.fence, session.committedSequence
	command := &state.ReportCompletions{Worker: session.id, Fence: fence, Completions: []protocol.Completion{done.completion}}
	a.requestLeader(rpc.KindReportCompletions, command, reportTimeout, func(response rpc.Response) {
		done.reporting = false
		if a.session != session {
			return
		}
		switch {
		case response.Code == rpc.CodeOK:
			a.noteCommitted(session, response, committedBefore, fence)
		case fence != session.fence:
			// Under a new fence the leader sends all assignments again.
		case response.Code == rpc.CodeConflict:
			a.registerRunner(session)
		case response.Code != rpc.CodeGone:
			a.reportAgain(session, done)
		}
	})
}

// remember records a completion. Old ones are forgotten once they are
// committed, since their runs are never assigned again.
func (s *runnerSession) remember(completion protocol.Completion, now time.Time) {
	if s.completed == nil {
		s.completed = map[string]*completedRun{}
	}
	key := runKey(completion.Task, completion.Run)
	if done := s.completed[key]; done != nil {
		if completion.Sequence > done.completion.Sequence {
			// The listed completion says how the run ended.
			done.completion = completion
		}
		return
	}
	if len(s.completed) >= maxCompletedRunsKept {
		for otherKey, done := range s.completed {
			if now.Sub(done.notedAt) > completedRunRetention && done.completion.Sequence <= s.committedSequence {
				delete(s.completed, otherKey)
			}
		}
	}
	s.completed[key] = &completedRun{completion: completion, notedAt: now}
}

// declareResult closes a run that the runner's lists will never name, with a result
// that the agent gives. It is final: the run is never started again under this
// fence, since a report that had no response may still be committed later.
func (a *Agent) declareResult(session *runnerSession, run *taskRun, result string) {
	run.declaredResult = result
	a.reportDeclared(session, run)
}

// reportDeclared reports a run's declared result until a response says that it is
// committed. It returns the time until it must be called again, or 0.
func (a *Agent) reportDeclared(session *runnerSession, run *taskRun) time.Duration {
	if run.declaredResult == "" || run.reporting {
		return 0
	}
	if remaining := run.notBefore.Sub(a.now); remaining > 0 {
		return remaining
	}
	run.reporting = true
	key := runKey(run.assignment.Task, run.assignment.Run)
	fence, committedBefore := session.fence, session.committedSequence
	completion := protocol.Completion{Task: run.assignment.Task, Run: run.assignment.Run, Result: run.declaredResult}
	command := &state.ReportCompletions{Worker: session.id, Fence: fence, Completions: []protocol.Completion{completion}}
	a.requestLeader(rpc.KindReportCompletions, command, reportTimeout, func(response rpc.Response) {
		run.reporting = false
		run.notBefore = a.now.Add(timing.LeaseRenewInterval)
		if a.session != session || session.runs[key] != run {
			return
		}
		switch response.Code {
		case rpc.CodeOK:
			a.noteCommitted(session, response, committedBefore, fence)
			session.remember(completion, a.now)
			delete(session.runs, key)
		case rpc.CodeConflict:
			a.registerRunner(session)
		}
	})
	return 0
}
