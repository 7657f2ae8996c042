package rpc

import (
	"tealpond/internal/protocol"
	"tealpond/internal/raft"
	"tealpond/internal/registry"
	"tealpond/internal/tally"
	"tealpond/internal/tracing"
)

// MaxQueryRows is the number of rows of one table that a query sees.
const MaxQueryRows = 5000

// LeaderInfo is the answer to KindLeader.
type LeaderInfo struct {
	_            struct{} `cbor:",toarray"`
	IsLeader     bool     // it leads, and its lease is valid
	Term         uint64
	Leader       string   // the address of the leader as far as it knows, or empty
	KnownServers []string // addresses of servers that it has heard of
	// IsAggregator tells that it aggregates the requests of agents.
	IsAggregator bool
}

// BootstrapAnnouncement is what a candidate for the first cluster says of itself.
type BootstrapAnnouncement struct {
	_           struct{} `cbor:",toarray"`
	Voter       raft.Member
	BoundVoters []raft.Member // the set it has bound itself to, on its disk; empty if none
	// NotFirstStart tells that it was started again, or long after the system, and
	// that its disk knows of no cluster.
	NotFirstStart bool
}

// BootstrapProposal answers a BootstrapAnnouncement: the voters of the first
// cluster, and whether all of them are bound to that set, so that they may start.
type BootstrapProposal struct {
	_      struct{} `cbor:",toarray"`
	Voters []raft.Member
	Start  bool
}

// MembershipLease is what a daemon renews to be counted among the cluster's
// members.
type MembershipLease struct {
	_         struct{} `cbor:",toarray"`
	Node      string   // the name of its machine
	Role      string
	Zone      string
	Addr      string // its address for other daemons
	ProcessID string // daemon.Environment.ProcessID
}

// TraceResult is a daemon's answer to KindTrace.
type TraceResult struct {
	_      struct{} `cbor:",toarray"`
	Node   string
	Role   string
	Since  int64 // time of day in ns since which nothing was forgotten; 0: always
	Events []tracing.Event
}

// Table is one table of a server's state, for queries.
type Table struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	Columns   []string
	Rows      [][]any
	Truncated bool // there are more rows than were given
}

// ClusterState is a server's answer to KindClusterState.
type ClusterState struct {
	_            struct{} `cbor:",toarray"`
	Node         string
	IsLeader     bool
	AppliedIndex uint64
	Clock        int64 // of the replicated state, in ms
	Tables       []Table
}

// JobRequest is a client's call about a job.
type JobRequest struct {
	_    struct{} `cbor:",toarray"`
	Host string   // the HTTP host, which with the path names the queue
	Path string
	Job  protocol.Job
	Key  string // the tenant's key that the call bears; it is put into no log
	// BeyondShare: by the merged counts, the tenant has submitted more jobs than its
	// share.
	BeyondShare bool
}

// RunnerAnnouncement is a heartbeat or a sign-off of a runner that no platform lists.
type RunnerAnnouncement struct {
	_        struct{}        `cbor:",toarray"`
	Runner   registry.Runner // of a sign-off the ID alone
	Sequence int64           // rises with each heartbeat of the runner
	SignsOff bool
}

// RunnerWatch tells what a daemon knows of the list of runners and of the configuration.
type RunnerWatch struct {
	_             struct{} `cbor:",toarray"`
	Node          string   // the daemon's
	Zone          string   // its
	Epoch         string   // of the list; empty if it has none
	Version       uint64   // of the list
	ConfigVersion int64
	// Observations are what the daemon's requests told of runners since its last
	// question.
	Observations []registry.Observation
	// Digest is that of the daemon's list: one that it had from another leader needn't be
	// told whole.
	Digest uint64
	// Scope is registry.AllZones, or the zone whose runners alone the daemon asks for.
	Scope string
}

// RunnerList is a list of all runners.
type RunnerList struct {
	_       struct{} `cbor:",toarray"`
	Runners []registry.Runner
	AgeMs   int64 // since when changes may be missing in it
}

// RunnerUpdate is what a daemon lacks of the list of runners, and its place among the
// daemons of its zone that use them.
type RunnerUpdate struct {
	_           struct{} `cbor:",toarray"`
	Delta       []byte   // an encoded registry.Delta, made once for all daemons that lack the same
	DaemonIndex int
	DaemonCount int // 0: not known yet
	// Config is the newest configuration if the daemon has another: whole, or, if
	// ConfigBase isn't 0, the change of that version that leads to it.
	Config      []byte
	ConfigBase  int64
	DaemonTotal int // of all zones
	// ListAgeMs is since when changes may be missing in the list, as the answer is given;
	// negative: that isn't known.
	ListAgeMs int64
	HeldMs    int64 // for how long the question was held
}

// KeyWatch asks for the puts of a group of keys after a revision.
type KeyWatch struct {
	_      struct{} `cbor:",toarray"`
	Group  string
	After  int64
	WaitMs int64 // for how long the leader may wait for the first
}

// TenantQuery asks for the tenants of the newest configuration.
type TenantQuery struct {
	_           struct{} `cbor:",toarray"`
	KnownDigest string   // of the tenants that the caller has; empty if it has none
}

// TenantShare is what daemons need to know of a tenant to count what it submits.
type TenantShare struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	MilliShare int64 // jobs in 1000 s; 0: none was agreed
	// KeyDigests are the digests of its keys, as clusterconfig.DigestOf gives them.
	KeyDigests [][]byte
}

// ConfigUpdate is an operator's change of the cluster's configuration.
type ConfigUpdate struct {
	_           struct{} `cbor:",toarray"`
	BaseVersion int64    // the version that the change is based on
	Raw         []byte   // the new configuration, as JSON
}

// ZoneRelease tells that a server is leaving and gives up the zones that it
// aggregates for.
type ZoneRelease struct {
	_    struct{} `cbor:",toarray"`
	Disk string   // the identity of the server's disk
}

// Assignment tells an agent to start or stop a run of its worker.
type Assignment struct {
	_           struct{} `cbor:",toarray"`
	Worker      string
	Fence       int64 // of the registration that the run was assigned under
	Stop        bool  // the run is to be stopped; otherwise it is to be started
	Task        string
	Run         int // the number of the run among those of the task
	JobSpec     string
	Checkpoint  string // what the run continues from; empty: from the beginning
	EstimateMs  int64  // its likely length on this worker at usual speed
	LongRunning bool
	// Evacuated: the worker's zone is evacuated, and the run is not started later than
	// StartWithinMs from now.
	Evacuated     bool
	StartWithinMs int64
}

// ZoneEvacuation is an order about a zone: its workers get no new work, or get it again.
type ZoneEvacuation struct {
	_         struct{} `cbor:",toarray"`
	Zone      string
	Evacuated bool
	Revision  int64 // of the order that it follows, or, of one in force, its own
}

// TallyRead reads a tally at a replica that has all adds of a vector, by their origins.
type TallyRead struct {
	_     struct{} `cbor:",toarray"`
	Tally string
	After map[string]uint64
}

// TallyAnswer is a replica's answer to a change or a read.
type TallyAnswer struct {
	_        struct{}       `cbor:",toarray"`
	Total    int64          // of a read
	Position tally.Position // of a change
	Servers  []string       // addresses of the replicas that it knows, its own among them
}

// TallyMessage is what replicas tell one another of tallies, in a frame.
type TallyMessage struct {
	_       struct{} `cbor:",toarray"`
	From    string   // the sender's member ID
	To      string   // the receiver's member ID
	Message tally.Message
}
