package state

// ExpireLeases notes workers whose leases have surely expired, so that nothing
// runs there any more. Each is named with the fence under which that was
// decided: a worker that was registered again meanwhile may run something, since
// its new agent may have started it.
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
// passed over.
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
