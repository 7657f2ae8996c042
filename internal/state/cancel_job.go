package state

// CancelJob cancels a job.
type CancelJob struct {
	_  struct{} `cbor:",toarray"`
	ID string
}

// Apply ends the job and stops its runs; a job that has ended stays as it is.
// The outcome is CodeAccepted if a peer may run the job: it ends when the peer
// has said that it stopped. It is CodeGone if there is no such job.
func (c *CancelJob) Apply(s *Store) Outcome {
	job := s.Jobs[c.ID]
	if job == nil {
		return Outcome{Code: CodeGone}
	}
	if job.Canceled || job.ended() {
		return Outcome{Code: CodeOK}
	}
	if job.AtPeer() {
		job.Transfer.CancelRequested = true
		return Outcome{Code: CodeAccepted}
	}
	s.cancelJob(job)
	return Outcome{Code: CodeOK}
}
