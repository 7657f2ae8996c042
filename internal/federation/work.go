package federation

import "tealpond/internal/protocol"

// PendingWork is the input of an Offloader, taken from the state of its own cluster's leader.
type PendingWork struct {
	_        struct{} `cbor:",toarray"`
	IsLeader bool     // false on any other server, where the rest is empty
	Epoch    string   // name of the cluster's log
	Index    uint64   // log index that the rest is based on
	WallMs   int64    // wall-clock time, ms since 1970
	// OpenTransfers are the transfers that are to be resolved with the peer.
	OpenTransfers []OpenTransfer
	// Candidates are the jobs that may be transferred: those of federated routes that have not started.
	Candidates []Candidate
	// Demand is the demand of the service's routes, in core-ms by time bucket. CapacityMilliCPU is
	// the capacity of its workers.
	Demand           map[int64]float64
	CapacityMilliCPU int64
}

// OpenTransfer is an unresolved transfer of a job to a peer.
type OpenTransfer struct {
	_               struct{} `cbor:",toarray"`
	JobID           string
	Peer            string
	OfferID         int64 // unique among the offers of a job
	State           byte  // one of the constants state.Transfer...
	CancelRequested bool
	Finished        bool   // its result is committed here, and the peer may forget the job
	Route           string // at the peer
	Loan            string // ID of the loan under which it was offered
	Job             protocol.Job
}

// Candidate is a job that may be transferred.
type Candidate struct {
	_        struct{} `cbor:",toarray"`
	JobID    string
	Route    string // in this cluster
	Priority int
	MilliCPU int64 // needed by its largest task
	Offers   int   // number of times it was offered
}
