package state

// ResolveTransfer records at the source the target's answer to an offer.
type ResolveTransfer struct {
	_       struct{} `cbor:",toarray"`
	Job     string
	OfferID int64
	Peer    string
	Epoch   string // of the peer, at the entry of its log that the answer is based on
	Index   uint64
	Answer  string // one of the Answer constants, or the status of a job that ended
}

// Answers of a target to its source, as calls between clusters name them.
const (
	AnswerAccepted  = "taken"
	AnswerRefused   = "refused"  // this offer is never accepted
	AnswerWithdrawn = "voided"   // as AnswerRefused, requested by the source
	AnswerReleased  = "released" // the target has forgotten the job
)

// answerEffects is what each answer does to the job at the source.
var answerEffects = map[string]func(*Store, *Job){
	AnswerAccepted: func(_ *Store, job *Job) { job.Transfer.State = TransferAccepted },
	AnswerRefused:  func(_ *Store, job *Job) { job.Transfer.State = TransferNone },
	AnswerWithdrawn: func(s *Store, job *Job) {
		job.Transfer.State = TransferNone
		if job.Transfer.CancelRequested {
			s.cancelJob(job)
		}
	},
	StatusDone:     func(s *Store, job *Job) { job.Done = true; s.endJob(job) },
	StatusFailed:   func(s *Store, job *Job) { job.Failed = true; s.endJob(job) },
	StatusCanceled: func(s *Store, job *Job) { s.cancelJob(job) },
}

// Apply accepts the answer only of a peer whose log has not gone back: the outcome
// is CodeConflict for any other, and for a peer that denies a job that it accepted.
// An answer to an offer that is settled already changes nothing.
func (c *ResolveTransfer) Apply(s *Store) Outcome {
	progress := s.Peers[c.Peer]
	if progress != nil && (progress.Epoch != c.Epoch || c.Index < progress.Index) {
		return Outcome{Code: CodeConflict, Text: "the peer came back with an older state"}
	}
	if s.Peers == nil {
		s.Peers = map[string]*PeerProgress{}
	}
	s.Peers[c.Peer] = &PeerProgress{Epoch: c.Epoch, Index: c.Index}
	job := s.Jobs[c.Job]
	if job != nil && c.Answer == AnswerReleased && job.ended() &&
		job.Transfer.State == TransferAccepted && job.Transfer.OfferID == c.OfferID {
		job.Transfer.State = TransferReleased
		return Outcome{Code: CodeOK}
	}
	effect := answerEffects[c.Answer]
	if job == nil || effect == nil || job.ended() || !job.AtPeer() ||
		job.Transfer.OfferID != c.OfferID || job.Transfer.Peer != c.Peer {
		return Outcome{Code: CodeOK, Text: "no longer of interest"}
	}
	if (c.Answer == AnswerRefused || c.Answer == AnswerWithdrawn) && job.Transfer.State == TransferAccepted {
		return Outcome{Code: CodeConflict, Text: "the peer took it and now denies it"}
	}
	effect(s, job)
	return Outcome{Code: CodeOK}
}
