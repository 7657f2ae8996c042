package agent

import (
	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
)

// maxCompletionsListed is the maximum number of completions that a runner lists in one response, by
// the protocol; a list of that length may be incomplete.
const maxCompletionsListed = 500

// listing is what a runner listed in its response to a poll.
type listing struct {
	running     map[string]protocol.RunProgress // by runKey
	ended       map[string]bool                 // by runKey
	completions []protocol.Completion
	complete    bool // the list of completions is not truncated
}

// newListing indexes the lists of running and completed runs of a response.
func newListing(response protocol.KeepAliveResponse) listing {
	l := listing{running: map[string]protocol.RunProgress{}, ended: map[string]bool{}, completions: response.Completions()}
	for _, progress := range response.Progress() {
		l.running[runKey(progress.Task, progress.Run)] = progress
	}
	for _, completion := range l.completions {
		l.ended[runKey(completion.Task, completion.Run)] = true
	}
	l.complete = len(l.completions) < maxCompletionsListed
	return l
}

// reconcile compares the runner's lists of running and completed runs with the session: it reports
// new completions and checkpoints, and closes runs that are in neither list.
func (a *Agent) reconcile(session *runnerSession, poll uint64, listed listing) {
	unreported := a.recordCompletions(session, listed.completions)
	checkpoints := a.recordRunning(session, listed.running)
	firstListing := !session.listed && listed.complete
	if listed.complete {
		session.listed, session.lastCompletePoll = true, poll
	}
	a.closeMissing(session, poll, listed)
	if len(unreported) > 0 || len(checkpoints) > 0 {
		startsList := len(unreported) > 0 && unreported[0].Sequence == listed.completions[0].Sequence
		a.reportCompletions(session, unreported, startsList, checkpoints)
	}
	if firstListing {
		_ = a.log.Log("level", "info", "event", "runner.listed", "worker", session.id, "fence", session.fence,
			"running", len(listed.running), "completed", len(listed.completions))
	}
}

// recordCompletions records the listed completions and returns those that were not read before.
func (a *Agent) recordCompletions(session *runnerSession, completions []protocol.Completion) []protocol.Completion {
	var unreported []protocol.Completion
	for _, completion := range completions {
		session.recordCompletion(completion, a.now)
		if completion.Sequence <= session.readSequence {
			continue
		}
		session.readSequence = completion.Sequence
		unreported = append(unreported, completion)
		a.trace.Record(completion.Task, "end listed", int64(completion.Run), completion.Result)
		if run := session.runs[runKey(completion.Task, completion.Run)]; run != nil && completion.Result == protocol.ResultDone {
			session.sampleRuntime(run, a.now)
		}
	}
	return unreported
}

// recordRunning records the progress of the listed runs and returns those with a new checkpoint.
func (a *Agent) recordRunning(session *runnerSession, running map[string]protocol.RunProgress) []protocol.RunProgress {
	var checkpoints []protocol.RunProgress
	for key, progress := range running {
		run := session.runs[key]
		if run == nil {
			run = a.adopt(session, key, progress)
		}
		if run.phase == runPending || run.phase == runStarting {
			run.phase = runRunning
		}
		run.missedPolls = 0
		if run.declaredResult != "" {
			_ = a.log.Log("level", "error", "event", "run.reappeared", "task", progress.Task, "run", progress.Run, "reported", run.declaredResult)
			run.phase = runStopping
			continue
		}
		a.trackProgress(session, run, progress)
		if progress.Checkpoint != run.checkpoint {
			run.checkpoint = progress.Checkpoint
			checkpoints = append(checkpoints, progress)
		}
	}
	return checkpoints
}

// adopt adds a run that the runner lists but that was not assigned under this fence yet, as after a
// restart of the agent: the leader's assignment for it is still to come, and must not start it
// twice. A run that was reported as completed is stopped.
func (a *Agent) adopt(session *runnerSession, key string, progress protocol.RunProgress) *taskRun {
	run := &taskRun{assignment: rpc.Assignment{Task: progress.Task, Run: progress.Run}}
	if session.completed[key] != nil {
		_ = a.log.Log("level", "error", "event", "run.reappeared", "task", progress.Task, "run", progress.Run)
		run.stopRequested = true
	}
	session.runs[key] = run
	return run
}

// closeMissing deletes runs whose completion is listed, and declares runs stopped that are in
// neither the list of running nor that of completed runs.
func (a *Agent) closeMissing(session *runnerSession, poll uint64, listed listing) {
	for key, run := range session.runs {
		if _, ok := listed.running[key]; ok {
			continue
		}
		if listed.ended[key] {
			delete(session.runs, key)
			continue
		}
		if run.declaredResult != "" {
			continue
		}
		// A poll counts only if it was sent after the response to the run's last call: an older one
		// may not include the run.
		if (run.phase == runRunning || run.phase == runStopped) && poll > run.pollAtLastCall && listed.complete {
			run.missedPolls++
			if run.missedPolls >= maxMissedPolls || run.phase == runStopped {
				a.declareResult(session, run, protocol.ResultStopped)
			}
		}
	}
}
