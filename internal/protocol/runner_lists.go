package protocol

// Results of a run, as listed by a runner.
const (
	ResultDone         = "done"
	ResultFailed       = "failed"  // because of the run itself or of the runner
	ResultStopped      = "stopped" // by a StopRequest
	ResultLeaseExpired = "lapsed"  // its lease expired
	// ResultRefused is never listed by a runner. An agent reports it for a run
	// that certainly never started on the runner.
	ResultRefused = "refused"
)

// RunProgress is one row of a runner's list of running runs.
type RunProgress struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Run        int    // number of the attempt at the task, starting from 1
	Checkpoint string // the newest checkpoint; empty if none
	Percent    int
}

// Completion is one row of a runner's list of ended runs.
type Completion struct {
	_          struct{} `cbor:",toarray"`
	Sequence   int64    // starts from 1 in each incarnation; 0: created by an agent, not listed by the runner
	Task       string
	Run        int
	Result     string // one of the Result constants
	Checkpoint string
}

// Number of columns of the rows of both lists.
const (
	progressColumns   = 4 // task, run, checkpoint, percent
	completionColumns = 5 // sequence, task, run, result, checkpoint
)

// stringOrEmpty returns a string value; any other type gives an empty string.
func stringOrEmpty(v any) string {
	s, _ := v.(string)
	return s
}

// integerOrZero returns a number as an integer; any other type gives 0.
func integerOrZero(v any) int64 {
	f, _ := v.(float64)
	return int64(f)
}

// Progress decodes the list of running runs. Rows that are too short are skipped.
func (r *KeepAliveResponse) Progress() []RunProgress {
	progress := make([]RunProgress, 0, len(r.Running))
	for _, row := range r.Running {
		if len(row) < progressColumns {
			continue
		}
		progress = append(progress, RunProgress{
			Task:       stringOrEmpty(row[0]),
			Run:        int(integerOrZero(row[1])),
			Checkpoint: stringOrEmpty(row[2]),
			Percent:    int(integerOrZero(row[3])),
		})
	}
	return progress
}

// Completions decodes the list of ended runs. Rows that are too short are skipped.
func (r *KeepAliveResponse) Completions() []Completion {
	completions := make([]Completion, 0, len(r.Ended))
	for _, row := range r.Ended {
		if len(row) < completionColumns {
			continue
		}
		completions = append(completions, Completion{
			Sequence:   integerOrZero(row[0]),
			Task:       stringOrEmpty(row[1]),
			Run:        int(integerOrZero(row[2])),
			Result:     stringOrEmpty(row[3]),
			Checkpoint: stringOrEmpty(row[4]),
		})
	}
	return completions
}
