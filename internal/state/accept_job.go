package state

import "tealpond/internal/protocol"

// AcceptJob accepts a peer's job at the target, under a loan.
type AcceptJob struct {
	_       struct{} `cbor:",toarray"`
	Peer    string
	OfferID int64
	ID      string
	Route   string
	Loan    string
	Job     protocol.Job
}

// Apply accepts an offer at most once, and never if it was voided. The outcome's
// Text is the answer to the peer: AnswerAccepted with CodeOK, else AnswerRefused
// with CodeConflict. A refused offer is voided, so that a copy that arrives later,
// when the reason no longer applies, is refused too.
func (c *AcceptJob) Apply(s *Store) Outcome {
	if job := s.Jobs[c.ID]; job != nil {
		if job.cameFromOffer(c.Peer, c.OfferID) {
			return Outcome{Code: CodeOK, Text: AnswerAccepted}
		}
		return c.refuse(s)
	}
	if c.OfferID <= s.WithdrawnOffers[offerKey(c.Peer, c.ID)] {
		return Outcome{Code: CodeConflict, Text: AnswerRefused}
	}
	route, loan := s.Routes[c.Route], s.Loans[c.Loan]
	if route == nil || loan == nil || loan.Peer != c.Peer || s.Clock >= loan.To {
		return c.refuse(s)
	}
	job := s.newJob(c.ID, route, c.Job)
	job.Transfer = JobTransfer{Peer: c.Peer, OfferID: c.OfferID, Incoming: true, Loan: c.Loan}
	s.Jobs[job.ID], s.openJobs[job.ID] = job, job
	s.addInstance(job)
	return Outcome{Code: CodeOK, Text: AnswerAccepted}
}

func (c *AcceptJob) refuse(s *Store) Outcome {
	s.withdrawOffer(c.Peer, c.ID, c.OfferID)
	return Outcome{Code: CodeConflict, Text: AnswerRefused}
}

// IncomingJobStatus is the answer to a source about its job here.
func IncomingJobStatus(job *Job) string {
	if job.ended() {
		return job.Status()
	}
	return AnswerAccepted
}
