package state

// CollectGarbage removes jobs that ended longer ago than the retention, outdated crash counts of
// nodes, and records of locks and puts for which no caller can ask any more. Since each entry
// advances the clocks, it also makes periodic jobs due when no other command is proposed.
type CollectGarbage struct {
	_            struct{} `cbor:",toarray"`
	RebuildUsage bool     // also recompute Store.ServiceUsages
}

// Apply removes jobs that ended at least Limits.JobRetentionMs ago, unless that is 0. A
// job is kept while it has runs or while a transfer to or from a peer is not resolved.
func (c *CollectGarbage) Apply(s *Store) Outcome {
	for id, job := range s.Jobs {
		if !job.ended() || job.keptForPeer() || s.Limits.JobRetentionMs <= 0 ||
			s.Clock-job.EndedAt < s.Limits.JobRetentionMs {
			continue
		}
		inUse := false
		for _, instance := range job.Instances {
			inUse = inUse || instance.hasRuns()
		}
		if !inUse {
			s.jobBytes -= job.bytes()
			delete(s.Jobs, id)
			delete(s.JobTenants, id)
		}
	}
	s.pruneCrashBackoffs()
	if s.Coordination != nil {
		s.Coordination.Expire(s.Clock)
	}
	if c.RebuildUsage {
		s.RebuildUsage()
	}
	return Outcome{Code: CodeOK}
}
