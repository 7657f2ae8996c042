package state

// SetEligibility records whether a worker may get new work.
type SetEligibility struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Draining   bool
	LeavesInMs int64 // from now, of a worker that drains or leaves; negative if unknown
	Leaving    bool  // the runner signed off
	Unhealthy  bool  // silent or stalled: no new work for now
}

// Apply writes the worker's row and raises its version, so that placements planned
// before are refused. Draining is never undone. The outcome is CodeGone for a
// worker that is unknown or dead.
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
