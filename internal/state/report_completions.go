package state

import (
	"strconv"
	"strings"
	"time"

	"tealpond/internal/protocol"
)

// startRefusalExclusion is the time for which a worker gets no new work after its runner
// refused to start a run.
const startRefusalExclusion = 300 * time.Millisecond

// ReportCompletions commits what a worker's agent read from the runner: completions of
// runs, and checkpoints of runs that continue.
//
// A runner numbers its completions from 1. They are accepted as a contiguous prefix: a
// completion after a gap is ignored and must be reported again later. The outcome's Value
// is the number of the last accepted completion (Worker.LastCompletion). The agent may
// acknowledge completions to the runner, which then deletes them, only up to this number.
//
// A completion with sequence number 0 was created by the agent itself, for a run that the
// runner will never list. It is not part of the sequence.
type ReportCompletions struct {
	_           struct{} `cbor:",toarray"`
	Worker      string
	Fence       int64
	Completions []protocol.Completion // contiguous, as the runner listed them
	Checkpoints []protocol.RunProgress
	// FromOldest says that Completions begins with the oldest completion that the runner
	// still has: it has permanently deleted those with lower numbers.
	FromOldest bool
}

// Faults that an accepted report can reveal. The outcome's Text is empty, or begins with
// one of them and continues with the completions concerned. Agents log them, since each
// indicates a bug in a daemon or a runner.
const (
	// CompletionsLost means that the runner has deleted completions that were never
	// committed: they were acknowledged too early.
	CompletionsLost = "ends lost"
	// CompletionOfOpenRun means that a run was still allocated although its completion
	// had been committed.
	CompletionOfOpenRun = "acknowledged end of an open run"
	// CompletionOfUnknownRun means that no such run was ever allocated.
	CompletionOfUnknownRun = "end of an unknown run"
)

// Apply ends the completed runs and saves the checkpoints. The outcome is CodeGone if the
// worker is unknown or dead, and CodeConflict if the fence is not the worker's current one.
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

// applyCompletion ends one run. It returns the fault that the completion reveals, or an empty
// string.
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

// runName returns the task name and run number of a completion, for fault texts.
func runName(completion protocol.Completion) string {
	return completion.Task + "/" + strconv.Itoa(completion.Run)
}

// findAllocation returns the allocation of a run on a worker, or nil. Both copies of a
// gang's task have the same run number, so that several allocations may match. The oldest
// is returned, since all replicas must choose the same one.
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

// runWasAllocated reports whether a run of a task was ever allocated. Run numbers increase
// with each allocation, so the task's last one decides. It returns false for jobs that
// garbage collection removed.
func (s *Store) runWasAllocated(task string, run int) bool {
	parts := strings.Split(task, ".")
	if len(parts) != taskNameParts || s.Jobs[parts[0]] == nil {
		return false
	}
	var numbers [3]int // instance, step and task
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
