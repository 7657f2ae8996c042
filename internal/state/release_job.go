package state

// ReleaseJob lets the target forget a job whose end the source has committed.
type ReleaseJob struct {
	_       struct{} `cbor:",toarray"`
	Peer    string
	OfferID int64
	ID      string
}

// Apply voids the offer, so that no late copy of it is accepted once the job is
// forgotten. The outcome's Text is AnswerReleased.
func (c *ReleaseJob) Apply(s *Store) Outcome {
	s.withdrawOffer(c.Peer, c.ID, c.OfferID)
	if job := s.Jobs[c.ID]; job != nil && job.cameFromOffer(c.Peer, c.OfferID) {
		job.Transfer.State = TransferReleased
	}
	return Outcome{Code: CodeOK, Text: AnswerReleased}
}
