package state

// ExpireLeases records that the leases of workers have surely expired, so that
// nothing runs there any more. Each worker is named with the fence under which the
// leader decided that: one that was registered again meanwhile may have runs that
// its new agent started.
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

// Apply ends all runs of the workers, so that their tasks can be placed again.
// Workers that are unknown, dead, expired already or under another fence are
// skipped.
func (c *ExpireLeases) Apply(s *Store) Outcome {
	for _, expired := range c.Workers {
		worker := s.Workers[expired.ID]
		if worker == nil || worker.Dead || worker.LeaseExpired || worker.Fence != expired.Fence {
			continue
		}
		worker.LeaseExpired = true
		worker.Version++
		s.reindexWorker(worker)
		s.endRunsOn(worker, ResultLeaseExpired)
	}
	return Outcome{Code: CodeOK}
}
