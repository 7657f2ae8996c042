package state

// A job is moved to a peer cluster in steps, each of which may be repeated. The
// source offers it (OfferJob) and from then on starts none of its runs. The target
// accepts or refuses (AcceptJob). The source records the answer (ResolveTransfer);
// if none comes, it has the target settle the offer (WithdrawOffer). When the job has
// ended at the target and the source has recorded that, the target may forget it
// (ReleaseJob). So a job never runs at both.

// States of a job's transfer, as its source sees them.
const (
	TransferNone     = byte(iota)
	TransferOffered  // the peer may have accepted it: nothing starts here
	TransferAccepted // the peer has accepted it
	TransferReleased // both clusters know its end
)

// JobTransfer is the state of a job's move to a peer or from one.
type JobTransfer struct {
	_               struct{} `cbor:",toarray"`
	Peer            string
	OfferID         int64 // given by the source's state
	State           byte  // at the source; at the target TransferReleased or TransferNone
	CancelRequested bool  // a client wants it canceled, and the peer hasn't settled
	Incoming        bool  // it came from the peer: this cluster is the target
	Loan            string
	OfferCount      int // how many times it was offered
}

// PeerProgress is the index of a peer's log as of its last answer. A peer whose
// index is lower later was restored from an older state, and its answers are not
// accepted.
type PeerProgress struct {
	_     struct{} `cbor:",toarray"`
	Epoch string
	Index uint64
}

// AtPeer reports whether a peer has the job or may have it.
func (j *Job) AtPeer() bool { return !j.Transfer.Incoming && j.Transfer.State != TransferNone }

// keptForPeer reports whether a job must be kept, ended or not, for a peer that
// has not settled it.
func (j *Job) keptForPeer() bool {
	if j.Transfer.Incoming {
		return j.Transfer.State != TransferReleased
	}
	return j.Transfer.State == TransferOffered || j.Transfer.State == TransferAccepted
}

// cameFromOffer reports whether this is the job that a peer's offer brought.
func (j *Job) cameFromOffer(peer string, offerID int64) bool {
	return j.Transfer.Incoming && j.Transfer.Peer == peer && j.Transfer.OfferID == offerID
}

// withdrawOffer makes AcceptJob refuse an offer, and earlier ones of the job, from now
// on.
func (s *Store) withdrawOffer(peer, job string, offerID int64) {
	if s.WithdrawnOffers == nil {
		s.WithdrawnOffers = map[string]int64{}
	}
	key := offerKey(peer, job)
	s.WithdrawnOffers[key] = max(s.WithdrawnOffers[key], offerID)
}

func offerKey(peer, job string) string { return peer + "/" + job }
