package state

// SetLimits puts a leader's limits in force, on all replicas at one index.
type SetLimits struct {
	_      struct{} `cbor:",toarray"`
	Limits Limits
}

// Apply replaces the limits. It begins the digest chain if the state has none: the
// chain begins with a command, at one index on all replicas, and not when a program
// starts, since each replica may load a state without a chain at another index.
func (c *SetLimits) Apply(s *Store) Outcome {
	if s.DigestChainFrom == 0 {
		s.DigestChainFrom = s.AppliedIndex
	}
	s.Limits = c.Limits
	return Outcome{Code: CodeOK}
}
