package rpc

import (
	"tealpond/internal/protocol"
	"tealpond/internal/raft"
	"tealpond/internal/registry"
	"tealpond/internal/tally"
	"tealpond/internal/tracing"
)

// MaxQueryRows is the maximum number of rows of a table that a query covers.
const MaxQueryRows = 5000

// LeaderInfo is the response to KindLeader.
type LeaderInfo struct {
	_            struct{} `cbor:",toarray"`
	IsLeader     bool     // the daemon leads, and its lease is valid
	Term         uint64
	Leader       string   // address of the leader, if the daemon knows it; otherwise empty
	KnownServers []string // addresses of the servers that the daemon knows
	// IsAggregator reports whether the daemon aggregates the requests of agents.
	IsAggregator bool
}

// BootstrapAnnouncement is a candidate's announcement for the first cluster.
type BootstrapAnnouncement struct {
	_           struct{} `cbor:",toarray"`
	Voter       raft.Member
	BoundVoters []raft.Member // the set that the candidate has durably bound itself to; empty if none
	// NotFirstStart reports that the candidate was restarted, or started long after the system, and
	// that its disk holds no cluster state.
	NotFirstStart bool
}

// BootstrapProposal is the response to a BootstrapAnnouncement: the voters of the first
// cluster, and whether all of them are bound to that set and may therefore start.
type BootstrapProposal struct {
	_      struct{} `cbor:",toarray"`
	Voters []raft.Member
	Start  bool
}

// MembershipLease is the lease that a daemon renews to remain a member of the cluster.
type MembershipLease struct {
	_         struct{} `cbor:",toarray"`
	Node      string   // name of its machine
	Role      string
	Zone      string
	Addr      string // its address for other daemons
	ProcessID string // daemon.Environment.ProcessID
}

// TraceResult is a daemon's response to KindTrace.
type TraceResult struct {
	_      struct{} `cbor:",toarray"`
	Node   string
	Role   string
	Since  int64 // wall-clock time in ns since which the events are complete; 0: all events are kept
	Events []tracing.Event
}

// Table is one table of the state of a server, for queries.
type Table struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	Columns   []string
	Rows      [][]any
	Truncated bool // there are more rows than are included
}

// ClusterState is a server's response to KindClusterState.
type ClusterState struct {
	_            struct{} `cbor:",toarray"`
	Node         string
	IsLeader     bool
	AppliedIndex uint64
	Clock        int64 // of the replicated state, in ms
	Tables       []Table
}

// JobRequest is a client's request about a job.
type JobRequest struct {
	_    struct{} `cbor:",toarray"`
	Host string   // the HTTP host, which identifies the queue together with the path
	Path string
	Job  protocol.Job
	Key  string // the tenant key of the request; it is never written to a log
	// BeyondShare reports that the tenant has submitted more jobs than its
	// share, according to the merged counts.
	BeyondShare bool
}

// RunnerAnnouncement is a heartbeat or a sign-off of a runner that is not listed by a platform.
type RunnerAnnouncement struct {
	_        struct{}        `cbor:",toarray"`
	Runner   registry.Runner // only the ID in a sign-off
	Sequence int64           // increases with each heartbeat of the runner
	SignsOff bool
}

// RunnerWatch requests changes to the list of runners and to the configuration, relative to what a daemon knows.
type RunnerWatch struct {
	_             struct{} `cbor:",toarray"`
	Node          string   // node of the daemon
	Zone          string   // zone of the daemon
	Epoch         string   // of the daemon's list; empty if it has none
	Version       uint64   // of the daemon's list
	ConfigVersion int64
	// Observations are the results of the daemon's requests to runners since its last
	// RunnerWatch.
	Observations []registry.Observation
	// Digest is the digest of the daemon's list. If it matches, a list that the daemon received from another
	// leader need not be sent in full.
	Digest uint64
	// Scope is registry.AllZones, or the only zone whose runners the daemon requests.
	Scope string
}

