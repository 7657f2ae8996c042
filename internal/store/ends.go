package store

import (
	"strconv"
	"strings"

	"tealpond/internal/protocol"
	"tealpond/internal/tune"
)

// Ends commits what a worker listed: ends, and progress that was saved.
//
// Ends are taken as a contiguous prefix of the numbers that the runner gives
// within its life: one beyond a gap changes nothing and is told again later.
// Outcome.N is the prefix that the state holds (Worker.Seen), and the only
// number up to which the runner may be told to forget ends.
//
// An end with N = 0 is made by the side daemon itself, about a run of which
// neither list will ever speak; it is outside the numbering.
type Ends struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Fence  int64
	Ends   []protocol.Completion // as listed, one right after the other
	Saved  []protocol.RunProgress
	// First tells that Ends begins with the first end that the runner still
	// holds: what it numbered below is forgotten there for good.
	First bool
}

// What Outcome.Text of Ends begins with when something is wrong; the rest
// names the ends. Each is a fault to be logged.
const (
	// EndsLost: the runner was told to forget ends that never came here.
	EndsLost = "ends lost"
	// EndReopened: a run was still booked though its end was acknowledged.
	EndReopened = "acknowledged end of an open run"
	// EndUnknown: no booking of such a run was ever made here.
	EndUnknown = "end of an unknown run"
)

func init() { register("ends", func() Cmd { return &Ends{} }) }

// Apply closes the bookings of the runs that ended.
func (c *Ends) Apply(s *Store) Outcome {
	w := s.Workers[c.Worker]
	if w == nil || w.Dead {
		return Outcome{Code: 410}
	}
	if c.Fence != w.Fence {
		return Outcome{Code: 409, Text: "fence"}
	}
	for _, r := range c.Saved {
		if a := s.find(c.Worker, r.Task, r.Run); a != nil {
			s.keep(a, r.Checkpoint)
		}
	}
	fault := ""
	for _, e := range c.Ends {
		if e.Sequence > w.Seen+1 && !c.First {
			break
		}
		if f := s.takeEnd(w, e); f != "" {
			fault = f
		}
	}
	return Outcome{Code: 200, N: w.Seen, Text: fault}
}

// takeEnd applies one end; it returns what is wrong about it, if anything.
func (s *Store) takeEnd(w *Worker, e protocol.Completion) string {
	fault := ""
	known := e.Sequence > 0 && e.Sequence <= w.Seen
	if e.Sequence > w.Seen+1 {
		fault = EndsLost + ": " + strconv.FormatInt(w.Seen+1, 10) + " to " + strconv.FormatInt(e.Sequence-1, 10)
	}
	w.Seen = max(w.Seen, e.Sequence)
	a := s.find(w.ID, e.Task, e.Run)
	if a == nil {
		if !known && !s.wasBooked(e.Task, e.Run) {
			fault = EndUnknown + ": " + e.Task + "/" + itoa(e.Run)
		}
		return fault
	}
	if known {
		fault = EndReopened + ": " + e.Task + "/" + itoa(e.Run)
	}
	if e.Result == "refused" {
		w.ShunTill = s.Clock + tune.RefusedPause.Milliseconds()
	}
	s.endRun(a, e.Result, e.Checkpoint)
	return fault
}

func (s *Store) find(worker, task string, run int) *Alloc {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return nil
	}
	// The oldest of several: both copies of a gang's task bear its run number,
	// and all replicas must choose the same one.
	var first *Alloc
	for _, a := range s.byWork[worker] {
		if a.Run == run && a.Job == p[0] && itoa(a.K) == p[1] && itoa(a.Step) == p[2] && itoa(a.Index) == p[3] && (first == nil || a.ID < first.ID) {
			first = a
		}
	}
	return first
}

// wasBooked tells whether a run of a task was ever booked: run numbers rise
// with each booking. Of a job that was forgotten nothing is known.
func (s *Store) wasBooked(task string, run int) bool {
	p := strings.Split(task, ".")
	if len(p) != 4 || s.Jobs[p[0]] == nil {
		return false
	}
	j := s.Jobs[p[0]]
	var at [3]int
	for i := range at {
		n, err := strconv.Atoi(p[i+1])
		if err != nil || n < 0 {
			return false
		}
		at[i] = n
	}
	in := j.inst(at[0])
	if in == nil || at[1] >= len(in.Steps) || at[2] >= len(in.Steps[at[1]].Tasks) {
		return false
	}
	return run <= in.Steps[at[1]].Tasks[at[2]].Run
}

// keep notes saved progress; any member's serves for its gang.
func (s *Store) keep(a *Alloc, saved string) {
	j := s.Jobs[a.Job]
	if j == nil || saved == "" {
		return
	}
	st := &j.inst(a.K).Steps[a.Step]
	if !j.Gang(a.Step) {
		st.Tasks[a.Index].Saved = saved
		return
	}
	for i := range st.Tasks {
		st.Tasks[i].Saved = saved
	}
}

// endRun closes one run; how is the protocol's word, or crashed or refused.
func (s *Store) endRun(a *Alloc, how, saved string) {
	s.keep(a, saved)
	s.close(a)
	s.closed = append(s.closed, Closed{a, how, s.Clock})
	j := s.Jobs[a.Job]
	if j == nil {
		return
	}
	in := j.inst(a.K)
	gang := j.Gang(a.Step)
	if f := endings[how]; f != nil {
		f(s, j, in, a)
	}
	// Why the rest too: a gang that lost a member can't go on.
	if gang && how != "done" {
		for x := range in.Steps[a.Step].Tasks {
			for _, id := range in.Steps[a.Step].Tasks[x].Allocs {
				if o := s.Allocs[id]; o != nil && o.Run == a.Run {
					s.halt(o, "member "+how)
				}
			}
		}
	}
}

var endings = map[string]func(*Store, *Job, *Inst, *Alloc){
	"done":   onDone,
	"failed": onFailed,
}

func onDone(s *Store, j *Job, in *Inst, a *Alloc) {
	if j.Steps[a.Step].LongRunning || in.Failed || j.Off {
		return
	}
	if st := &in.Steps[a.Step]; a.Saved == "" {
		took := float64(s.Clock - a.From)
		if w := s.Workers[a.Worker]; w != nil && w.FarFrom(j.Steps[a.Step].PreferredRack) {
			took /= s.Far()
		}
		st.Took += int64(took)
		st.TookN++
	}
	if !j.Gang(a.Step) {
		s.taskDone(j, in, a.Step, a.Index)
		return
	}
	for x := range in.Steps[a.Step].Tasks {
		s.taskDone(j, in, a.Step, x)
	}
}

func onFailed(s *Store, j *Job, in *Inst, a *Alloc) {
	if j.Off || in.Steps[a.Step].Tasks[a.Index].Done {
		return
	}
	if j.Gang(a.Step) {
		// Why once: the gang failed, not each of its members.
		st := &in.Steps[a.Step]
		if st.Fell == a.Run {
			return
		}
		st.Fell = a.Run
	}
	s.fail(j, in, a.Step, a.Index)
}

// Closed is a run that ended, for traces.
type Closed struct {
	Alloc *Alloc
	How   string
	At    int64
}

// Closed hands out the runs that ended since.
func (s *Store) Closed() []Closed {
	out := s.closed
	s.closed = nil
	return out
}
