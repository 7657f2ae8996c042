package state

// CancelJob cancels a job at a client's request.
type CancelJob struct {
	_  struct{} `cbor:",toarray"`
	ID string
}

// Apply ends the job and stops its runs. A job that has already ended is not changed.
// The outcome is CodeAccepted if a peer may be running the job: the job then ends
// when the peer reports that it has stopped. The outcome is CodeGone if there is no
// such job.
func (c *CancelJob) Apply(s *Store) Outcome {
	job := s.Jobs[c.ID]
	if job == nil {
		return Outcome{Code: CodeGone}
	}
	if job.Canceled || job.ended() {
		return Outcome{Code: CodeOK}
	}
	if job.MayBeAtPeer() {
		job.Transfer.CancelRequested = true
		return Outcome{Code: CodeAccepted}
	}
	s.cancelJob(job)
	return Outcome{Code: CodeOK}
}
