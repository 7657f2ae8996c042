package rpc

// Kinds of frames.
const (
	// FrameRaft carries a raft.Message between replicas.
	FrameRaft = byte(iota + 1)
	// FrameRequest carries a Request.
	FrameRequest
	// FrameResponse carries the Response to the request of the same frame ID.
	FrameResponse
	// FrameAssignments carries a list of Assignment from the leader to an agent.
	FrameAssignments
)

// Request is a request from one daemon to another.
type Request struct {
	_    struct{} `cbor:",toarray"`
	Kind string   // one of the Kind constants
	Body []byte   // the encoded body that belongs to the kind
}

// Response is the answer to a Request.
type Response struct {
	_    struct{} `cbor:",toarray"`
	Code Code     // one of the Code constants, or another HTTP status
	Text string   // the reason of a refusal, which a client may be shown
	// Value is a number whose meaning depends on the kind: the version of a
	// configuration, a fence, the length of a lease in ms.
	Value  int64
	Leader string // the address of the leader, with CodeNotLeader; empty if unknown
	// RetryAfterMs is when a refused request may be repeated; 0 if that is not said.
	RetryAfterMs  int64
	Body          []byte // the encoded answer that belongs to the kind
	ConfigVersion int64  // the newest version of the configuration; 0 if not said
	// AppliedIndex is the log index that the answering replica had applied: a client that
	// turns to another replica must not be shown an older state.
	AppliedIndex uint64
	// Aggregator is the address of the aggregator of the client's zone, and
	// StandbyAggregator that of its standby; empty: the leader itself.
	Aggregator        string
	StandbyAggregator string
}

// Kinds of requests. Each comment names the bodies of the request and of the
// response. The texts are those of the first version and stay, since daemons of
// two versions talk to each other; that is why some differ from the names.
const (
	// KindLeader asks any daemon who leads: the caller's address as text,
	// LeaderInfo.
	KindLeader = "lead"
	// KindBootstrap announces a candidate for the first cluster to a seed:
	// BootstrapAnnouncement, BootstrapProposal.
	KindBootstrap = "found"
	// KindJoin tells the leader of a server that may become a voter: raft.Member.
	KindJoin = "join"
	// KindRenewMembership renews a daemon's membership: MembershipLease.
	KindRenewMembership = "claim"
	// KindSubmitJob submits a job: JobRequest.
	KindSubmitJob = "handin"
	// KindJobStatus asks for the state of a job: JobRequest.
	KindJobStatus = "status"
	// KindCancelJob cancels a job: JobRequest.
	KindCancelJob = "cancel"
	// KindPutConfig replaces the cluster's configuration: ConfigUpdate.
	KindPutConfig = "put"
	// KindGetConfig asks for the cluster's configuration: Value is its version,
	// the body its text.
	KindGetConfig = "read"
	// KindRegisterWorker registers a runner as a worker: state.RegisterWorker;
	// Value is the worker's fence.
	KindRegisterWorker = "takeup"
	// KindRenewLease renews the lease of one worker: LeaseRenewal; Value is its
	// length in ms.
	KindRenewLease = "renew"
	// KindReportCompletions reports runs that have ended: state.ReportCompletions;
	// Value is the number up to which they are committed.
	KindReportCompletions = "ends"
	// KindSetEligibility says whether a worker takes new runs: state.SetEligibility.
	KindSetEligibility = "eligible"
	// KindTrace asks a daemon for what it remembers of a change: the change's name
	// as text, TraceResult.
	KindTrace = "trace"
	// KindClusterState asks a server for its tables: ClusterState.
	KindClusterState = "fleet"
	// KindListMembers asks the leader for all daemons with a valid membership: a
	// list of MembershipLease.
	KindListMembers = "members"
	// KindFederationWork is used within one process: federation.PendingWork.
	KindFederationWork = "moves"
	// KindPropose is used within one process and puts a command into the log:
	// state.EncodedCommand.
	KindPropose = "command"
	// KindFederationCall carries a signed call of another cluster's leader:
	// federation.Response.
	KindFederationCall = "peer"
	// KindLeaseBatch renews the leases of many workers: LeaseBatch, a list of
	// MemberRefusal.
	KindLeaseBatch = "grants"
	// KindBatch carries several requests of agents: Batch, a list of Response in
	// the same order.
	KindBatch = "many"
	// KindReleaseZones hands over the zones that a server aggregates for:
	// ZoneRelease.
	KindReleaseZones = "yield"
	// KindGetLimits asks for the limits of the newest configuration: Value is its
	// version, the body holds them.
	KindGetLimits = "limits"
	// KindGetTenants asks for the tenants of the newest configuration: TenantQuery, a
	// list of TenantShare. The response's Text is their digest; its body is empty if
	// the caller has them.
	KindGetTenants = "tenants"
	// KindChangeConfig changes items of the cluster's configuration: ConfigUpdate.
	KindChangeConfig = "change"
	// KindPublishRunners returns the leader the platform's list of runners, read by its
	// own process: RunnerList.
	KindPublishRunners = "listed"
	// KindWatchRunners asks what has changed in the list of runners, and waits a moment
	// if nothing has: RunnerWatch, RunnerUpdate.
	KindWatchRunners = "runners"
	// KindExchangeCounts exchanges merged counts: counter.Request, counter.Response.
	KindExchangeCounts = "counts"
	// KindAnnounceRunner tells the leader of a runner's heartbeat: RunnerAnnouncement.
	KindAnnounceRunner = "announce"
	// KindExchangeSums is KindExchangeCounts with the counts of all others summed up.
	KindExchangeSums = "sums"
	// KindAcquireLock acquires a lock: coordination.Acquire; Value is the fence.
	KindAcquireLock = "lock"
	// KindRenewLock renews a lock: coordination.Renew.
	KindRenewLock = "relock"
	// KindReleaseLock releases a lock: coordination.Release.
	KindReleaseLock = "unlock"
	// KindNextNumber asks for a number: its name as text; Value is the number.
	KindNextNumber = "number"
	// KindPutKey sets a key: coordination.Put; Value is the revision.
	KindPutKey = "put-key"
	// KindReadKey reads a key: its name as text, coordination.KeyValue; Value is its
	// revision.
	KindReadKey = "read-key"
	// KindChangeTally adds to a tally, at any replica: tally.Add, TallyAnswer.
	KindChangeTally = "tally-change"
	// KindReadTally reads a tally, at any replica: TallyRead, TallyAnswer.
	KindReadTally = "tally-read"
	// KindZoneEvacuation asks for the order in force about a zone: its name as text,
	// ZoneEvacuation.
	KindZoneEvacuation = "evacuation"
	// KindEvacuateZone orders that a zone's workers get no new work, or takes that back:
	// ZoneEvacuation; Value is the order's revision.
	KindEvacuateZone = "evacuate"
	// KindWatchKeys asks for the puts of a group after a revision, and waits if there
	// are none: KeyWatch, coordination.News.
	KindWatchKeys = "watch-keys"
)
