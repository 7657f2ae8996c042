package state

// A job is transferred to a peer cluster in idempotent steps. The source offers the job
// (OfferJob) and from then on starts none of its runs. The target accepts or refuses it
// (AcceptJob). The source records the answer (ResolveTransfer). If it gets none, it
// withdraws the offer at the target (WithdrawOffer), which answers whether the job had been
// accepted before. After the job has ended at the target and the source has recorded that,
// the target may remove the job (ReleaseJob). So a job never runs in both clusters.

// States of a job's transfer, as seen by the source.
const (
	TransferNone     = byte(iota)
	TransferOffered  // the peer may have accepted it: no run starts here
	TransferAccepted // the peer has accepted it
	TransferReleased // both clusters know its end
)

// JobTransfer is the state of a job's transfer to or from a peer.
type JobTransfer struct {
	_               struct{} `cbor:",toarray"`
	Peer            string
	OfferID         int64  // assigned by the source's state
	State           byte   // at the source; at the target TransferReleased or TransferNone
	CancelRequested bool   // a client canceled the job and the peer's answer is awaited
	Incoming        bool   // the job came from the peer: this cluster is the target
	Loan            string // ID of the loan under which an incoming job runs
	OfferCount      int    // number of times the job was offered
}

// PeerProgress is the position in a peer's log as of its last answer. A peer that answers
// later with another epoch or a lower index was restored from an older state, and its
// answers are not accepted.
type PeerProgress struct {
	_     struct{} `cbor:",toarray"`
	Epoch string
	Index uint64
}

// MayBeAtPeer reports whether the job was transferred to a peer or may have been accepted by one.
func (j *Job) MayBeAtPeer() bool { return !j.Transfer.Incoming && j.Transfer.State != TransferNone }

// keptForPeer reports whether a job must be retained, even after its end, because its
// transfer to or from a peer is not complete.
func (j *Job) keptForPeer() bool {
	if j.Transfer.Incoming {
		return j.Transfer.State != TransferReleased
	}
	return j.Transfer.State == TransferOffered || j.Transfer.State == TransferAccepted
}

// matchesOffer reports whether the job was accepted from the given offer of a peer.
func (j *Job) matchesOffer(peer string, offerID int64) bool {
	return j.Transfer.Incoming && j.Transfer.Peer == peer && j.Transfer.OfferID == offerID
}

// withdrawOffer records an offer as withdrawn: from now on AcceptJob refuses it and earlier
// offers of the same job.
func (s *Store) withdrawOffer(peer, job string, offerID int64) {
	if s.WithdrawnOffers == nil {
		s.WithdrawnOffers = map[string]int64{}
	}
	key := offerKey(peer, job)
	s.WithdrawnOffers[key] = max(s.WithdrawnOffers[key], offerID)
}

// offerKey returns the key of Store.WithdrawnOffers for a peer's job.
func offerKey(peer, job string) string { return peer + "/" + job }
