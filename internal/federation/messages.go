package federation

import (
	"tealpond/internal/protocol"
)

// Kinds of calls between clusters. The texts are part of the wire format and must not change.
const (
	CallLoan          = "loan"    // lend capacity for a limited time
	CallOffer         = "offer"   // accept a job
	CallWithdrawOffer = "void"    // never accept this offer; if it was accepted, return the job's state
	CallRelease       = "release" // the job's result is known, and the peer may forget the job
)

// Statuses of responses to CallLoan. Responses to the other calls have the answers of package
// state, such as state.AnswerAccepted, or the job's state as their status.
const (
	StatusLent       = "lent"
	StatusOverloaded = "crowded" // the peer is forecast to be overloaded itself
	StatusFull       = "full"    // the capacity is already lent
)

// Call is a request from the leader of one cluster to the leader of another. Every call is
// idempotent.
type Call struct {
	_          struct{} `cbor:",toarray"`
	From       string   // name of the calling cluster
	To         string   // name of the called cluster
	Kind       string   // one of the Call constants
	JobID      string
	OfferID    int64
	Route      string // in the called cluster
	Loan       string // ID of the loan, chosen by the caller
	MilliCPU   int64  // with CallLoan: the smallest useful amount
	DurationMs int64  // with CallLoan
	Cancel     bool   // with CallWithdrawOffer: cancel the job
	Job        protocol.Job
}

// Response is the answer to a Call, with the log position that it is based on.
type Response struct {
	_        struct{} `cbor:",toarray"`
	Status   string
	Epoch    string // name of the answering cluster's log
	Index    uint64
	MilliCPU int64 // with StatusLent: the capacity that was lent
}
