package state

// CancelJob calls a job off.
type CancelJob struct {
	_  struct{} `cbor:",toarray"`
	ID string
}

// Apply stops all its runs; a job that is over stays as it ended.
func (c *CancelJob) Apply(s *Store) Outcome {
	j := s.Jobs[c.ID]
	if j == nil {
		return Outcome{Code: CodeGone}
	}
	if j.Canceled || j.ended() {
		return Outcome{Code: CodeOK}
	}
	if j.atPeer() {
		// Why not yet: the peer may run it, and must have stopped first.
		j.Transfer.CancelRequested = true
		return Outcome{Code: CodeAccepted}
	}
	s.cancelJob(j)
	return Outcome{Code: CodeOK}
}
