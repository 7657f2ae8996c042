// Package rpc is how daemons know each other: the requests between them, the
// search for the leader, the founding of the core and membership leases. Types
// tagged toarray are encoded by the order of their fields, which must not change.
package rpc

import (
	"tealpond/internal/protocol"
	"tealpond/internal/raft"
	"tealpond/internal/tracing"
)

// Kinds of frames.
const (
	FrameRaft = byte(iota + 1)
	FrameRequest
	FrameResponse
	FrameAssignments
)

// Request is a request from one daemon to another.
type Request struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body []byte
}

// Codes of answers that daemons give each other, beside those of HTTP.
const (
	// CodeNotLeader: ask whom Lead names.
	CodeNotLeader = 1
	// CodeLeadershipLost: the leader lost its term while the command was under way.
	CodeLeadershipLost = 2
	// CodeNoLeader: given by the seeker itself when none was found in time and
	// the request was surely never taken.
	CodeNoLeader = 3
	// CodeTimeout: given by the seeker when time ran out after a request was sent.
	CodeTimeout = 4
)

// Response is the answer to an Ask.
type Response struct {
	_             struct{} `cbor:",toarray"`
	Code          int
	Text          string
	Value         int64
	Leader        string
	RetryAfterMs  int64
	Body          []byte
	ConfigVersion int64
	// AppliedIndex is the log index that the answering replica had applied: a client that
	// turns to another replica must not be told of an older state.
	AppliedIndex uint64
	// Aggregator is the address of the aggregator of the client's zone, Next that of
	// its standby; empty: the leader itself.
	Aggregator        string
	StandbyAggregator string
}

// Kinds of requests.
const (
	KindLeader            = "lead"
	KindBootstrap         = "found"
	KindJoin              = "join"
	KindMembership        = "claim"
	KindSubmitJob         = "handin"
	KindJobStatus         = "status"
	KindCancelJob         = "cancel"
	KindPutConfig         = "put"
	KindGetConfig         = "read"
	KindBindRunner        = "takeup"
	KindRenewLease        = "renew"
	KindReportCompletions = "ends"
	KindSetEligibility    = "eligible"
	KindTrace             = "trace"
	KindClusterState      = "fleet"
	KindListMembers       = "members"
	KindFederationWork    = "moves"
	KindPropose           = "command"
	KindFederationCall    = "peer"
	KindLeaseBatch        = "grants"
	KindBatch             = "many"
	KindReleaseZones      = "yield"
	// KindGetLimits asks for the limits of the newest configuration: N is its
	// version, Body holds them.
	KindGetLimits = "limits"
)

// LeaderInfo is the answer to KindLeader.
type LeaderInfo struct {
	_            struct{} `cbor:",toarray"`
	IsLeader     bool
	Term         uint64
	Leader       string
	KnownServers []string
	// IsAggregator tells that it aggregates the requests of side daemons.
	IsAggregator bool
}

// BootstrapAnnouncement is an announcement of a core candidate.
type BootstrapAnnouncement struct {
	_           struct{} `cbor:",toarray"`
	Voter       raft.Member
	BoundVoters []raft.Member
	// NotFirstStart: it was started again, or long after the system, and its disk
	// knows of no core.
	NotFirstStart bool
}

// BootstrapProposal answers a Found: the voters of the first core, and whether all of them
// are bound to that set, so that they may start.
type BootstrapProposal struct {
	_      struct{} `cbor:",toarray"`
	Voters []raft.Member
	Start  bool
}

// MembershipLease is a daemon's membership lease.
type MembershipLease struct {
	_       struct{} `cbor:",toarray"`
	Node    string
	Role    string
	Zone    string
	Addr    string
	Process string
}

// TraceResult is a daemon's answer to KindTrace.
type TraceResult struct {
	_     struct{} `cbor:",toarray"`
	Node  string
	Role  string
	Since int64
	Marks []tracing.Event
}

// Table is one table of the fleet's state.
type Table struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	Columns   []string
	Rows      [][]any
	Truncated bool
}

// ClusterState is a core daemon's answer to KindClusterState.
type ClusterState struct {
	_            struct{} `cbor:",toarray"`
	Node         string
	IsLeader     bool
	AppliedIndex uint64
	Clock        int64
	Tables       []Table
}

// JobRequest is a client's call about a job.
type JobRequest struct {
	_    struct{} `cbor:",toarray"`
	Host string
	Path string
	Job  protocol.Job
}

// ConfigUpdate is an operator's change of the configuration.
type ConfigUpdate struct {
	_           struct{} `cbor:",toarray"`
	BaseVersion int64
	Raw         []byte
}

// LeaseRenewal renews the lease of a worker and tells how its runs get on.
type LeaseRenewal struct {
	_              struct{} `cbor:",toarray"`
	Worker         string
	Fence          int64
	RuntimePercent int64 // its work takes so many hundredths of the estimates, 0 unknown
	// KnownIndex is the newest At that the client was told of.
	KnownIndex uint64
}

// BatchMember is one worker of an aggregator's set.
type BatchMember struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Fence  int64
}

// MemberRuntime is the Renew.Ratio of a member of the set.
type MemberRuntime struct {
	_              struct{} `cbor:",toarray"`
	Member         int
	RuntimePercent int64
}

// LeaseBatch renews the leases of those members of a set whose bit is set in In
// (member 0 is the lowest bit of the first byte). A set is sent whole once; 428
// says that the leader doesn't know it. Ratios are those that changed.
type LeaseBatch struct {
	_                 struct{} `cbor:",toarray"`
	AggregatorDisk    string   // disk of the aggregator
	AggregatorProcess string   // its process: each process numbers its sets from 1
	SetNumber         uint64
	Members           []BatchMember
	Requested         []byte
	Runtimes          []MemberRuntime
}

// IsRequested tells whether a member asks for a renewal.
func (b *LeaseBatch) IsRequested(member int) bool {
	return member>>3 < len(b.Requested) && b.Requested[member>>3]&(1<<(member&7)) != 0
}

// MemberRefusal is a member whose lease was not renewed, with the code of the refusal.
type MemberRefusal struct {
	_      struct{} `cbor:",toarray"`
	Member int
	Code   int
}

// Batch carries several requests of side daemons; the answer's body holds theirs.
type Batch struct {
	_        struct{} `cbor:",toarray"`
	Requests []Request
}

// ZoneRelease tells that a daemon is leaving and gives up the zones it aggregates for.
type ZoneRelease struct {
	_    struct{} `cbor:",toarray"`
	Disk string
}

// Assignment is what the leader pushes to a side daemon.
type Assignment struct {
	_           struct{} `cbor:",toarray"`
	Worker      string
	Fence       int64
	Stop        bool
	Task        string
	Run         int
	JobSpec     string
	Checkpoint  string
	EstimateMs  int64 // its likely length on this worker at usual speed
	LongRunning bool
}
