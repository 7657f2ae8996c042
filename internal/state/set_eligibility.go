package state

// SetEligibility notes what decides on whether a worker is given new work.
type SetEligibility struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Draining   bool
	LeavesInMs int64 // from now, of a worker that drains or leaves; negative if unknown
	Leaving    bool  // the runner signed off
	Unhealthy  bool  // silent or standing still: no new work for now
}

// Apply writes the worker's row and raises its version, so that a placement
// that was planned before is refused. Draining is never taken back. The outcome
// is CodeGone for a worker that is unknown or dead.
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
