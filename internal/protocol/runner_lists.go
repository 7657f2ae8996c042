package protocol

// Results of a run, as a runner lists them.
const (
	ResultDone         = "done"
	ResultFailed       = "failed"  // by its own fault or the runner's
	ResultStopped      = "stopped" // it was told to stop
	ResultLeaseExpired = "lapsed"  // its lease ended
	// ResultRefused is never listed by a runner: an agent reports it of a run
	// that surely never started there.
	ResultRefused = "refused"
)

// RunProgress is one line of a runner's list of what runs.
type RunProgress struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Run        int    // counts the starts of the task, from 1
	Checkpoint string // the newest; empty: none
	Percent    int
}

// Completion is one line of a runner's list of what ended.
type Completion struct {
	_          struct{} `cbor:",toarray"`
	Sequence   int64    // rises from 1 within an incarnation; 0: not of a runner's list
	Task       string
	Run        int
	Result     string // ResultDone and so on
	Checkpoint string
}

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

// Progress reads the list of what runs; a short line is left out.
func (r *KeepAliveResponse) Progress() []RunProgress {
	progress := make([]RunProgress, 0, len(r.Running))
	for _, line := range r.Running {
		if len(line) < 4 {
			continue
		}
		progress = append(progress, RunProgress{Task: stringOf(line[0]), Run: int(integerOf(line[1])), Checkpoint: stringOf(line[2]), Percent: int(integerOf(line[3]))})
	}
	return progress
}

// Completions reads the list of what ended; a short line is left out.
func (r *KeepAliveResponse) Completions() []Completion {
	completions := make([]Completion, 0, len(r.Ended))
	for _, line := range r.Ended {
		if len(line) < 5 {
			continue
		}
		completions = append(completions, Completion{Sequence: integerOf(line[0]), Task: stringOf(line[1]), Run: int(integerOf(line[2])), Result: stringOf(line[3]), Checkpoint: stringOf(line[4])})
	}
	return completions
}
