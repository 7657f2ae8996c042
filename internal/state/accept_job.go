package state

import "tealpond/internal/protocol"

// AcceptJob accepts at the target cluster a job that a peer offers under a loan.
type AcceptJob struct {
	_       struct{} `cbor:",toarray"`
	Peer    string
	OfferID int64
	ID      string
	Route   string
	Loan    string
	Job     protocol.Job
}

// Apply accepts an offer at most once, and never after it was withdrawn. The outcome's
// Text is the answer to the peer: AnswerAccepted with CodeOK, or AnswerRefused with
// CodeConflict. A refused offer is recorded as withdrawn, so that a duplicate that
// arrives after the reason for the refusal has gone is refused too.
func (c *AcceptJob) Apply(s *Store) Outcome {
	if job := s.Jobs[c.ID]; job != nil {
		if job.matchesOffer(c.Peer, c.OfferID) {
			return Outcome{Code: CodeOK, Text: AnswerAccepted}
		}
		return c.refuse(s)
	}
	if c.OfferID <= s.WithdrawnOffers[offerKey(c.Peer, c.ID)] {
		return Outcome{Code: CodeConflict, Text: AnswerRefused}
	}
	route, loan := s.RouteNamed(c.Route), s.Loans[c.Loan]
	if route == nil || loan == nil || loan.Peer != c.Peer || s.Clock >= loan.To {
		return c.refuse(s)
	}
	job := s.newJob(c.ID, route, c.Job)
	job.Transfer = JobTransfer{Peer: c.Peer, OfferID: c.OfferID, Incoming: true, Loan: c.Loan}
	s.Jobs[job.ID], s.openJobs[job.ID] = job, job
	s.jobBytes += job.bytes()
	s.addInstance(job)
	return Outcome{Code: CodeOK, Text: AnswerAccepted}
}

// refuse records the offer as withdrawn and returns the outcome of a refusal.
func (c *AcceptJob) refuse(s *Store) Outcome {
	s.withdrawOffer(c.Peer, c.ID, c.OfferID)
	return Outcome{Code: CodeConflict, Text: AnswerRefused}
}

// IncomingJobStatus returns the answer to the source cluster about a job that it transferred
// here: the job's status if the job has ended, else AnswerAccepted.
func IncomingJobStatus(job *Job) string {
	if job.ended() {
		return job.Status()
	}
	return AnswerAccepted
}
