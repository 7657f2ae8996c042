package state

// SetLimits puts a leader's limits in force, on all replicas at one index.
type SetLimits struct {
	_      struct{} `cbor:",toarray"`
	Limits Limits
}

// Apply replaces the limits. It begins the digest chain if the state has none:
// the log has to begin it and not a program's start, since a state that was
// saved without a chain is loaded at another index on each replica.
func (c *SetLimits) Apply(s *Store) Outcome {
	if s.DigestChainFrom == 0 {
		s.DigestChainFrom = s.AppliedIndex
	}
	s.Limits = c.Limits
	return Outcome{Code: CodeOK}
}
