// Package tuning holds every constant of tealpond, each with its unit and the
// reason for its value.
package tuning

import "time"

const (
	// HeartbeatInterval is how often a quiet leader tells followers that it lives. Five
	// fit into the shortest election wait, so that lost ones do not matter.
	HeartbeatInterval = 80 * time.Millisecond
	// ElectionTimeout is the shortest silence after which a follower runs for leader.
	// Far above a slice of a shared processor, far below a hold.
	ElectionTimeout = 400 * time.Millisecond
	// ElectionTimeoutJitter is added by lot, so that two do not run at once.
	ElectionTimeoutJitter = 200 * time.Millisecond
	// LeaseFraction is the part of Elect in which a leader trusts the answers
	// of a majority; the rest covers drift between steady clocks.
	LeaderLeaseFraction = 0.85
	// QuorumLossTimeout is the silence of a majority after which a leader resigns.
	QuorumLossTimeout = 650 * time.Millisecond
	// VoterReplacementTimeout is how long a voter must be silent before a caught-up
	// candidate may take its place; above any restart, below catchUpS.
	VoterReplacementTimeout = 2500 * time.Millisecond
	// MaxInflightEntries is how many entries of appends may be under way to one voter.
	MaxInflightEntries = 512
	// MaxAppendBytes bounds one append, so that a heartbeat is not stuck behind.
	MaxAppendBytes = 256 << 10
	// SnapshotInterval is the number of entries between two checkpoints; a replay
	// of so many takes well under a second on a small core.
	SnapshotInterval = 3000
	// SnapshotTrailingEntries is how many entries before a checkpoint stay in the log, so
	// that a voter that was away briefly needs no whole checkpoint.
	SnapshotTrailingEntries = 1000
	// StorageQueueLength is the number of writes that may wait for the disk task.
	StorageQueueLength = 8192

	// GroupCommitIntervalPerVoter, for each other voter, is the least time between two entries:
	// commands that come within it share one, and so the messages to and from
	// each voter; those stay under a thousand a second, however many commands
	// there are. Longer groups (12 ms with three voters) made answers late.
	GroupCommitIntervalPerVoter = time.Millisecond

	// AggregatorGrantInterval is how long an aggregator gathers asks for grants; a side
	// daemon's grant shrinks by so much, and holds have seconds to spare.
	AggregatorGrantInterval = 150 * time.Millisecond
	// AggregatorBatchInterval is the least time between two batches of other asks; half of
	// what an entry waits for its group anyway.
	AggregatorBatchInterval = 5 * time.Millisecond
	// AggregatorMaxMissedBatches is how many batches in a row a member may miss before it is
	// left out of the next set; a new set is told whole.
	AggregatorMaxMissedBatches = 20
	// AggregatorQueueLength is the most asks that may wait in an aggregator.
	AggregatorQueueLength = 4096
	// AggregatorRequestTimeout bounds an aggregator's wait for the leader's answer; above an
	// election.
	AggregatorRequestTimeout = 1500 * time.Millisecond
	// AggregatorSilenceTimeout is the silence of a voter after which its zone is given to
	// another; side daemons have turned away by themselves by then.
	AggregatorSilenceTimeout = 600 * time.Millisecond
	// AggregatorReturnDelay is how long a daemon of the zone itself must have been heard
	// before a zone is taken from a holder elsewhere.
	AggregatorReturnDelay = 3 * time.Second
	// AggregatorLeaderLossTimeout is how long an aggregator without a leader goes on gathering;
	// above an election and a lost lease.
	AggregatorLeaderLossTimeout = 1200 * time.Millisecond
	// ShutdownExclusionPeriod is how long a daemon that said that it ends gets no duty.
	ShutdownExclusionPeriod = 5 * time.Second
	// RetryAvoidance is how long a side daemon does not go back to a daemon that left
	// it without an answer; twice as long each time, up to MaxRetryAvoidance.
	RetryAvoidance    = 2 * time.Second
	MaxRetryAvoidance = 16 * time.Second

	// BootstrapStablePeriod is how long the set of founders must stay the same.
	BootstrapStablePeriod = 1200 * time.Millisecond
	// BootstrapAnnounceInterval is the pause between two announcements of a core candidate.
	BootstrapAnnounceInterval = 250 * time.Millisecond

	// DialTimeout bounds the opening of a stream; zones are milliseconds apart.
	DialTimeout = 500 * time.Millisecond
	// TCPUserTimeout is the TCP_USER_TIMEOUT of each stream: unanswered bytes
	// for so long mean a cut.
	TCPUserTimeout = 1500 * time.Millisecond
	// StreamQueueLength is the number of frames waiting to be written to a peer.
	StreamQueueLength = 512
	// MaxFrameBytes is the largest frame, and the largest snapshot that is taken in.
	MaxFrameBytes = 64 << 20
	// DiscoveryFanout is how many places a side daemon asks in one look for the
	// leader; three looks reach all of a core of eight.
	DiscoveryFanout = 4
	// DiscoveryInterval is the pause between two looks for the leader.
	DiscoveryInterval = 80 * time.Millisecond
	// RequestAttemptTimeout bounds one round of a call to the leader; a commit takes tens
	// of milliseconds, so a longer silence means a leader in trouble.
	RequestAttemptTimeout = 500 * time.Millisecond
	// MaxRequestAttemptTimeout bounds a round with a daemon that goes on answering others: by
	// then the ask was lost on its way.
	MaxRequestAttemptTimeout = 2 * time.Second
	// LeaderWaitTimeout is how long a sender's call waits for a leader before it
	// is turned away; an election takes about this long.
	LeaderWaitTimeout = 1300 * time.Millisecond
	// LeaderProbeInterval is the pause after which a silent link to the leader is tested.
	LeaderProbeInterval = 250 * time.Millisecond

	// MaxLeaseDuration is the longest hold that is asked for; a shorter maxHoldMs rules.
	// Longer than an election, short enough to free a lost worker's tasks.
	MaxLeaseDuration = 3500 * time.Millisecond
	// LeaseClockDriftFactor is how much slower a runner's clock may run (2%).
	LeaseClockDriftFactor = 1.02
	// LeaseExpiryMargin is added before a silent worker's runs are deemed lapsed:
	// kills at the runner and rounding take a moment.
	LeaseExpiryMargin = 250 * time.Millisecond
	// LeaseRenewInterval is the pause between two grants asked for by a side daemon.
	LeaseRenewInterval = 400 * time.Millisecond
	// RunnerPollWait is the waitMs of a look at a runner (at most 2,000).
	RunnerPollWait = 900 * time.Millisecond
	// RunnerIdlePollWait is the waitMs while nothing runs on the runner.
	RunnerIdlePollWait = 2000 * time.Millisecond
	// RunnerRequestTimeout bounds one start or stop at the runner; the runner is on
	// the same machine, so silence means that the order was swallowed.
	RunnerRequestTimeout = 250 * time.Millisecond
	// MaxConcurrentRunnerRequests is the number of calls to a runner under way at once.
	MaxConcurrentRunnerRequests = 4
	// MaxRunLeaseAhead is how far an untilMs that is sent lies ahead at most. A
	// silent runner's work is over so soon; a restart of the side daemon,
	// about a second, must fit in.
	MaxRunLeaseAhead = 2200 * time.Millisecond
	// RunnerPollSlack is added to waitMs for the answer to a look.
	RunnerPollSlack = 300 * time.Millisecond
	// RunnerSilenceTimeout is the silence after which two unanswered calls mean that the
	// runner is gone, and not that orders are late.
	RunnerSilenceTimeout = 350 * time.Millisecond
	// RunLeaseExpiryMargin is added before a silent runner's work is deemed over.
	RunLeaseExpiryMargin = 100 * time.Millisecond
	// MaxCompletedRunsKept is the number of ended runs that a side daemon remembers before
	// it forgets those that are older than CompletedRunRetention and committed: the state
	// orders them no more.
	MaxCompletedRunsKept  = 512
	CompletedRunRetention = 30 * time.Second
	// StalledRunTimeout is the least time without progress before a run is stopped.
	StalledRunTimeout = 450 * time.Millisecond
	// StalledRunnerExclusion keeps a runner on which runs stood still out of plans.
	StalledRunnerExclusion = 2500 * time.Millisecond

	// CrashBackoff is how long a runner that was lost a second time gets no work;
	// twice as long at each further loss, up to MaxCrashBackoff. Why under 3 s: by
	// then a job that waits beside free room counts as lost.
	CrashBackoff    = 500 * time.Millisecond
	MaxCrashBackoff = 2500 * time.Millisecond
	// CrashCountHalfLife is in what time half of a loss is forgotten.
	CrashCountHalfLife = 8 * time.Second

	// MaxReplans is how often a plan that lost a row is planned anew inside the
	// same command.
	MaxReplans = 2
	// RollupInterval is the period in which rollups are rebuilt from the bookings.
	RollupInterval = 5 * time.Minute
	// JobExpiryInterval is the period in which old jobs are dropped.
	JobExpiryInterval = 10 * time.Second
	// JobRetentionMargin is added to status_s before an ended job is forgotten.
	JobRetentionMargin = 60 * time.Second
	// StartRefusalExclusion keeps a worker that turned a start away out of plans.
	StartRefusalExclusion = 300 * time.Millisecond
	// MaxBacklogSecondsPerCore is the number of waiting core-seconds per core of room above
	// which hand-ins are turned away with a time to come back.
	MaxBacklogSecondsPerCore = 60.0
	// MaxTasksPerPlan is the most tasks placed in one plan; bounds its time.
	MaxTasksPerPlan = 600
	// UnplacedStepCost is what a step counts of them that finds no room.
	UnplacedStepCost = 4

	// DefaultMaxBodyBytes bounds a body before any desired state says more.
	DefaultMaxBodyBytes = 262144
	// MaxControlBodyBytes bounds a control call's body (4 MiB by the protocol).
	MaxControlBodyBytes = 4 << 20
	// MaxJobSpecBytes is the longest jobSpec (PROTOCOL: 4,000 bytes).
	MaxJobSpecBytes = 4000
	// DefaultMaxHeaderBytes bounds heads before any desired state says more.
	DefaultMaxHeaderBytes = 16384
	// DefaultIdleTimeout closes a sender's idle stream when no limit says otherwise.
	DefaultIdleTimeout = 15 * time.Second
	// DefaultHeaderTimeout bounds the reading of heads when no limit says otherwise.
	DefaultHeaderTimeout = 3 * time.Second
	// GCPercent is how far the heap grows between collections: memory is
	// priced, and heaps here are small.
	GCPercent = 25
	// MemoryLimitFraction is the part of memoryMb given to the Go memory limit.
	MemoryLimitFraction = 0.7
	// SettingsPollInterval is the pause between looks at the settings file.
	SettingsPollInterval = 2 * time.Second
	// MembershipRenewInterval is the pause between two renewals of an edge daemon's membership.
	MembershipRenewInterval = 1500 * time.Millisecond
	// LeaderContactTimeout is how long ago the leader may have been heard by a daemon that
	// calls itself ready: one claim, and an election under the next, fit in.
	LeaderContactTimeout = 3 * time.Second
	// DefaultRequestBudget is a sender's time when it names none.
	DefaultRequestBudget = 3 * time.Second
	// ResponseReserve is kept back so that the answer arrives within the budget.
	ResponseReserve = 40 * time.Millisecond
	// ControlRequestTimeout bounds an operator's call; they move on after a second, in which
	// the answer must also arrive.
	ControlRequestTimeout = 850 * time.Millisecond
	// DemandPeakDecay is how fast a peak of urgent demand is forgotten: bursts last
	// for seconds, and a long task blocks room for as long.
	DemandPeakDecay = 15 * time.Second
	// LongTaskThreshold is the estimate from which a task must leave room to urgent
	// ones; shorter ones give room back soon enough by themselves.
	LongTaskThreshold = 2 * time.Second
	// MinLongTaskFraction is the part of the room that long work may hold whatever
	// urgent work is foreseen, so that it never starves.
	MinLongTaskFraction = 0.1
	// MinLateLongTaskFraction is that part once it would miss its aim.
	MinLateLongTaskFraction = 0.25
	// WorkerSilenceTimeout is the silence of a side daemon after which its worker gets no
	// new tasks; two renewals are lost by then.
	WorkerSilenceTimeout = 900 * time.Millisecond
	// SpeedSampleDecay is how long a sample of a worker's speed counts.
	SpeedSampleDecay = 3 * time.Second
	// MinPaceSiblings is the least number of other runs of a step that a run is
	// compared with; MinPaceSampleWeight is how many such runs, faded over SpeedSampleDecay,
	// tell a worker's pace.
	MinPaceSiblings     = 3
	MinPaceSampleWeight = 1.5
	// HealthyPaceLimit is the pace up to which a worker is known to be sound; a run
	// there must be HealthyWorkerDelayFactor times as late before it gets a copy. Of 1,928
	// copies on a calm day 8 ended first.
	HealthyPaceLimit         = 1.5
	HealthyWorkerDelayFactor = 3.0
	// SlowWorkerFactor is the factor from which a worker is passed over by tasks
	// that would miss their aim on it.
	SlowWorkerFactor = 2.0
	// MinStragglerFactor is how many times its usual length a run may take before a
	// step that allows it gets a copy elsewhere.
	MinStragglerFactor = 2.0
	// InitialStragglerFactor is that factor while only a rough estimate is known, and
	// nothing was learnt of the lane.
	InitialStragglerFactor = 4.0
	// StragglerFraction is the part of the runs that a lane's learnt factor leaves above
	// itself; StragglerLearningRate is by how much one run moves it, MaxStragglerFactor its end.
	StragglerFraction     = 0.03
	StragglerLearningRate = 0.02
	MaxStragglerFactor    = 12.0
	// MinStragglerAge is the least age of a run that gets a copy.
	MinStragglerAge = 250 * time.Millisecond
	// StragglerCheckInterval is the pause between two looks at a run that may get a copy; as
	// often as the leader plans while nothing new comes.
	StragglerCheckInterval = 80 * time.Millisecond
	// MinStragglerCheckInterval is the shortest of these pauses.
	MinStragglerCheckInterval = 10 * time.Millisecond
	// FullScanMaxWorkers is the number of workers of a service up to which each is
	// weighed for each step; above, an index gives the candidates.
	FullScanMaxWorkers = 96
	// MaxCandidates is how many workers that fit are weighed above that.
	MaxCandidates = 24
	// LongTaskFreeFraction is the part of the room up to which long work may always
	// fill it: above the half from which a waiting job counts as lost.
	LongTaskFreeFraction = 0.6
	// PreemptionDelay is how long urgent work waits before it pushes others out:
	// its own kind gives room back so often.
	PreemptionDelay = 60 * time.Millisecond
	// MaxPreemptionLoss is the most unsaved work, as time, that a run may lose by it.
	MaxPreemptionLoss = 1500 * time.Millisecond
	// PreemptionInterval is the pause between two pushes; stops take a moment.
	PreemptionInterval = 250 * time.Millisecond
	// StatusSettleWait is how long a question about a job whose last runs are under way
	// may wait for ends that are listed but not yet settled: two commits.
	StatusSettleWait = 60 * time.Millisecond
	// ExpectedReleaseFraction is the part of what a priority holds that comes free by itself
	// before a stopped run would give its room.
	ExpectedReleaseFraction = 0.6
	// TraceRingLength is the number of marks that each daemon keeps for traces:
	// about a quarter of a megabyte, some seconds of a busy day.
	TraceRingLength = 2048
	// AgentMembershipRenewInterval is the pause between two renewals of a side daemon's
	// membership; the leader hears of it by its renewals of grants anyway.
	AgentMembershipRenewInterval = 5 * time.Second
	// MembershipLeaseDuration is how long a claim lasts without a renewal.
	MembershipLeaseDuration = 15 * time.Second
	// MaxQueryRows is the most rows of one table that a query is given.
	MaxQueryRows = 5000
	// ToolRequestTimeout bounds one call of a tool to a daemon, ToolTotalTimeout all of them.
	ToolRequestTimeout = 2 * time.Second
	ToolTotalTimeout   = 15 * time.Second
	// OverdueRunPollWait is the waitMs of a look while a run takes longer than was
	// guessed.
	OverdueRunPollWait = 350 * time.Millisecond
	// DrainStopLead is added to stopGraceMs: so long before a worker leaves, what
	// still runs there is stopped, so that its end and its saved text are
	// listed in time.
	DrainStopLead = 350 * time.Millisecond
)

