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
	// maxCompletedRunsKept is the number of completed runs kept before the agent deletes those that
	// are committed and older than completedRunRetention.
	maxCompletedRunsKept = 512
	// completedRunRetention is the minimum time that a completed run is kept.
	completedRunRetention = 30 * time.Second
)

// completedRun is a run that has ended, with its completion as the runner listed it or, with
// sequence 0, as this agent declared it.
type completedRun struct {
	completion protocol.Completion
	recordedAt time.Time
	reporting  bool // it is being reported again
}

// reportCompletions has the leader commit completions, and checkpoints with them. Completions are
// acknowledged to the runner only once they are committed. startsList says that the first
// completion is also the first of the runner's list.
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
			a.recordCommitted(session, response, committedBefore, fence)
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
			// An earlier report was lost. It is sent again at once, since jobs wait for it.
			if missing := session.unacknowledged(); len(missing) > 0 && missing[0].Sequence == session.committedSequence+1 {
				a.reportCompletions(session, missing, false, nil)
			}
		}
		if session.reportsInFlight == 0 {
			// Completions that are neither being reported nor committed are still in the runner's
			// list and are read again.
			session.readSequence = session.committedSequence
		}
	})
}

// reportCheckpointsAgain has checkpoints whose report got no response or was refused reported with
// the next listing that contains them. A run with a newer checkpoint is skipped.
func (s *runnerSession) reportCheckpointsAgain(checkpoints []protocol.RunProgress) {
	for _, progress := range checkpoints {
		if run := s.runs[runKey(progress.Task, progress.Run)]; run != nil && run.checkpoint == progress.Checkpoint {
			run.checkpoint = ""
		}
	}
}

// recordCommitted records up to which sequence completions are committed. That is the sequence in
// the response, never the last one reported, since an earlier report may have been lost.
func (a *Agent) recordCommitted(session *runnerSession, response rpc.Response, committedBefore, fence int64) {
	if response.Text != "" {
		_ = a.log.Log("level", "error", "event", "completions.mismatched", "worker", session.id, "fence", fence, "error", response.Text)
	}
	if response.Value < committedBefore {
		_ = a.log.Log("level", "error", "event", "completions.mismatched", "worker", session.id, "fence", fence,
			"error", "state holds fewer completions than it reported before",
			"held", response.Value, "acknowledged", committedBefore)
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

// unacknowledged returns the completions that were read and aren't known to be committed, sorted by
// sequence.
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

// reportCompletionAgain reports a completion again after the leader assigned its run again. Usually
// the assignment and the first report crossed in transit; otherwise the run is still open in the
// state, and this report closes it.
func (a *Agent) reportCompletionAgain(session *runnerSession, done *completedRun) {
	if done.completion.Sequence > session.committedSequence || done.reporting {
		// It is being reported, or will be once the runner lists it again.
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
			a.recordCommitted(session, response, committedBefore, fence)
		case fence != session.fence:
			// After a registration under a new fence the leader sends all assignments again.
		case response.Code == rpc.CodeConflict:
			a.registerRunner(session)
		case response.Code != rpc.CodeGone:
			a.reportCompletionAgain(session, done)
		}
	})
}

// recordCompletion records a completion. Old ones are deleted once they are committed, since their
// runs are never assigned again.
func (s *runnerSession) recordCompletion(completion protocol.Completion, now time.Time) {
	if s.completed == nil {
		s.completed = map[string]*completedRun{}
	}
	key := runKey(completion.Task, completion.Run)
	if done := s.completed[key]; done != nil {
		if completion.Sequence > done.completion.Sequence {
			// A listed completion takes precedence over a declared result.
			done.completion = completion
		}
		return
	}
	if len(s.completed) >= maxCompletedRunsKept {
		for otherKey, done := range s.completed {
			if now.Sub(done.recordedAt) > completedRunRetention && done.completion.Sequence <= s.committedSequence {
				delete(s.completed, otherKey)
			}
		}
	}
	s.completed[key] = &completedRun{completion: completion, recordedAt: now}
}

// declareResult closes a run that the runner's lists will never contain, with a result that the
// agent determines. It is final: the run is never started again under this fence, since a report
// that got no response may still be committed later.
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
			a.recordCommitted(session, response, committedBefore, fence)
			session.recordCompletion(completion, a.now)
			delete(session.runs, key)
		case rpc.CodeConflict:
			a.registerRunner(session)
		}
	})
	return 0
}
