package state

// CollectGarbage removes jobs that ended long ago, crash counts of nodes that have had none for
// long, and locks and puts that no caller can ask for any more. Since each entry advances the
// clocks, it also makes periodic jobs fall due while nothing else happens.
type CollectGarbage struct {
	_            struct{} `cbor:",toarray"`
	RebuildUsage bool     // rebuild the rollups too
}

// Apply removes jobs that ended Limits.JobRetentionMs ago, if that isn't 0. A job
// that still has runs, or that a peer hasn't settled, is kept.
func (c *CollectGarbage) Apply(s *Store) Outcome {
	for id, job := range s.Jobs {
		if !job.ended() || job.keptForPeer() || s.Limits.JobRetentionMs <= 0 ||
			s.Clock-job.EndedAt < s.Limits.JobRetentionMs {
			continue
		}
		busy := false
		for _, instance := range job.Instances {
			busy = busy || instance.hasRuns()
		}
		if !busy {
			delete(s.Jobs, id)
			delete(s.JobTenants, id)
		}
	}
	s.forgetOldCrashes()
	if s.Coordination != nil {
		s.Coordination.Forget(s.Clock)
	}
	if c.RebuildUsage {
		s.RebuildUsage()
	}
	return Outcome{Code: CodeOK}
}
