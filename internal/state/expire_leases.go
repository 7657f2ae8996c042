package state

// ExpireLeases records that the leases of workers have certainly expired, so that
// nothing runs there any more. Each worker is named with the fence that it had when the
// leader decided so: a worker that has been registered again since may have runs that
// its new agent started.
type ExpireLeases struct {
	_       struct{} `cbor:",toarray"`
	Workers []FencedWorker
}

// FencedWorker identifies a worker and the fence of one of its registrations.
type FencedWorker struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Fence int64
}

// Apply ends all runs of the workers, so that their tasks can be placed again.
// Workers that are unknown or dead, whose leases are already marked as expired, or that
// have another fence are skipped.
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
