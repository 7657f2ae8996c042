package state

// SetEpoch names this cluster's history. Peers tell by it whether a cluster that
// they know was formed anew.
type SetEpoch struct {
	_     struct{} `cbor:",toarray"`
	Epoch string
}

// Apply keeps the first name for good.
func (c *SetEpoch) Apply(s *Store) Outcome {
	if s.Epoch == "" {
		s.Epoch = c.Epoch
	}
	return Outcome{Code: CodeOK}
}