// Package door.
const (
	// ControlRequestTimeoutPerKB is added to ControlRequestTimeout for each KB of a configuration: callers are
	// more patient with large ones, and checking 1,000 routes (190 KB) takes
	// some 90 ms of a whole core.
	ControlRequestTimeoutPerKB = 2 * time.Millisecond
	// ControlLeaderWait is how long an operator's call waits for a leader before
	// it is turned away; an election that began before mostly ends in it, and
	// the operator still goes on within the second.
	ControlLeaderWait = 500 * time.Millisecond
	// IsolatedControlLeaderWait is that wait where no leader was in reach for Fresh: one
	// look for it.
	IsolatedControlLeaderWait = 150 * time.Millisecond
	// LimitsRequestTimeout bounds a pull of the limits; a new one follows soon.
	LimitsRequestTimeout = 2 * time.Second
	// MaxHeaderBytes is what the HTTP server reads of heads at most, whatever a
	// configuration allows.
	MaxHeaderBytes = 64 << 10
)

// Constants of internal/disk.
const (
	// StorageLockTimeout is how long an attempt to open the file waits for its lock; the
	// attempt is made again anyway.
	StorageLockTimeout = 100 * time.Millisecond
	// StorageRetryBackoff is the first pause before a refused call to the disk is made
	// again, MaxStorageRetryBackoff the longest: a disk that serves again must be in use
	// well within catchUpS, and each attempt costs processor time.
	StorageRetryBackoff    = 50 * time.Millisecond
	MaxStorageRetryBackoff = 500 * time.Millisecond
	// StorageWarningInterval is the pause between two lines of the log about a disk that does
	// not serve.
	StorageWarningInterval = time.Second
	// SnapshotFrameBytes is the size of a frame of a snapshot on disk, in bytes. A
	// page holds two; with its own heads that fills a whole number of pages.
	SnapshotFrameBytes = 64<<10 - 128
	// SnapshotFramesPerTransaction is the number of frames in one transaction: about 1 MB, so
	// that entries which wait for the same disk are held up by no more.
	SnapshotFramesPerTransaction = 16
	// StorageStallTimeout is how long a disk may sync nothing while work waits before a
	// leader hands the lead on: several slow syncs, and under the shortest wait
	// of a client.
	StorageStallTimeout = 300 * time.Millisecond
	// MaxPendingStorageWrites is the number of writes under way from which a member takes no
	// more messages of the agreement and no more commands: its disk does not
	// serve, and memory is bounded.
	MaxPendingStorageWrites = 4096
)

