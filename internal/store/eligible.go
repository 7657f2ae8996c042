package store

// Eligible writes a worker's draining or its sign-off.
type Eligible struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Draining bool
	LeavesIn int64
	Gone     bool
	Sick     bool // silent or standing still: no new work for now
}

func init() { register("eligible", func() Cmd { return &Eligible{} }) }

// Apply touches the worker's row, so that a booking made on an older view of
// it loses.
func (c *Eligible) Apply(s *Store) Outcome {
	w := s.Workers[c.ID]
	if w == nil || w.Dead {
		return Outcome{Code: 410}
	}
	w.Ver++
	if c.Draining || c.Gone {
		w.leave(s.Clock, c.LeavesIn)
	}
	w.Sick = c.Sick
	s.place(w)
	return Outcome{Code: 200}
}

// Lapse notes workers whose holds have surely lapsed, each with the fence under
// which that was decided: of one that was taken up again meanwhile nothing is
// known to be over, since its new side daemon may have started runs there.
type Lapse struct {
	_       struct{} `cbor:",toarray"`
	Workers []Fenced
}

// Fenced names a worker as of one fence.
type Fenced struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Fence int64
}

func init() { register("lapse", func() Cmd { return &Lapse{} }) }

// Apply frees the tasks: everything that ran there has been killed.
func (c *Lapse) Apply(s *Store) Outcome {
	for _, lapsed := range c.Workers {
		w := s.Workers[lapsed.ID]
		if w == nil || w.Dead || w.Lost || w.Fence != lapsed.Fence {
			continue
		}
		w.Lost = true
		w.Ver++
		s.place(w)
		for _, a := range s.On(w.ID) {
			s.endRun(a, "lapsed", "")
		}
	}
	return Outcome{Code: 200}
}
