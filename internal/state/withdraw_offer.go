package state

// WithdrawOffer settles an offer at the target: if it was not accepted before, it never
// will be.
type WithdrawOffer struct {
	_       struct{} `cbor:",toarray"`
	Peer    string
	OfferID int64
	ID      string
	Cancel  bool // cancel the job if it was accepted
}

// Apply settles the offer. The outcome's Text is AnswerWithdrawn, or what
// IncomingJobStatus gives for a job that was accepted.
func (c *WithdrawOffer) Apply(s *Store) Outcome {
	job := s.Jobs[c.ID]
	if job == nil || !job.cameFromOffer(c.Peer, c.OfferID) {
		s.withdrawOffer(c.Peer, c.ID, c.OfferID)
		return Outcome{Code: CodeOK, Text: AnswerWithdrawn}
	}
	if c.Cancel && !job.ended() {
		s.cancelJob(job)
	}
	return Outcome{Code: CodeOK, Text: IncomingJobStatus(job)}
}
