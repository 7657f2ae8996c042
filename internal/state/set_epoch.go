package state

// SetEpoch sets the epoch, which identifies the history of this cluster. A changed epoch
// tells peers that the cluster was bootstrapped again.
type SetEpoch struct {
	_     struct{} `cbor:",toarray"`
	Epoch string
}

// Apply sets the epoch if there is none yet. The epoch never changes after that.
func (c *SetEpoch) Apply(s *Store) Outcome {
	if s.Epoch == "" {
		s.Epoch = c.Epoch
	}
	return Outcome{Code: CodeOK}
}
