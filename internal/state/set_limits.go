package state

// SetLimits puts the leader's limits into force, on all replicas at the same index.
type SetLimits struct {
	_      struct{} `cbor:",toarray"`
	Limits Limits
}

// Apply replaces the limits. It starts the digest chain if the state has none. A command
// starts the chain so that it starts at the same index on all replicas. At program start
// it could not, since each replica may load a state without a chain at a different index.
func (c *SetLimits) Apply(s *Store) Outcome {
	if s.DigestChainFrom == 0 {
		s.DigestChainFrom = s.AppliedIndex
	}
	s.Limits = c.Limits
	return Outcome{Code: CodeOK}
}