// RunnerList is a list of all runners.
type RunnerList struct {
	_       struct{} `cbor:",toarray"`
	Runners []registry.Runner
	AgeMs   int64 // age since which changes may be missing from the list
}

// RunnerUpdate holds the changes to the list of runners that a daemon does not have, and the index of the daemon
// among the daemons of its zone that use the runners.
type RunnerUpdate struct {
	_           struct{} `cbor:",toarray"`
	Delta       []byte   // an encoded registry.Delta, encoded once for all daemons that need the same one
	DaemonIndex int
	DaemonCount int // 0: not known yet
	// Config is the newest configuration if the daemon has another version. It is complete or, if
	// ConfigBase is not 0, the change from that version.
	Config      []byte
	ConfigBase  int64
	DaemonTotal int // of all zones
	// ListAgeMs is the age, when the response is sent, since which changes may be missing from the list;
	// negative: unknown.
	ListAgeMs int64
	HeldMs    int64 // how long the request was held
}

// KeyWatch requests the puts to a group of keys after a revision.
type KeyWatch struct {
	_      struct{} `cbor:",toarray"`
	Group  string
	After  int64
	WaitMs int64 // how long the leader may wait for the first put
}

// TenantQuery requests the tenants of the newest configuration.
type TenantQuery struct {
	_           struct{} `cbor:",toarray"`
	KnownDigest string   // digest of the tenants that the caller has; empty if it has none
}

// TenantShare is the data of a tenant that daemons need to count its submitted jobs.
type TenantShare struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	MilliShare int64 // jobs per 1000 s; 0: no share is configured
	// KeyDigests are the digests of its keys, computed by clusterconfig.DigestOf.
	KeyDigests [][]byte
}

// ConfigUpdate is a change of the cluster configuration by an operator.
type ConfigUpdate struct {
	_           struct{} `cbor:",toarray"`
	BaseVersion int64    // the version that the change is based on
	Raw         []byte   // the new configuration, as JSON
}

// ZoneRelease reports that a server is leaving and releases the zones for which it
// is the aggregator.
type ZoneRelease struct {
	_    struct{} `cbor:",toarray"`
	Disk string   // the identity of the server's disk
}

// Assignment instructs an agent to start or stop a run of its worker.
type Assignment struct {
	_           struct{} `cbor:",toarray"`
	Worker      string
	Fence       int64 // of the worker registration under which the run was assigned
	Stop        bool  // true: stop the run; false: start it
	Task        string
	Run         int // number of the run within the task
	JobSpec     string
	Checkpoint  string // checkpoint to continue from; empty: start from the beginning
	EstimateMs  int64  // expected runtime on this worker at normal speed
	LongRunning bool
	// Evacuated reports that the worker's zone is being evacuated. The run must not start later than
	// StartWithinMs from now.
	Evacuated     bool
	StartWithinMs int64
}

// ZoneEvacuation is an order that the workers of a zone receive no new work, or that they receive it again.
type ZoneEvacuation struct {
	_         struct{} `cbor:",toarray"`
	Zone      string
	Evacuated bool
	Revision  int64 // of the order that it replaces or, for the current order, its own
}

// TallyRead reads a tally from a replica that has all adds up to a vector of numbers by origin.
type TallyRead struct {
	_     struct{} `cbor:",toarray"`
	Tally string
	After map[string]uint64
}

// TallyAnswer is a replica's response to a change or a read.
type TallyAnswer struct {
	_        struct{}       `cbor:",toarray"`
	Total    int64          // result of a read
	Position tally.Position // position of the add of a change
	Servers  []string       // addresses of the replicas that it knows, including its own
}

// TallyMessage is a message about tallies that one replica sends to another in a frame.
type TallyMessage struct {
	_       struct{} `cbor:",toarray"`
	From    string   // the sender's member ID
	To      string   // the receiver's member ID
	Message tally.Message
}
