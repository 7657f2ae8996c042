package rpc

// LeaseRenewal renews the lease of a worker and tells how its runs progress.
type LeaseRenewal struct {
	_              struct{} `cbor:",toarray"`
	Worker         string
	Fence          int64
	RuntimePercent int64 // how long its runs take, in percent of the estimates; 0: unknown
	// KnownIndex is the newest Response.AppliedIndex that the agent was given.
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
	Member         int      // its place in the set
	RuntimePercent int64
}

// LeaseBatch renews the leases of those members of a numbered set whose bit is
// set in Requested. A set is sent with its members once; CodeUnknownSet says that
// the leader does not know it.
type LeaseBatch struct {
	_                   struct{} `cbor:",toarray"`
	AggregatorDisk      string   // the identity of the aggregator's disk
	AggregatorProcessID string   // daemon.Environment.ProcessID; each process numbers its sets from 1
	SetNumber           uint64
	Members             []BatchMember   // empty if the leader knows the set
	Requested           []byte          // a bit for each member, that of member 0 lowest in the first byte
	Runtimes            []MemberRuntime // those that changed
}

// IsRequested reports whether a member, given by its place in the set, asks for a
// renewal.
func (b *LeaseBatch) IsRequested(member int) bool {
	return member>>3 < len(b.Requested) && b.Requested[member>>3]&(1<<(member&7)) != 0
}

// MemberRefusal is a member whose lease was not renewed.
type MemberRefusal struct {
	_      struct{} `cbor:",toarray"`
	Member int      // its place in the set
	Code   Code     // one of the Code constants
}

// Batch carries several requests of agents.
type Batch struct {
	_        struct{} `cbor:",toarray"`
	Requests []Request
}