// Package member.
const (
	// ExpectedElectionTime is how long no leader is found before that is more than an
	// ordinary election: the longest wait of a voter, its beat, and the first
	// entry of the new term.
	ExpectedElectionTime = time.Second
	// NoLeaderFindingTTL is how long a look at all places that found no leader tells
	// that there is none; above a look's own time and the pause after it.
	NoLeaderFindingTTL = 1500 * time.Millisecond
	// DiscoveryStragglerWait is how long a look for the leader waits for places that hang,
	// once others have answered; zones are milliseconds apart. MaxShortDiscoveryRounds is how
	// many looks in a row are so short, about two seconds of them: an election
	// is over by then, and each place that hangs costs a connection.
	DiscoveryStragglerWait  = 150 * time.Millisecond
	MaxShortDiscoveryRounds = 6
	// KnownNoLeaderWait is how long a client's call waits for a leader while it is
	// known that none is in reach; a look or two after all were started anew.
	KnownNoLeaderWait = 250 * time.Millisecond
	// OperatorLeaderWait is how long an operator's call waits for a leader; they go
	// on to the next daemon after a second of silence, the way there included.
	OperatorLeaderWait = 500 * time.Millisecond
	// BootstrapSeedTimeout is how long the seed that gathers the first core must be
	// silent before a candidate turns to the next; all machines start within
	// 0.3 s, and a start on the slowest one takes a second or two.
	BootstrapSeedTimeout = 5 * time.Second
	// BootstrapCandidateTTL is how long ago a candidate may have been heard to belong to
	// the first core: three announcements without an answer fit in.
	BootstrapCandidateTTL = 2400 * time.Millisecond
	// BootstrapAnnounceRounds is the number of announcements (Announce) for which members of
	// a core that was just founded tell the seeds of it: 20 s, above the turns
	// through all seeds. Each fourth goes out: more often than Gather.
	BootstrapAnnounceRounds = 80
	// MinLinkBytesPerSecond is the least rate of a link in bytes a second at which a large
	// ask or answer isn't taken for silence: 2 Mbit/s, half of it for others.
	MinLinkBytesPerSecond = 125_000
)

