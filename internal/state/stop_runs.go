package state

// StopRuns stops runs that are preempted or stalled, or whose worker is leaving.
type StopRuns struct {
	_           struct{} `cbor:",toarray"`
	Allocations []uint64
	Reason      string
}

// Apply marks the runs as stopping. They keep their resources and their tasks' locks until
// their ends are known. Runs that have already ended are skipped.
func (c *StopRuns) Apply(s *Store) Outcome {
	for _, id := range c.Allocations {
		if allocation := s.Allocations[id]; allocation != nil {
			s.stopRun(allocation, c.Reason)
		}
	}
	return Outcome{Code: CodeOK}
}
