package federation

import (
	"tealpond/internal/protocol"
)

// Kinds of calls between clusters. The texts stand in the calls and stay.
const (
	CallLoan          = "loan"    // lend room for a while
	CallOffer         = "offer"   // accept a job
	CallWithdrawOffer = "void"    // never accept this offer; if it was, say how the job is
	CallRelease       = "release" // the job's end is known, and it may be forgotten
)

// Statuses of responses to CallLoan. Those to the other calls are the answers of
// package state, such as state.AnswerAccepted, or the job's state.
const (
	StatusLent    = "lent"
	StatusCrowded = "crowded" // the peer foresees a crowd of its own
	StatusFull    = "full"    // the room was lent before
)

// Call goes from the leader of one cluster to that of another. Each may be repeated
// without harm.
type Call struct {
	_          struct{} `cbor:",toarray"`
	From       string   // the name of the caller's cluster
	To         string   // the name of the called one
	Kind       string   // one of the Call constants
	JobID      string
	OfferID    int64
	Route      string // of the called cluster
	Loan       string // drawn by the caller
	MilliCPU   int64  // with CallLoan: the least that is of use
	DurationMs int64  // with CallLoan
	Cancel     bool   // with CallWithdrawOffer: the job is to be cancelled
	Job        protocol.Job
}

// Response is the answer to a Call, and how far the log was that says so.
type Response struct {
	_        struct{} `cbor:",toarray"`
	Status   string
	Epoch    string // the name of the answering cluster's log
	Index    uint64
	MilliCPU int64 // with StatusLent: the room that was lent
}
