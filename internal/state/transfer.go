package state

// A job is moved to a peer cluster in steps that each may be repeated. The
// source offers it (OfferJob), from when on it starts nothing of it. The target
// accepts or refuses (AcceptJob). The source notes the answer (SettleTransfer);
// if none comes, the target is asked to settle the offer (VoidOffer). When the
// job has ended at the target and the source has noted it, the target may forget
// it (ReleaseJob). So a job never runs at both.

// States of a job's transfer, as its source sees them.
const (
	TransferNone     = byte(iota)
	TransferOffered  // the peer may have it: nothing starts here
	TransferAccepted // the peer has it
	TransferReleased // its end is known to both
)

// JobTransfer is what is kept of a job that goes to a peer or came from one.
type JobTransfer struct {
	_               struct{} `cbor:",toarray"`
	Peer            string
	OfferID         int64 // given by the source's state
	State           byte  // at the source; at the target TransferReleased or TransferNone
	CancelRequested bool  // a client wants it canceled, and the peer hasn't settled
	Incoming        bool  // it came from the peer: this cluster is the target
	Loan            string
	OfferCount      int // how often it was offered
}

// PeerProgress is how far a peer's log was when it last said something. A peer
// that shows less has come back with an older state and isn't believed.
type PeerProgress struct {
	_     struct{} `cbor:",toarray"`
	Epoch string
	Index uint64
}

// AtPeer tells whether a peer has the job or may have it.
func (j *Job) AtPeer() bool { return !j.Transfer.Incoming && j.Transfer.State != TransferNone }

// heldForPeer tells whether a job must be kept, ended or not, for a peer that
// has not settled it.
func (j *Job) heldForPeer() bool {
	if j.Transfer.Incoming {
		return j.Transfer.State != TransferReleased
	}
	return j.Transfer.State == TransferOffered || j.Transfer.State == TransferAccepted
}

// cameBy tells whether this is the job that a peer's offer brought.
func (j *Job) cameBy(peer string, offerID int64) bool {
	return j.Transfer.Incoming && j.Transfer.Peer == peer && j.Transfer.OfferID == offerID
}

// voidOffer has an offer, and those of the job before it, refused from now on.
func (s *Store) voidOffer(peer, job string, offerID int64) {
	if s.VoidedOffers == nil {
		s.VoidedOffers = map[string]int64{}
	}
	key := offerKey(peer, job)
	s.VoidedOffers[key] = max(s.VoidedOffers[key], offerID)
}

func offerKey(peer, job string) string { return peer + "/" + job }
