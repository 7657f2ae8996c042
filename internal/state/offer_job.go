package state

// OfferJob starts the transfer of a job to a peer. The job must not have started yet.
type OfferJob struct {
	_    struct{} `cbor:",toarray"`
	Job  string
	Peer string
}

// Apply marks the job as offered: none of its runs starts here until the offer is
// resolved. The outcome's Value is the offer ID. The outcome is CodeGone if the job is
// unknown or has ended, and CodeConflict if it has started, is periodic or is already being
// transferred.
func (c *OfferJob) Apply(s *Store) Outcome {
	job := s.Jobs[c.Job]
	switch {
	case job == nil || job.ended():
		return Outcome{Code: CodeGone}
	case job.Started || job.PeriodicInstances > 0 || job.Transfer.Incoming || job.Transfer.State != TransferNone:
		return Outcome{Code: CodeConflict, Text: "it has begun or moves already"}
	}
	s.LastID++
	job.Transfer = JobTransfer{
		Peer:       c.Peer,
		OfferID:    int64(s.LastID),
		State:      TransferOffered,
		OfferCount: job.Transfer.OfferCount + 1,
	}
	return Outcome{Code: CodeOK, Value: job.Transfer.OfferID}
}
