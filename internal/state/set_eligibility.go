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
	return s.updateEligibility(c.ID, c.Draining || c.Leaving, c.LeavesInMs, func(worker *Worker) { worker.Unhealthy = c.Unhealthy })
}

// updateEligibility marks a worker as draining if it is, updates its health and increments its version. The
// outcome is CodeGone if the worker is unknown or dead.
func (s *Store) updateEligibility(id string, draining bool, leavesInMs int64, updateHealth func(*Worker)) Outcome {
	worker := s.Workers[id]
	if worker == nil || worker.Dead {
		return Outcome{Code: CodeGone}
	}
	worker.Version++
	if draining {
		worker.startDraining(s.Clock, leavesInMs)
	}
	updateHealth(worker)
	s.reindexWorker(worker)
	return Outcome{Code: CodeOK}
}
