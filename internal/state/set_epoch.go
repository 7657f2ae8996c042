package state

// SetEpoch sets the ID of this cluster's history. By it peers notice that a cluster
// was bootstrapped again.
type SetEpoch struct {
	_     struct{} `cbor:",toarray"`
	Epoch string
}

// Apply sets the epoch if there is none yet; it never changes after that.
func (c *SetEpoch) Apply(s *Store) Outcome {
	if s.Epoch == "" {
		s.Epoch = c.Epoch
	}
	return Outcome{Code: CodeOK}
}
