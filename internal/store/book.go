package store

// Item places one task on one worker, as seen on a row's version.
type Item struct {
	_      struct{} `cbor:",toarray"`
	Index  int
	Copy   int
	Worker string
	Ver    uint64
}

// Plan places tasks of one step; Whole: all or none.
type Plan struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	K     int
	Step  int
	Whole bool
	Items []Item
}

// Book writes allocations and bookings for plans made on an older view.
type Book struct {
	_     struct{} `cbor:",toarray"`
	Plans []Plan
}

func init() { register("book", func() Cmd { return &Book{} }) }

// Replan makes a new plan for a step that lost a row; the placer sets it.
var Replan func(s *Store, p Plan) (Plan, bool)

// Apply books each plan under a savepoint; one that lost a row is rolled
// back and planned anew in the same command, a set number of times.
func (c *Book) Apply(s *Store) Outcome {
	lost := 0
	for _, p := range c.Plans {
		if s.bookPlan(p) {
			continue
		}
		done := false
		for i := 0; i < s.Limits.Replans && Replan != nil && !done; i++ {
			q, ok := Replan(s, p)
			if !ok {
				break
			}
			p = q
			done = s.bookPlan(p)
		}
		if !done {
			lost++
		}
	}
	return Outcome{Code: 200, N: int64(lost)}
}

func (s *Store) bookPlan(p Plan) bool {
	j := s.Jobs[p.Job]
	if j == nil || j.Off || j.ended() || j.inst(p.K) == nil || p.Step >= len(j.Steps) {
		return true
	}
	in := j.inst(p.K)
	if in.Failed || !in.Steps[p.Step].Ready || j.away() {
		return true
	}
	if p.Whole {
		return s.savepoint(func() bool {
			run := 0
			for x := range in.Steps[p.Step].Tasks {
				run = max(run, in.Steps[p.Step].Tasks[x].Run)
			}
			for _, it := range p.Items {
				if !s.bookItem(j, in, p.Step, it, run+1) {
					return false
				}
			}
			return true
		})
	}
	all := true
	for _, it := range p.Items {
		if !s.savepoint(func() bool { return s.bookItem(j, in, p.Step, it, 0) }) {
			all = false
		}
	}
	return all
}

// Fits is the part of eligibility that rests on the task and the worker.
func (s *Store) Fits(j *Job, step int, w *Worker) bool {
	if !w.Bookable() || w.Service != j.Service {
		return false
	}
	for _, l := range j.Steps[step].RequiredLabels {
		if !w.Has(l) {
			return false
		}
	}
	return true
}

// Apart counts the step's tasks on a worker.
func (s *Store) Apart(job string, k, step int, worker string) int {
	n := 0
	for _, a := range s.byWork[worker] {
		if a.Job == job && a.Step == step && a.K == k {
			n++
		}
	}
	return n
}

func (s *Store) bookItem(j *Job, in *Inst, step int, it Item, run int) bool {
	st := j.Steps[step]
	if it.Index >= len(in.Steps[step].Tasks) {
		return true
	}
	t := &in.Steps[step].Tasks[it.Index]
	if t.Done {
		return true
	}
	if left, ok := s.GuestRoom(j); ok && (left <= 0 || left < st.CPUUnits && s.guestHeld(j.Move.Loan) > 0) {
		// Why skipped and not lost: no other worker would do either.
		return true
	}
	w := s.Workers[it.Worker]
	// Why the version: drain and lapse wrote this row after the plan was made.
	if w == nil || w.Ver != it.Ver || !s.Fits(j, step, w) {
		return false
	}
	if st.MaxPerWorker > 0 && s.Apart(j.ID, in.K, step, w.ID) >= st.MaxPerWorker {
		return false
	}
	turn := s.Devices[turnID(TaskName(j.ID, in.K, step, it.Index), it.Copy)]
	if turn == nil {
		return true
	}
	s.Last++
	id := s.Last
	if !s.book(turn, id, s.Clock, Forever) || !s.claim(w, st.CPUUnits, st.MemoryMB) {
		return false
	}
	var gpus []string
	for i := 0; i < w.Room.GPUs && len(gpus) < st.GPUs; i++ {
		if g := gpuID(w.ID, i); s.book(s.Devices[g], id, s.Clock, Forever) {
			gpus = append(gpus, g)
		}
	}
	if len(gpus) < st.GPUs {
		return false
	}
	if run == 0 {
		run = t.Run + 1
	}
	a := &Alloc{ID: id, Worker: w.ID, Job: j.ID, K: in.K, Step: step, Index: it.Index, Copy: it.Copy, Run: run,
		CPU: st.CPUUnits, Mem: st.MemoryMB, GPUs: gpus, From: s.Clock}
	// Why only as steps ask: a text must belong to the task.
	if st.Checkpoints {
		a.Saved = t.Saved
	}
	old, began := t.Run, j.Began
	t.Run = run
	t.Allocs = append(t.Allocs[:len(t.Allocs):len(t.Allocs)], id)
	j.Began = true
	in.Steps[step].Full = s.Clock
	s.Allocs[id] = a
	s.index(a)
	s.delta(a, 1)
	s.hold(a)
	s.fresh = append(s.fresh, id)
	s.note(func() {
		t.Run, j.Began = old, began
		t.Allocs = t.Allocs[:len(t.Allocs)-1]
		s.delta(a, -1)
		s.letGo(a)
		delete(s.Allocs, id)
		delete(s.byWork[a.Worker], id)
	})
	return true
}
