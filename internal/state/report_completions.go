package state

import (
	"strconv"
	"strings"
	"time"

	"tealpond/internal/protocol"
)

// startRefusalExclusion is how long a worker that refused a start gets no new work.
const startRefusalExclusion = 300 * time.Millisecond

// ReportCompletions commits what a worker's agent read from the runner: runs
// that ended, and checkpoints of runs that go on.
//
// A runner numbers its completions from 1. They are accepted as a contiguous
// prefix: one beyond a gap changes nothing and is reported again later. The
// outcome's Value is the last one of that prefix (Worker.LastCompletion): the agent
// may acknowledge completions to the runner, which then forgets them, up to there
// and no further.
//
// A completion of number 0 was made by the agent itself, for a run that the
// runner will never list. It is outside the numbering.
type ReportCompletions struct {
	_           struct{} `cbor:",toarray"`
	Worker      string
	Fence       int64
	Completions []protocol.Completion // as listed, one right after the other
	Checkpoints []protocol.RunProgress
	// FromOldest tells that Completions begins with the oldest one that the
	// runner still has: it has forgotten those with lower numbers permanently.
	FromOldest bool
}

// Faults that an accepted report can show. The outcome's Text begins with one
// of them and goes on with the completions that it is about, or is empty. Agents
// log them: each is a sign of an error in a daemon or a runner.
const (
	// CompletionsLost says that the runner has forgotten completions that were
	// never committed: they were acknowledged too early.
	CompletionsLost = "ends lost"
	// CompletionOfOpenRun says that a run was still allocated though its
	// completion had been committed.
	CompletionOfOpenRun = "acknowledged end of an open run"
	// CompletionOfUnknownRun says that no such run was ever allocated.
	CompletionOfUnknownRun = "end of an unknown run"
)

// Apply ends the runs that completed. The outcome is CodeGone for a worker that
// is unknown or dead and CodeConflict for another fence than the worker's.
func (c *ReportCompletions) Apply(s *Store) Outcome {
	worker := s.Workers[c.Worker]
	if worker == nil || worker.Dead {
		return Outcome{Code: CodeGone}
	}
	if c.Fence != worker.Fence {
		return Outcome{Code: CodeConflict, Text: "fence"}
	}
	for _, progress := range c.Checkpoints {
		if allocation := s.findAllocation(c.Worker, progress.Task, progress.Run); allocation != nil {
			s.saveCheckpoint(allocation, progress.Checkpoint)
		}
	}
	fault := ""
	for _, completion := range c.Completions {
		if completion.Sequence > worker.LastCompletion+1 && !c.FromOldest {
			break
		}
		if found := s.applyCompletion(worker, completion); found != "" {
			fault = found
		}
	}
	return Outcome{Code: CodeOK, Value: worker.LastCompletion, Text: fault}
}

// applyCompletion ends one run. It returns the fault that this shows, if any.
func (s *Store) applyCompletion(worker *Worker, completion protocol.Completion) string {
	fault := ""
	committed := completion.Sequence > 0 && completion.Sequence <= worker.LastCompletion
	if completion.Sequence > worker.LastCompletion+1 {
		fault = CompletionsLost + ": " + strconv.FormatInt(worker.LastCompletion+1, 10) + " to " + strconv.FormatInt(completion.Sequence-1, 10)
	}
	worker.LastCompletion = max(worker.LastCompletion, completion.Sequence)
	allocation := s.findAllocation(worker.ID, completion.Task, completion.Run)
	if allocation == nil {
		if !committed && !s.runWasAllocated(completion.Task, completion.Run) {
			fault = CompletionOfUnknownRun + ": " + runName(completion)
		}
		return fault
	}
	if committed {
		fault = CompletionOfOpenRun + ": " + runName(completion)
	}
	if completion.Result == ResultRefused {
		worker.BackoffUntil = s.Clock + startRefusalExclusion.Milliseconds()
	}
	s.endRun(allocation, completion.Result, completion.Checkpoint)
	return fault
}

func runName(completion protocol.Completion) string {
	return completion.Task + "/" + strconv.Itoa(completion.Run)
}

// findAllocation finds the allocation of a run on a worker, or nil. Both copies
// of a gang's task have the same run number. Of several allocations the oldest is
// chosen, since all replicas must choose the same one.
func (s *Store) findAllocation(worker, task string, run int) *Allocation {
	parts := strings.Split(task, ".")
	if len(parts) != taskNameParts {
		return nil
	}
	matches := func(a *Allocation) bool {
		return a.Run == run && a.Job == parts[0] && strconv.Itoa(a.Instance) == parts[1] &&
			strconv.Itoa(a.Step) == parts[2] && strconv.Itoa(a.TaskIndex) == parts[3]
	}
	var oldest *Allocation
	for _, allocation := range s.allocationsByWorker[worker] {
		if matches(allocation) && (oldest == nil || allocation.ID < oldest.ID) {
			oldest = allocation
		}
	}
	return oldest
}

// runWasAllocated reports whether a run of a task was ever allocated: run numbers
// rise with each allocation. Nothing is known of a job that garbage collection removed.
func (s *Store) runWasAllocated(task string, run int) bool {
	parts := strings.Split(task, ".")
	if len(parts) != taskNameParts || s.Jobs[parts[0]] == nil {
		return false
	}
	var numbers [3]int // of the instance, the step and the task
	for i := range numbers {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil || number < 0 {
			return false
		}
		numbers[i] = number
	}
	instance := s.Jobs[parts[0]].instance(numbers[0])
	if instance == nil || numbers[1] >= len(instance.Steps) || numbers[2] >= len(instance.Steps[numbers[1]].Tasks) {
		return false
	}
	return run <= instance.Steps[numbers[1]].Tasks[numbers[2]].LastRun
}
