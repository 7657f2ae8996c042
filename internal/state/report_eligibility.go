package state

// ReportEligibility is an agent's numbered report of whether a worker is eligible for new work. Reports
// reach the log in any order, since one may wait at a paused aggregator while a newer one is sent another
// way.
type ReportEligibility struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Fence      int64 // of the agent that reports; 0: the agent doesn't know the worker's health
	Number     int64 // increases with each report under a fence, from 1
	Draining   bool
	LeavesInMs int64 // of a draining or leaving worker, from when the command is applied; negative if unknown
	Leaving    bool  // the runner announced that it is leaving
	Unhealthy  bool  // silent or stalled: gets no new work for now
}

// Apply updates the worker's row and increments its version, so that placements planned
// before are refused. Draining is never undone, and counts in whatever order the reports are applied. The
// health counts only if the report is newer than the newest that was applied under the worker's
// fence. The outcome is CodeGone if the worker is unknown or dead.
func (c *ReportEligibility) Apply(s *Store) Outcome {
	return s.updateEligibility(c.ID, c.Draining || c.Leaving, c.LeavesInMs, func(worker *Worker) { c.updateHealth(s, worker) })
}

// updateHealth records the health of a worker if the report is the newest.
func (c *ReportEligibility) updateHealth(s *Store, worker *Worker) {
	if c.Fence != worker.Fence || c.Number <= s.EligibilityReports[c.ID] {
		return
	}
	if s.EligibilityReports == nil {
		s.EligibilityReports = map[string]int64{}
	}
	s.EligibilityReports[c.ID] = c.Number
	worker.Unhealthy = c.Unhealthy
}

// Unnumbered returns the command that has the effect of the report in formats before
// FormatOrderedReports.
func (c *ReportEligibility) Unnumbered() *SetEligibility {
	return &SetEligibility{ID: c.ID, Draining: c.Draining, LeavesInMs: c.LeavesInMs, Leaving: c.Leaving, Unhealthy: c.Unhealthy}
}