// order: the side daemon and its calls to the runner.
const (
	// MaxCompletionsListed is how many ends a runner lists at most in one answer
	// (PROTOCOL): a list so long may go on, so it rules nothing out.
	MaxCompletionsListed = 500
)

// Core: agreement of replicas.
const (
	// DigestInterval is the number of entries between two sums that replicas
	// compare; one report a voter and one command each. SnapshotInterval is a
	// multiple of it.
	DigestInterval = 250
	// DigestsKept is how many sums back reports and the log may still name.
	DigestsKept = 40
	// IdentityRenewRetryInterval is the wait before a disk that could not be opened for a new
	// identity is tried again.
	IdentityRenewRetryInterval = time.Second
	// SnapshotChunkBytes bounds a piece of a snapshot on its way, as MaxAppendBytes does
	// an append. One is under way at a time.
	SnapshotChunkBytes = 64 << 10
	// SnapshotChunkRetryInterval is how long a piece may be under way before it is sent again:
	// 64 KB take 0.3 s at 2 Mbit/s, and the agreement repeats a snapshot after
	// a second.
	SnapshotChunkRetryInterval = 700 * time.Millisecond
	// SnapshotTransferStallTimeout is how long a transfer may stand still before it is begun
	// anew.
	SnapshotTransferStallTimeout = 2 * time.Second
)

