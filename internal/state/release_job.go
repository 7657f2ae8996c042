package state

// ReleaseJob allows the target cluster to remove a transferred job, after the source cluster has
// committed the job's end.
type ReleaseJob struct {
	_       struct{} `cbor:",toarray"`
	Peer    string
	OfferID int64
	ID      string
}

// Apply withdraws the offer, so that a late duplicate of it is not accepted after the job
// has been removed. The outcome's Text is AnswerReleased.
func (c *ReleaseJob) Apply(s *Store) Outcome {
	s.withdrawOffer(c.Peer, c.ID, c.OfferID)
	if job := s.Jobs[c.ID]; job != nil && job.matchesOffer(c.Peer, c.OfferID) {
		job.Transfer.State = TransferReleased
	}
	return Outcome{Code: CodeOK, Text: AnswerReleased}
}
