package store

// SetLimits puts a leader's limits in force, on all replicas at one index.
type SetLimits struct {
	_      struct{} `cbor:",toarray"`
	Limits Limits
}

func init() { register("limits", func() Cmd { return &SetLimits{} }) }

// Apply keeps the newest.
func (c *SetLimits) Apply(s *Store) Outcome {
	s.Limits = c.Limits
	return Outcome{Code: 200}
}
