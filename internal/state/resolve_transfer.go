package state

// ResolveTransfer records, at the source cluster, the target's answer to an offer.
type ResolveTransfer struct {
	_       struct{} `cbor:",toarray"`
	Job     string
	OfferID int64
	Peer    string
	Epoch   string // the peer's epoch at the log entry that the answer is based on
	Index   uint64 // index of that log entry
	Answer  string // one of the Answer constants, or the final status of a job that ended
}

// Answers of a target cluster to the source, as they are sent in calls between clusters.
const (
	AnswerAccepted  = "taken"
	AnswerRefused   = "refused"  // this offer will never be accepted
	AnswerWithdrawn = "voided"   // the source withdrew the offer, which will never be accepted
	AnswerReleased  = "released" // the target needs the job no longer and may remove it
)

// answerEffects maps each answer to its effect on the job at the source.
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

// Apply accepts the answer only if the peer's log has not gone back since its last answer.
// The outcome is CodeConflict if it has, or if the peer refuses a job that it accepted
// before. An answer to an offer that is already resolved does not change the job.
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
	if job == nil || effect == nil || job.ended() || !job.MayBeAtPeer() ||
		job.Transfer.OfferID != c.OfferID || job.Transfer.Peer != c.Peer {
		return Outcome{Code: CodeOK, Text: "no longer of interest"}
	}
	if (c.Answer == AnswerRefused || c.Answer == AnswerWithdrawn) && job.Transfer.State == TransferAccepted {
		return Outcome{Code: CodeConflict, Text: "the peer took it and now denies it"}
	}
	effect(s, job)
	return Outcome{Code: CodeOK}
}
