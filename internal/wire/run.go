package wire

// Run is one line of a runner's list of what runs.
type Run struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Run     int
	Saved   string
	Percent int
}

// End is one line of a runner's list of what ended.
type End struct {
	_     struct{} `cbor:",toarray"`
	N     int64
	Task  string
	Run   int
	How   string
	Saved string
}

func text(v any) string {
	s, _ := v.(string)
	return s
}

func whole(v any) int64 {
	f, _ := v.(float64)
	return int64(f)
}

// Runs reads the list of what runs; a short line is left out.
func (l *Lists) Runs() []Run {
	out := make([]Run, 0, len(l.Running))
	for _, r := range l.Running {
		if len(r) < 4 {
			continue
		}
		out = append(out, Run{Task: text(r[0]), Run: int(whole(r[1])), Saved: text(r[2]), Percent: int(whole(r[3]))})
	}
	return out
}

// Ends reads the list of what ended; a short line is left out.
func (l *Lists) Ends() []End {
	out := make([]End, 0, len(l.Ended))
	for _, r := range l.Ended {
		if len(r) < 5 {
			continue
		}
		out = append(out, End{N: whole(r[0]), Task: text(r[1]), Run: int(whole(r[2])), How: text(r[3]), Saved: text(r[4])})
	}
	return out
}
