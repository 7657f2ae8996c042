package store

import (
	"tealpond/internal/protocol"
)

// Task is one task of a step.
type Task struct {
	_      struct{} `cbor:",toarray"`
	Run    int      // the highest run that was booked
	Fails  int
	Done   bool
	Saved  string
	Allocs []uint64
}

// StepState is one step of an instance.
type StepState struct {
	_     struct{} `cbor:",toarray"`
	Ready bool
	Since int64 // on the store clock, when its turn came
	Full  int64 // when a task of it was last booked
	Over  int64 // when its last task ended
	Left  int   // tasks not done
	Fails int   // of the gang
	Fell  int   // the gang's run that failed last
	Took  int64 // how long its done runs took together, as near their data
	TookN int64
	Tasks []Task
}

// Inst is one of a job's times.
type Inst struct {
	_      struct{} `cbor:",toarray"`
	K      int
	Born   int64
	Left   int // steps not done
	Failed bool
	Steps  []StepState
}

// Job is one job.
type Job struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Seq        int64
	Lane       string
	Service    string
	Priority   int
	MaxRounds  int
	Stretch    float64
	TargetMs   int64
	Spec       string
	Steps      []protocol.Step
	RunTimes   int
	FirstRunMs int64
	IntervalMs int64
	Born       int64
	NextK      int
	Insts      []*Inst
	Off        bool
	Failed     bool
	Began      bool
	Done       bool
	EndedAt    int64
	Move       Move
}

func (j *Job) ended() bool { return j.EndedAt != 0 }

// Word is what senders are shown.
func (j *Job) Word() string {
	switch {
	case j.Off:
		return "called_off"
	case j.Failed:
		return "failed"
	case j.Done:
		return "done"
	case j.Began || j.Move.State == MoveTaken:
		return "serving"
	}
	return "pending"
}

func (j *Job) dueAt(k int) int64 { return j.FirstRunMs + int64(k)*j.IntervalMs }

func (j *Job) inst(k int) *Inst {
	if k < len(j.Insts) {
		return j.Insts[k]
	}
	return nil
}

// Gang tells whether a step's tasks run jointly.
func (j *Job) Gang(step int) bool { return j.Steps[step].Gang }

func (s *Store) addInst(j *Job) {
	in := &Inst{K: j.NextK, Born: s.Clock, Left: len(j.Steps), Steps: make([]StepState, len(j.Steps))}
	for i, st := range j.Steps {
		in.Steps[i] = StepState{Left: st.TaskCount, Tasks: make([]Task, st.TaskCount)}
	}
	j.Insts = append(j.Insts, in)
	j.NextK++
	s.readySteps(j, in)
}

// readySteps makes the turns of steps whose earlier steps are done.
func (s *Store) readySteps(j *Job, in *Inst) {
	for i := range in.Steps {
		st := &in.Steps[i]
		if st.Ready {
			continue
		}
		ok := true
		for _, d := range j.Steps[i].DependsOn {
			if in.Steps[d].Left > 0 {
				ok = false
			}
		}
		if !ok {
			continue
		}
		st.Ready, st.Since = true, s.Clock
		for x := range st.Tasks {
			s.addTurn(j, in.K, i, x)
		}
		s.lively(j.ID, in, i)
	}
}

func (s *Store) addTurn(j *Job, k, step, index int) {
	copies := 1
	if j.Steps[step].Speculative {
		copies = 2
	}
	for c := 0; c < copies; c++ {
		id := turnID(TaskName(j.ID, k, step, index), c)
		s.Devices[id] = &Device{ID: id, Class: ClassTurn, Healthy: true}
	}
}

// dropTurn makes a task's right to run unhealthy; it goes with its last booking.
func (s *Store) dropTurn(j *Job, k, step, index int) {
	for c := 0; c < 2; c++ {
		delete(s.Devices, turnID(TaskName(j.ID, k, step, index), c))
	}
}

func (s *Store) dropInst(j *Job, in *Inst) {
	for i := range in.Steps {
		for x := range in.Steps[i].Tasks {
			s.dropTurn(j, in.K, i, x)
		}
	}
}

