package rpc

// LeaseRenewal renews the lease of a worker and reports the runtime of its runs.
type LeaseRenewal struct {
	_              struct{} `cbor:",toarray"`
	Worker         string
	Fence          int64
	RuntimePercent int64 // runtime of its runs in percent of the estimates; 0: unknown
	// KnownIndex is the highest Response.AppliedIndex that the agent has received.
	KnownIndex uint64
}

// BatchMember is one worker of an aggregator's set.
type BatchMember struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Fence  int64
}

// MemberRuntime is the LeaseRenewal.RuntimePercent of a member of the set.
type MemberRuntime struct {
	_              struct{} `cbor:",toarray"`
	Member         int      // its index in the set
	RuntimePercent int64
}

// LeaseBatch renews the leases of those members of a numbered set whose bit is
// set in Requested. The members of a set are sent only once. CodeUnknownSet means that
// the leader does not know the set.
type LeaseBatch struct {
	_                   struct{} `cbor:",toarray"`
	AggregatorDisk      string   // the identity of the aggregator's disk
	AggregatorProcessID string   // daemon.Environment.ProcessID; each process numbers its sets from 1
	SetNumber           uint64
	Members             []BatchMember   // empty if the leader knows the set
	Requested           []byte          // one bit per member; member 0 is the lowest bit of the first byte
	Runtimes            []MemberRuntime // only those that changed
}

// IsRequested reports whether a renewal is requested for the member with the given index in the set.
func (b *LeaseBatch) IsRequested(member int) bool {
	return member>>3 < len(b.Requested) && b.Requested[member>>3]&(1<<(member&7)) != 0
}

// MemberRefusal is a member whose lease was not renewed.
type MemberRefusal struct {
	_      struct{} `cbor:",toarray"`
	Member int      // its index in the set
	Code   Code     // one of the Code constants
}

// Batch carries several requests from agents.
type Batch struct {
	_        struct{} `cbor:",toarray"`
	Requests []Request
}
