package state

// StopRuns stops runs: pushed out, stuck, or leaving with their worker.
type StopRuns struct {
	_           struct{} `cbor:",toarray"`
	Allocations []uint64
	Reason      string
}

// Apply marks them; they keep room and turn until their ends are listed.
func (c *StopRuns) Apply(s *Store) Outcome {
	for _, id := range c.Allocations {
		if a := s.Allocations[id]; a != nil {
			s.stopRun(a, c.Reason)
		}
	}
	return Outcome{Code: CodeOK}
}

// CollectGarbage forgets old jobs and dead workers, moves timed jobs on, and may
// rebuild the rollups.
type CollectGarbage struct {
	_              struct{} `cbor:",toarray"`
	RebuildRollups bool
}

// Apply drops what was kept long enough.
func (c *CollectGarbage) Apply(s *Store) Outcome {
	for id, job := range s.Jobs {
		if !job.ended() || job.heldForPeer() || s.Limits.JobRetentionMs <= 0 || s.Clock-job.EndedAt < s.Limits.JobRetentionMs {
			continue
		}
		busy := false
		for _, instance := range job.Instances {
			for i := range instance.Steps {
				for x := range instance.Steps[i].Tasks {
					busy = busy || len(instance.Steps[i].Tasks[x].Allocations) > 0
				}
			}
		}
		if !busy {
			delete(s.Jobs, id)
		}
	}
	s.forgetOldCrashes()
	if c.RebuildRollups {
		s.RebuildRollups()
	}
	return Outcome{Code: CodeOK}
}
