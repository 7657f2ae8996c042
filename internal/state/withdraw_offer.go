package state

// WithdrawOffer withdraws an offer at the target. An offer that was not accepted before will
// never be accepted.
type WithdrawOffer struct {
	_       struct{} `cbor:",toarray"`
	Peer    string
	OfferID int64
	ID      string
	Cancel  bool // cancel the job if it was accepted
}

// Apply withdraws the offer, unless its job was accepted before; that job is canceled if
// Cancel is set. The outcome's Text is AnswerWithdrawn, or the result of IncomingJobStatus
// for a job that was accepted.
func (c *WithdrawOffer) Apply(s *Store) Outcome {
	job := s.Jobs[c.ID]
	if job == nil || !job.matchesOffer(c.Peer, c.OfferID) {
		s.withdrawOffer(c.Peer, c.ID, c.OfferID)
		return Outcome{Code: CodeOK, Text: AnswerWithdrawn}
	}
	if c.Cancel && !job.ended() {
		s.cancelJob(job)
	}
	return Outcome{Code: CodeOK, Text: IncomingJobStatus(job)}
}
