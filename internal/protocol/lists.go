package protocol

// RunProgress is one line of a runner's list of what runs.
type RunProgress struct {
	_          struct{} `cbor:",toarray"`
	Task       string
	Run        int
	Checkpoint string
	Percent    int
}

// Completion is one line of a runner's list of what ended.
type Completion struct {
	_          struct{} `cbor:",toarray"`
	Sequence   int64
	Task       string
	Run        int
	Result     string
	Checkpoint string
}

func stringOf(v any) string {
	s, _ := v.(string)
	return s
}

func integerOf(v any) int64 {
	f, _ := v.(float64)
	return int64(f)
}

// Progress reads the list of what runs; a short line is left out.
func (l *KeepAliveResponse) Progress() []RunProgress {
	progress := make([]RunProgress, 0, len(l.Running))
	for _, line := range l.Running {
		if len(line) < 4 {
			continue
		}
		progress = append(progress, RunProgress{Task: stringOf(line[0]), Run: int(integerOf(line[1])), Checkpoint: stringOf(line[2]), Percent: int(integerOf(line[3]))})
	}
	return progress
}

// Completions reads the list of what ended; a short line is left out.
func (l *KeepAliveResponse) Completions() []Completion {
	completions := make([]Completion, 0, len(l.Ended))
	for _, line := range l.Ended {
		if len(line) < 5 {
			continue
		}
		completions = append(completions, Completion{Sequence: integerOf(line[0]), Task: stringOf(line[1]), Run: int(integerOf(line[2])), Result: stringOf(line[3]), Checkpoint: stringOf(line[4])})
	}
	return completions
}
