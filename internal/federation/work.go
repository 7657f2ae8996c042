package federation

import "tealpond/internal/protocol"

// PendingWork is what there is to do for an Offloader, as the state of the leader of
// its own cluster shows it.
type PendingWork struct {
	_        struct{} `cbor:",toarray"`
	IsLeader bool     // false on a server that doesn't lead, where the rest is empty
	Epoch    string   // the name of the cluster's log
	Index    uint64   // the index of the log that the rest follows
	WallMs   int64    // time of day, ms since 1970
	// OpenTransfers are transfers that the peer must settle.
	OpenTransfers []OpenTransfer
	// Candidates are the jobs that may move: of routes that may, and not begun.
	Candidates []Candidate
	// Demand is that of the service's routes in core-ms by bucket of time, and
	// CapacityMilliCPU the room of its workers.
	Demand           map[int64]float64
	CapacityMilliCPU int64
}

// OpenTransfer is a transfer of a job to a peer that is not over.
type OpenTransfer struct {
	_               struct{} `cbor:",toarray"`
	JobID           string
	Peer            string
	OfferID         int64 // each offer of a job has its own
	State           byte  // one of the constants state.Transfer...
	CancelRequested bool
	Finished        bool   // its end is committed here, and the peer may forget it
	Route           string // at the peer
	Loan            string // the loan that it was offered under
	Job             protocol.Job
}

// Candidate is a job that may move.
type Candidate struct {
	_        struct{} `cbor:",toarray"`
	JobID    string
	Route    string // in this cluster
	Priority int
	MilliCPU int64 // what its largest task needs
	Offers   int   // how often it was offered
}
