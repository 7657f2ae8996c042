package state

// SetLimits puts a leader's limits in force, on all replicas at one index, and
// begins the chain of sums if the state has none.
type SetLimits struct {
	_      struct{} `cbor:",toarray"`
	Limits Limits
}

// Apply keeps the newest.
func (c *SetLimits) Apply(s *Store) Outcome {
	// Begun by the log, not by a program's start: a state that was saved
	// without a chain is loaded at another index on each replica.
	if s.DigestChainFrom == 0 {
		s.DigestChainFrom = s.AppliedIndex
	}
	s.Limits = c.Limits
	return Outcome{Code: CodeOK}
}