func (s *Store) taskDone(j *Job, in *Inst, step, index int) {
	st := &in.Steps[step]
	t := &st.Tasks[index]
	if t.Done {
		return
	}
	t.Done = true
	st.Left--
	s.dropTurn(j, in.K, step, index)
	for _, id := range t.Allocs {
		if a := s.Allocs[id]; a != nil && !j.Gang(step) {
			s.halt(a, "other copy done")
		}
	}
	if st.Left > 0 {
		return
	}
	in.Left--
	delete(s.idx.steps, StepRef{j.ID, in.K, step})
	st.Over = s.Clock
	if in.Left > 0 {
		s.readySteps(j, in)
		return
	}
	s.maybeOver(j)
}

// maybeOver closes a job all of whose times are over.
func (s *Store) maybeOver(j *Job) {
	if j.ended() || j.RunTimes > 0 && j.NextK < j.RunTimes {
		return
	}
	for _, in := range j.Insts {
		if in.Left > 0 && !in.Failed {
			return
		}
	}
	if !j.Failed {
		j.Done = true
	}
	s.over(j)
}

func (s *Store) over(j *Job) {
	j.EndedAt = max(s.Clock, 1)
	s.ended = append(s.ended, j)
	delete(s.open, j.ID)
	delete(s.timed, j.ID)
	s.quiet(j)
}

// fail counts a run that ended by the task's own fault.
func (s *Store) fail(j *Job, in *Inst, step, index int) {
	st := &in.Steps[step]
	if j.Steps[step].LongRunning {
		return
	}
	n := 0
	if j.Gang(step) {
		st.Fails++
		n = st.Fails
	} else {
		st.Tasks[index].Fails++
		n = st.Tasks[index].Fails
	}
	if n < j.MaxRounds || in.Failed {
		return
	}
	in.Failed = true
	j.Failed = true
	s.dropInst(j, in)
	s.haltInst(j, in, "job failed")
	s.maybeOver(j)
}

func (s *Store) haltInst(j *Job, in *Inst, why string) {
	for i := range in.Steps {
		for x := range in.Steps[i].Tasks {
			for _, id := range in.Steps[i].Tasks[x].Allocs {
				if a := s.Allocs[id]; a != nil {
					s.halt(a, why)
				}
			}
		}
	}
}

// WaitingWork is the work not yet begun, in thousandths of a core times ms.
func (s *Store) WaitingWork() int64 {
	sum := int64(0)
	for _, j := range s.open {
		for _, in := range j.Insts {
			for i := range in.Steps {
				st := &in.Steps[i]
				if in.Failed || st.Left == 0 {
					continue
				}
				sum += int64(st.Left) * j.Steps[i].CPUUnits * max(j.Steps[i].EstimateMs, 1)
			}
		}
	}
	return sum
}

// LastRuns tells whether all that is left of a job is under way: its next
// change is its end, or a run that must be repeated.
func (j *Job) LastRuns() bool {
	if j.ended() || j.NextK < j.RunTimes || j.away() {
		return false
	}
	for _, in := range j.Insts {
		if in.Failed {
			continue
		}
		for i := range in.Steps {
			st := &in.Steps[i]
			if st.Left > 0 && !st.Ready {
				return false
			}
			if st.Left == 0 {
				continue
			}
			for x := range st.Tasks {
				if !st.Tasks[x].Done && len(st.Tasks[x].Allocs) == 0 {
					return false
				}
			}
		}
	}
	return true
}

// work is what one time of the job asks for, in cores times ms.
func (j *Job) work() float64 {
	sum := 0.0
	for _, st := range j.Steps {
		sum += float64(st.TaskCount) * float64(st.CPUUnits) / 1000 * float64(st.EstimateMs)
	}
	return sum
}

// Chain is the longest chain of estimates, Rest that of what is not yet done.
func (j *Job) Chain() int64 { return j.longest(func(int) bool { return true }) }

// Rest is Chain without the steps that are done.
func (j *Job) Rest(in *Inst) int64 {
	return j.longest(func(i int) bool { return in.Steps[i].Left > 0 })
}

// Aim is the time a job may take and still count in full.
func (j *Job) Aim() int64 { return int64(j.Stretch*float64(j.Chain())) + j.TargetMs }

func (j *Job) longest(counts func(step int) bool) int64 {
	best := int64(0)
	ends := make([]int64, len(j.Steps))
	for i, st := range j.Steps {
		for _, d := range st.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		if counts(i) {
			ends[i] += st.EstimateMs
		}
		best = max(best, ends[i])
	}
	return best
}