// Constants of redirects in internal/door.
const (
	// RedirectLeaderContactTimeout is how lately the leader must have answered for operators
	// to be sent on to it: a renewal of the membership and its answer fit in, a
	// missed one doesn't.
	RedirectLeaderContactTimeout = MembershipRenewInterval + RequestAttemptTimeout
	// MinRedirectBodyBytes is the size of a configuration from which on a daemon
	// without a disk sends the operator on instead of carrying it: on a link of
	// 2 Mbit/s so much takes an eighth of a second each way.
	MinRedirectBodyBytes = 32 << 10
)

// Constants of raft and of the core's membership.
const (
	// CandidateContactTimeout is the longest silence of a candidate that may take a
	// voter's place; some heartbeats.
	CandidateContactTimeout = time.Second
	// CandidateExpiry is the silence after which a candidate is forgotten; above
	// any pause of its announcements.
	CandidateExpiry = 10 * time.Second
	// ShutdownWaitFraction is the part of graceS for which a daemon that was told to end
	// waits at most while the others need its disk. The requests under way then
	// have half of graceS, and the process must end before all of it is over.
	ShutdownWaitFraction = 0.4
	// ShutdownWaitSlack is added where the loop itself may be late.
	ShutdownWaitSlack = 200 * time.Millisecond
	// ShutdownPollInterval is the pause between two asks whether a daemon may end.
	ShutdownPollInterval = 50 * time.Millisecond
	// LeadershipTransferTimeout is how long a leader that ends waits for another to lead.
	LeadershipTransferTimeout = 300 * time.Millisecond
)

// Bounds of decoders.
const (
	// MaxFrameElements is the most elements of one list or map in a frame: a batch
	// of reports names at most all workers, an append holds fewer entries.
	MaxFrameElements = 1 << 16
	// MaxFrameNesting is how deep lists in a frame may be nested.
	MaxFrameNesting = 12
	// MaxSnapshotElements is the most rows of one table in a snapshot: seventy times
	// the runs of the planned size.
	MaxSnapshotElements = 1 << 22
	// MaxSnapshotNesting is how deep a snapshot may be nested.
	MaxSnapshotNesting = 16
)
