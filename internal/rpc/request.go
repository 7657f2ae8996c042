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
	Body []byte   // encoded; its type depends on the kind
}

// Response is the response to a Request.
type Response struct {
	_    struct{} `cbor:",toarray"`
	Code Code     // one of the Code constants, or another HTTP status
	Text string   // reason of a rejection; may be shown to a client
	// Value is a number whose meaning depends on the kind, for example the version of a
	// configuration, a fence, or the duration of a lease in ms.
	Value  int64
	Leader string // address of the leader, with CodeNotLeader; empty if unknown
	// RetryAfterMs is the time after which a rejected request may be retried; 0 if not given.
	RetryAfterMs  int64
	Body          []byte // encoded; its type depends on the kind of the request
	ConfigVersion int64  // newest version of the configuration; 0 if not given
	// AppliedIndex is the log index that the responding replica had applied. A client that
	// switches to another replica must not see an older state.
	AppliedIndex uint64
	// Aggregator is the address of the aggregator of the client's zone, and
	// StandbyAggregator that of its standby. If empty, the leader takes that role itself.
	Aggregator        string
	StandbyAggregator string
}

// Kinds of requests. Each comment names the bodies of the request and of the
// response. The values are those of the first version and must not change, since daemons of
// different versions communicate. Some values therefore differ from the names.
const (
	// KindLeader asks any daemon for the leader: the caller's address as text,
	// LeaderInfo.
	KindLeader = "lead"
	// KindBootstrap announces a candidate for the first cluster to a seed:
	// BootstrapAnnouncement, BootstrapProposal.
	KindBootstrap = "found"
	// KindJoin informs the leader of a server that may become a voter: raft.Member.
	KindJoin = "join"
	// KindRenewMembership renews a daemon's membership: MembershipLease.
	KindRenewMembership = "claim"
	// KindSubmitJob submits a job: JobRequest.
	KindSubmitJob = "handin"
	// KindJobStatus requests the state of a job: JobRequest.
	KindJobStatus = "status"
	// KindCancelJob cancels a job: JobRequest.
	KindCancelJob = "cancel"
	// KindPutConfig replaces the cluster configuration: ConfigUpdate.
	KindPutConfig = "put"
	// KindGetConfig requests the cluster configuration: Value is its version,
	// the body its text.
	KindGetConfig = "read"
	// KindRegisterWorker registers a runner as a worker: state.RegisterWorker;
	// Value is the worker's fence.
	KindRegisterWorker = "takeup"
	// KindRenewLease renews the lease of one worker: LeaseRenewal; Value is the duration
	// of the lease in ms.
	KindRenewLease = "renew"
	// KindReportCompletions reports runs that have ended: state.ReportCompletions;
	// Value is the number up to which they are committed.
	KindReportCompletions = "ends"
	// KindReportEligibility reports whether a worker accepts new runs: state.ReportEligibility.
	KindReportEligibility = "eligibility"
	// KindSetEligibility is KindReportEligibility as agents of earlier programs send it:
	// state.SetEligibility.
	KindSetEligibility = "eligible"
	// KindTrace requests the events of a change that a daemon has recorded: the name of the change
	// as text, TraceResult.
	KindTrace = "trace"
	// KindClusterState requests the tables of a server: ClusterState.
	KindClusterState = "fleet"
	// KindListMembers requests all daemons with a valid membership from the leader: a
	// list of MembershipLease.
	KindListMembers = "members"
	// KindFederationWork is used within one process: federation.PendingWork.
	KindFederationWork = "moves"
	// KindPropose is used within one process and appends a command to the log:
	// state.EncodedCommand.
	KindPropose = "command"
	// KindFederationCall carries a signed call from the leader of another cluster:
	// federation.Response.
	KindFederationCall = "peer"
	// KindLeaseBatch renews the leases of many workers: LeaseBatch, a list of
	// MemberRefusal.
	KindLeaseBatch = "grants"
	// KindBatch carries several requests from agents: Batch, a list of Response in
	// the same order.
	KindBatch = "many"
	// KindReleaseZones releases the zones for which a server is the aggregator:
	// ZoneRelease.
	KindReleaseZones = "yield"
	// KindGetLimits requests the limits of the newest configuration: Value is its
	// version, the body contains the limits.
	KindGetLimits = "limits"
	// KindGetTenants requests the tenants of the newest configuration: TenantQuery, a
	// list of TenantShare. The Text of the response is their digest; its body is empty if
	// the caller already has them.
	KindGetTenants = "tenants"
	// KindChangeConfig changes items of the cluster configuration: ConfigUpdate.
	KindChangeConfig = "change"
	// KindPublishRunners passes the platform's list of runners to the leader. Only the process of the leader
	// itself may send it: RunnerList.
	KindPublishRunners = "listed"
	// KindWatchRunners requests the changes to the list of runners, and waits briefly
	// if there are none: RunnerWatch, RunnerUpdate.
	KindWatchRunners = "runners"
	// KindExchangeCounts exchanges merged counts: counter.Request, counter.Response.
	KindExchangeCounts = "counts"
	// KindAnnounceRunner passes a runner's heartbeat to the leader: RunnerAnnouncement.
	KindAnnounceRunner = "announce"
	// KindExchangeSums is like KindExchangeCounts, with the sum of the counts of all others.
	KindExchangeSums = "sums"
	// KindAcquireLock acquires a lock: coordination.Acquire; Value is the fence.
	KindAcquireLock = "lock"
	// KindRenewLock renews a lock: coordination.Renew.
	KindRenewLock = "relock"
	// KindReleaseLock releases a lock: coordination.Release.
	KindReleaseLock = "unlock"
	// KindNextNumber requests the next number of a sequence: its name as text; Value is the number.
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
	// KindZoneEvacuation requests the current evacuation order of a zone: its name as text,
	// ZoneEvacuation.
	KindZoneEvacuation = "evacuation"
	// KindEvacuateZone orders that the workers of a zone receive no new work, or revokes that order:
	// ZoneEvacuation; Value is the revision of the order.
	KindEvacuateZone = "evacuate"
	// KindWatchKeys requests the puts to a group after a revision, and waits if there
	// are none: KeyWatch, coordination.WatchResult.
	KindWatchKeys = "watch-keys"
)
