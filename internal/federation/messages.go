package federation

import (
	"crypto/hmac"
	"crypto/sha256"

	"tealpond/internal/protocol"
	"tealpond/internal/transport"
)

// Kinds of calls between clusters.
const (
	CallLoan      = "loan"
	CallOffer     = "offer"
	CallVoidOffer = "void"
	CallRelease   = "release"
)

// Call goes from the leader of one cluster to that of another. All may be
// repeated without harm.
type Call struct {
	_           struct{} `cbor:",toarray"`
	From        string
	To          string
	Kind        string
	JobID       string
	OfferNumber int64
	Route       string
	Loan        string
	MilliCPU    int64
	DurationMs  int64
	Cancel      bool
	Job         protocol.Job
}

// Response is the answer: a word, and how far the log that says it was.
type Response struct {
	_        struct{} `cbor:",toarray"`
	Status   string
	Epoch    string
	Index    uint64
	MilliCPU int64
}

// signedCall is a call with the proof that a peer made it.
type signedCall struct {
	_    struct{} `cbor:",toarray"`
	From string
	Body []byte
	MAC  []byte
}

func computeMAC(key string, body []byte) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write(body)
	return mac.Sum(nil)
}

// Sign packs a call.
func Sign(key string, call Call) []byte {
	body := transport.Encode(call)
	return transport.Encode(signedCall{From: call.From, Body: body, MAC: computeMAC(key, body)})
}

// Verify checks who made a call; why it was refused otherwise.
func (s *Settings) Verify(raw []byte) (Call, string) {
	var signature signedCall
	var call Call
	if transport.Decode(raw, &signature) != nil {
		return call, "unreadable"
	}
	peer := s.findPeer(signature.From)
	if peer == nil {
		return call, "unknown peer " + signature.From
	}
	if !hmac.Equal(computeMAC(peer.Key, signature.Body), signature.MAC) {
		return call, "forged in the name of " + signature.From
	}
	if transport.Decode(signature.Body, &call) != nil || call.From != signature.From || call.To != s.Name {
		return call, "not meant for us"
	}
	return call, ""
}

// PendingWork is what a mover is to do next, as its leader's store shows it.
type PendingWork struct {
	_        struct{} `cbor:",toarray"`
	IsLeader bool
	Epoch    string
	Index    uint64
	WallMs   int64
	// OpenTransfers are moves that the peer must settle.
	OpenTransfers []OpenTransfer
	// Candidates are jobs that may move: of routes that may, not begun.
	Candidates []Candidate
	// Demand of the service's routes in core-ms by bucket, and its room.
	Demand           map[int64]float64
	CapacityMilliCPU int64
}

// OpenTransfer is a move under way.
type OpenTransfer struct {
	_               struct{} `cbor:",toarray"`
	JobID           string
	Peer            string
	OfferNumber     int64
	State           byte
	CancelRequested bool
	Finished        bool // its end is committed here, and the peer may forget it
	Route           string
	Loan            string
	Job             protocol.Job
}

// Candidate is a job that may move.
type Candidate struct {
	_        struct{} `cbor:",toarray"`
	JobID    string
	Route    string
	Priority int
	MilliCPU int64
	Offers   int
}
