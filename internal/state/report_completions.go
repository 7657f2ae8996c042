package state

import (
	"strconv"
	"strings"

	"tealpond/internal/protocol"
	"tealpond/internal/tuning"
)

// ReportCompletions commits what a worker listed: ends, and progress that was saved.
//
// Ends are taken as a contiguous prefix of the numbers that the runner gives
// within its life: one beyond a gap changes nothing and is told again later.
// Outcome.N is the prefix that the state holds (Worker.Seen), and the only
// number up to which the runner may be told to forget ends.
//
// An end with N = 0 is made by the side daemon itself, about a run of which
// neither list will ever speak; it is outside the numbering.
type ReportCompletions struct {
	_           struct{} `cbor:",toarray"`
	Worker      string
	Fence       int64
	Completions []protocol.Completion // as listed, one right after the other
	Checkpoints []protocol.RunProgress
	// FromOldest tells that Ends begins with the first end that the runner still
	// holds: what it numbered below is forgotten there for good.
	FromOldest bool
}

// What Outcome.Text of Ends begins with when something is wrong; the rest
// names the ends. Each is a fault to be logged.
const (
	// CompletionsLost: the runner was told to forget ends that never came here.
	CompletionsLost = "ends lost"
	// CompletionOfOpenRun: a run was still booked though its end was acknowledged.
	CompletionOfOpenRun = "acknowledged end of an open run"
	// CompletionOfUnknownRun: no booking of such a run was ever made here.
	CompletionOfUnknownRun = "end of an unknown run"
)

