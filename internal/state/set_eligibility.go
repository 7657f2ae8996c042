package state

// SetEligibility records whether a worker is eligible for new work. Agents of earlier programs send it; it
// has no number, so it takes effect in whatever order it is applied. See ReportEligibility.
type SetEligibility struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Draining   bool
	LeavesInMs int64 // of a draining or leaving worker, from when the command is applied; negative if unknown
	Leaving    bool  // the runner announced that it is leaving
	Unhealthy  bool  // silent or stalled: gets no new work for now
}

// Apply updates the worker's row and increments its version, so that placements planned
// before are refused. Draining is never undone. The outcome is CodeGone if the worker is
// unknown or dead.
func (c *SetEligibility) Apply(s *Store) Outcome {
	worker := s.Workers[c.ID]
	if worker == nil || worker.Dead {
		return Outcome{Code: CodeGone}
	}
	worker.Version++
	if c.Draining || c.Leaving {
		worker.startDraining(s.Clock, c.LeavesInMs)
	}
	worker.Unhealthy = c.Unhealthy
	s.reindexWorker(worker)
	return Outcome{Code: CodeOK}
}
