package protocol

// Results of a run, as a runner lists them.
const (
	ResultDone         = "done"
	ResultFailed       = "failed"  // by its own fault or the runner's
	ResultStopped      = "stopped" // by a StopRequest
	ResultLeaseExpired = "lapsed"  // its lease expired
	// ResultRefused is never listed by a runner: an agent reports it of a run
	// that surely never started there.
	ResultRefused = "refused"
)

// RunProgress is one line of a runner's list of what runs.
type RunProgress struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Run        int    // the number of the attempt at the task, from 1
	Checkpoint string // the newest; empty: none
	Percent    int
}

// Completion is one line of a runner's list of what ended.
type Completion struct {
	_          struct{} `cbor:",toarray"`
	Sequence   int64    // from 1 within an incarnation; 0: made by an agent, not listed by the runner
	Task       string
	Run        int
	Result     string // ResultDone and so on
	Checkpoint string
}

// Lengths of the lines of both lists.
const (
	progressColumns   = 4 // task, run, checkpoint, percent
	completionColumns = 5 // sequence, task, run, result, checkpoint
)

// stringOf reads a text; anything else reads as empty.
func stringOf(v any) string {
	s, _ := v.(string)
	return s
}

// integerOf reads a number; anything else reads as 0.
func integerOf(v any) int64 {
	f, _ := v.(float64)
	return int64(f)
}

// Progress decodes the list of what runs; lines that are too short are skipped.
func (r *KeepAliveResponse) Progress() []RunProgress {
	progress := make([]RunProgress, 0, len(r.Running))
	for _, line := range r.Running {
		if len(line) < progressColumns {
			continue
		}
		progress = append(progress, RunProgress{
			Task:       stringOf(line[0]),
			Run:        int(integerOf(line[1])),
			Checkpoint: stringOf(line[2]),
			Percent:    int(integerOf(line[3])),
		})
	}
	return progress
}

// Completions decodes the list of what ended; lines that are too short are skipped.
func (r *KeepAliveResponse) Completions() []Completion {
	completions := make([]Completion, 0, len(r.Ended))
	for _, line := range r.Ended {
		if len(line) < completionColumns {
			continue
		}
		completions = append(completions, Completion{
			Sequence:   integerOf(line[0]),
			Task:       stringOf(line[1]),
			Run:        int(integerOf(line[2])),
			Result:     stringOf(line[3]),
			Checkpoint: stringOf(line[4]),
		})
	}
	return completions
}