// Apply closes the bookings of the runs that ended.
func (c *ReportCompletions) Apply(s *Store) Outcome {
	worker := s.Workers[c.Worker]
	if worker == nil || worker.Dead {
		return Outcome{Code: CodeGone}
	}
	if c.Fence != worker.Fence {
		return Outcome{Code: CodeConflict, Text: "fence"}
	}
	for _, checkpoint := range c.Checkpoints {
		if allocation := s.findAllocation(c.Worker, checkpoint.Task, checkpoint.Run); allocation != nil {
			s.saveCheckpoint(allocation, checkpoint.Checkpoint)
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

// applyCompletion applies one end; it returns what is wrong about it, if anything.
func (s *Store) applyCompletion(worker *Worker, completion protocol.Completion) string {
	fault := ""
	known := completion.Sequence > 0 && completion.Sequence <= worker.LastCompletion
	if completion.Sequence > worker.LastCompletion+1 {
		fault = CompletionsLost + ": " + strconv.FormatInt(worker.LastCompletion+1, 10) + " to " + strconv.FormatInt(completion.Sequence-1, 10)
	}
	worker.LastCompletion = max(worker.LastCompletion, completion.Sequence)
	allocation := s.findAllocation(worker.ID, completion.Task, completion.Run)
	if allocation == nil {
		if !known && !s.runWasBooked(completion.Task, completion.Run) {
			fault = CompletionOfUnknownRun + ": " + completion.Task + "/" + itoa(completion.Run)
		}
		return fault
	}
	if known {
		fault = CompletionOfOpenRun + ": " + completion.Task + "/" + itoa(completion.Run)
	}
	if completion.Result == "refused" {
		worker.BackoffUntil = s.Clock + tuning.StartRefusalExclusion.Milliseconds()
	}
	s.endRun(allocation, completion.Result, completion.Checkpoint)
	return fault
}

func (s *Store) findAllocation(worker, task string, run int) *Allocation {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil
	}
	// The oldest of several: both copies of a gang's task bear its run number,
	// and all replicas must choose the same one.
	var oldest *Allocation
	for _, allocation := range s.allocationsByWorker[worker] {
		if allocation.Run == run && allocation.Job == parts[0] && itoa(allocation.Instance) == parts[1] && itoa(allocation.Step) == parts[2] && itoa(allocation.TaskIndex) == parts[3] && (oldest == nil || allocation.ID < oldest.ID) {
			oldest = allocation
		}
	}
	return oldest
}

// runWasBooked tells whether a run of a task was ever booked: run numbers rise
// with each booking. Of a job that was forgotten nothing is known.
func (s *Store) runWasBooked(task string, run int) bool {
	parts := strings.Split(task, ".")
	if len(parts) != 4 || s.Jobs[parts[0]] == nil {
		return false
	}
	job := s.Jobs[parts[0]]
	var position [3]int
	for i := range position {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return false
		}
		position[i] = n
	}
	instance := job.instance(position[0])
	if instance == nil || position[1] >= len(instance.Steps) || position[2] >= len(instance.Steps[position[1]].Tasks) {
		return false
	}
	return run <= instance.Steps[position[1]].Tasks[position[2]].LastRun
}

// saveCheckpoint notes saved progress; any member's serves for its gang.
func (s *Store) saveCheckpoint(allocation *Allocation, checkpoint string) {
	job := s.Jobs[allocation.Job]
	if job == nil || checkpoint == "" {
		return
	}
	stepState := &job.instance(allocation.Instance).Steps[allocation.Step]
	if !job.IsGang(allocation.Step) {
		stepState.Tasks[allocation.TaskIndex].Checkpoint = checkpoint
		return
	}
	for i := range stepState.Tasks {
		stepState.Tasks[i].Checkpoint = checkpoint
	}
}

// endRun closes one run; how is the protocol's word, or crashed or refused.
func (s *Store) endRun(allocation *Allocation, result, checkpoint string) {
	s.saveCheckpoint(allocation, checkpoint)
	s.closeRun(allocation)
	s.closedRuns = append(s.closedRuns, ClosedRun{allocation, result, s.Clock})
	job := s.Jobs[allocation.Job]
	if job == nil {
		return
	}
	instance := job.instance(allocation.Instance)
	gang := job.IsGang(allocation.Step)
	if onEnd := runEndings[result]; onEnd != nil {
		onEnd(s, job, instance, allocation)
	}
	// Why the rest too: a gang that lost a member can't go on.
	if gang && result != "done" {
		for x := range instance.Steps[allocation.Step].Tasks {
			for _, id := range instance.Steps[allocation.Step].Tasks[x].Allocations {
				if other := s.Allocations[id]; other != nil && other.Run == allocation.Run {
					s.stopRun(other, "member "+result)
				}
			}
		}
	}
}

var runEndings = map[string]func(*Store, *Job, *JobInstance, *Allocation){
	"done":   runDone,
	"failed": runFailed,
}

func runDone(s *Store, job *Job, instance *JobInstance, allocation *Allocation) {
	if job.Steps[allocation.Step].LongRunning || instance.Failed || job.Canceled {
		return
	}
	if stepState := &instance.Steps[allocation.Step]; allocation.Checkpoint == "" {
		took := float64(s.Clock - allocation.BookedAt)
		if worker := s.Workers[allocation.Worker]; worker != nil && worker.RemoteFrom(job.Steps[allocation.Step].PreferredRack) {
			took /= s.RemoteFactor()
		}
		stepState.DoneRunsMs += int64(took)
		stepState.DoneRuns++
	}
	if !job.IsGang(allocation.Step) {
		s.completeTask(job, instance, allocation.Step, allocation.TaskIndex)
		return
	}
	for x := range instance.Steps[allocation.Step].Tasks {
		s.completeTask(job, instance, allocation.Step, x)
	}
}

func runFailed(s *Store, job *Job, instance *JobInstance, allocation *Allocation) {
	if job.Canceled || instance.Steps[allocation.Step].Tasks[allocation.TaskIndex].Done {
		return
	}
	if job.IsGang(allocation.Step) {
		// Why once: the gang failed, not each of its members.
		stepState := &instance.Steps[allocation.Step]
		if stepState.LastFailedRun == allocation.Run {
			return
		}
		stepState.LastFailedRun = allocation.Run
	}
	s.recordFailure(job, instance, allocation.Step, allocation.TaskIndex)
}

// ClosedRun is a run that ended, for traces.
type ClosedRun struct {
	Allocation *Allocation
	Result     string
	ClosedAt   int64
}

// TakeClosedRuns hands out the runs that ended since.
func (s *Store) TakeClosedRuns() []ClosedRun {
	out := s.closedRuns
	s.closedRuns = nil
	return out
}
