package state

// SetEligibility writes a worker's draining or its sign-off.
type SetEligibility struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Draining   bool
	LeavesInMs int64
	Leaving    bool
	Unhealthy  bool // silent or standing still: no new work for now
}

// Apply touches the worker's row, so that a booking made on an older view of
// it loses.
func (c *SetEligibility) Apply(s *Store) Outcome {
	worker := s.Workers[c.ID]
	if worker == nil || worker.Dead {
		return Outcome{Code: CodeGone}
	}
	worker.Version++
	if c.Draining || c.Leaving {
		worker.leave(s.Clock, c.LeavesInMs)
	}
	worker.Unhealthy = c.Unhealthy
	s.reindexWorker(worker)
	return Outcome{Code: CodeOK}
}

// ExpireLeases notes workers whose holds have surely lapsed, each with the fence under
// which that was decided: of one that was taken up again meanwhile nothing is
// known to be over, since its new side daemon may have started runs there.
type ExpireLeases struct {
	_       struct{} `cbor:",toarray"`
	Workers []FencedWorker
}

// FencedWorker names a worker as of one fence.
type FencedWorker struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Fence int64
}

// Apply frees the tasks: everything that ran there has been killed.
func (c *ExpireLeases) Apply(s *Store) Outcome {
	for _, expired := range c.Workers {
		worker := s.Workers[expired.ID]
		if worker == nil || worker.Dead || worker.LeaseExpired || worker.Fence != expired.Fence {
			continue
		}
		worker.LeaseExpired = true
		worker.Version++
		s.reindexWorker(worker)
		for _, a := range s.AllocationsOn(worker.ID) {
			s.endRun(a, "lapsed", "")
		}
	}
	return Outcome{Code: CodeOK}
}
