package store

// Halt stops runs: pushed out, stuck, or leaving with their worker.
type Halt struct {
	_      struct{} `cbor:",toarray"`
	Allocs []uint64
	Why    string
}

func init() {
	register("halt", func() Cmd { return &Halt{} })
	register("sweep", func() Cmd { return &Sweep{} })
}

// Apply marks them; they keep room and turn until their ends are listed.
func (c *Halt) Apply(s *Store) Outcome {
	for _, id := range c.Allocs {
		if a := s.Allocs[id]; a != nil {
			s.halt(a, c.Why)
		}
	}
	return Outcome{Code: 200}
}

// Sweep forgets old jobs and dead workers, moves timed jobs on, and may
// rebuild the rollups.
type Sweep struct {
	_       struct{} `cbor:",toarray"`
	Rebuild bool
}

// Apply drops what was kept long enough.
func (c *Sweep) Apply(s *Store) Outcome {
	for id, j := range s.Jobs {
		if !j.ended() || j.held() || s.Limits.KeepJobMs <= 0 || s.Clock-j.EndedAt < s.Limits.KeepJobMs {
			continue
		}
		busy := false
		for _, in := range j.Insts {
			for i := range in.Steps {
				for x := range in.Steps[i].Tasks {
					busy = busy || len(in.Steps[i].Tasks[x].Allocs) > 0
				}
			}
		}
		if !busy {
			delete(s.Jobs, id)
		}
	}
	s.fadeFlaps()
	if c.Rebuild {
		s.Rebuild()
	}
	return Outcome{Code: 200}
}
