package state

// Cancel calls a job off.
type Cancel struct {
	_  struct{} `cbor:",toarray"`
	ID string
}

func init() { registerCommand("cancel", func() Command { return &Cancel{} }) }

// Apply stops all its runs; a job that is over stays as it ended.
func (c *Cancel) Apply(s *Store) Outcome {
	j := s.Jobs[c.ID]
	if j == nil {
		return Outcome{Code: 410}
	}
	if j.Canceled || j.ended() {
		return Outcome{Code: 200}
	}
	if j.atPeer() {
		// Why not yet: the peer may run it, and must have stopped first.
		j.Transfer.CancelRequested = true
		return Outcome{Code: 202}
	}
	s.cancelJob(j)
	return Outcome{Code: 200}
}
