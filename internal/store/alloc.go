package store

// Alloc is one run of one task on one worker, with its claims.
type Alloc struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Worker   string
	Job      string
	K        int
	Step     int
	Index    int
	Copy     int
	Run      int
	CPU      int64
	Mem      int64
	GPUs     []string
	From     int64
	Stopping bool
	Why      string
	Saved    string
	kind     Kind
}

// Task is the protocol's name of its task.
func (a *Alloc) Task() string { return TaskName(a.Job, a.K, a.Step, a.Index) }

// note remembers how to take a change back, while a savepoint is open.
func (s *Store) note(f func()) {
	if s.undo != nil {
		*s.undo = append(*s.undo, f)
	}
}

// savepoint runs f and takes all its changes back if it returns false.
func (s *Store) savepoint(f func() bool) bool {
	outer := s.undo
	var mine []func()
	s.undo = &mine
	ok := f()
	s.undo = outer
	if !ok {
		for i := len(mine) - 1; i >= 0; i-- {
			mine[i]()
		}
	} else if outer != nil {
		*outer = append(*outer, mine...)
	}
	return ok
}

// close ends the bookings and gives the room back.
func (s *Store) close(a *Alloc) {
	if w := s.Workers[a.Worker]; w != nil {
		w.UsedCPU -= a.CPU
		w.UsedMem -= a.Mem
		s.place(w)
	}
	for _, g := range a.GPUs {
		if d := s.Devices[g]; d != nil {
			s.unbook(d, a.ID)
		}
	}
	if d := s.Devices[turnID(a.Task(), a.Copy)]; d != nil {
		s.unbook(d, a.ID)
	}
	s.delta(a, -1)
	s.letGo(a)
	delete(s.Allocs, a.ID)
	delete(s.byWork[a.Worker], a.ID)
	if j := s.Jobs[a.Job]; j != nil {
		t := &j.inst(a.K).Steps[a.Step].Tasks[a.Index]
		for i, id := range t.Allocs {
			if id == a.ID {
				t.Allocs = append(t.Allocs[:i:i], t.Allocs[i+1:]...)
				break
			}
		}
		if !t.Done {
			s.lively(j.ID, j.inst(a.K), a.Step)
		}
	}
}

// halt marks an allocation as to be stopped; it keeps its room and turn.
func (s *Store) halt(a *Alloc, why string) {
	if a.Stopping {
		return
	}
	a.Stopping, a.Why = true, why
	s.fresh = append(s.fresh, a.ID)
}
