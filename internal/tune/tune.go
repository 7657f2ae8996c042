// Package tune holds every constant of tealpond, each with its unit and the
// reason for its value.
package tune

import "time"

const (
	// Beat is how often a quiet leader tells followers that it lives. Five
	// fit into the shortest election wait, so that lost ones do not matter.
	Beat = 80 * time.Millisecond
	// Elect is the shortest silence after which a follower runs for leader.
	// Far above a slice of a shared processor, far below a hold.
	Elect = 400 * time.Millisecond
	// ElectSpread is added by lot, so that two do not run at once.
	ElectSpread = 200 * time.Millisecond
	// LeaseFraction is the part of Elect in which a leader trusts the answers
	// of a majority; the rest covers drift between steady clocks.
	LeaseShare = 0.85
	// QuorumLoss is the silence of a majority after which a leader resigns.
	QuorumLoss = 650 * time.Millisecond
	// SilentVoter is how long a voter must be silent before a caught-up
	// candidate may take its place; above any restart, below catchUpS.
	SilentVoter = 2500 * time.Millisecond
	// Window is how many entries of appends may be under way to one voter.
	Window = 512
	// AppendBytes bounds one append, so that a heartbeat is not stuck behind.
	AppendBytes = 256 << 10
	// PointEvery is the number of entries between two checkpoints; a replay
	// of so many takes well under a second on a small core.
	PointEvery = 3000
	// PointKeep is how many entries before a checkpoint stay in the log, so
	// that a voter that was away briefly needs no whole checkpoint.
	PointKeep = 1000
	// DiskInbox is the number of writes that may wait for the disk task.
	DiskInbox = 8192

	// GroupEach, for each other voter, is the least time between two entries:
	// commands that come within it share one, and so the messages to and from
	// each voter; those stay under a thousand a second, however many commands
	// there are. Longer groups (12 ms with three voters) made answers late.
	GroupEach = time.Millisecond

	// AggGrants is how long an aggregator gathers asks for grants; a side
	// daemon's grant shrinks by so much, and holds have seconds to spare.
	AggGrants = 150 * time.Millisecond
	// AggCalls is the least time between two batches of other asks; half of
	// what an entry waits for its group anyway.
	AggCalls = 5 * time.Millisecond
	// AggMissed is how many batches in a row a member may miss before it is
	// left out of the next set; a new set is told whole.
	AggMissed = 20
	// AggInbox is the most asks that may wait in an aggregator.
	AggInbox = 4096
	// AggTime bounds an aggregator's wait for the leader's answer; above an
	// election.
	AggTime = 1500 * time.Millisecond
	// DutySilent is the silence of a voter after which its zone is given to
	// another; side daemons have turned away by themselves by then.
	DutySilent = 600 * time.Millisecond
	// DutyCalm is how long a daemon of the zone itself must have been heard
	// before a zone is taken from a holder elsewhere.
	DutyCalm = 3 * time.Second
	// LeadGone is how long an aggregator without a leader goes on gathering;
	// above an election and a lost lease.
	LeadGone = 1200 * time.Millisecond
	// YieldTime is how long a daemon that said that it ends gets no duty.
	YieldTime = 5 * time.Second
	// Avoid is how long a side daemon does not go back to a daemon that left
	// it without an answer; twice as long each time, up to AvoidMost.
	Avoid     = 2 * time.Second
	AvoidMost = 16 * time.Second

	// Gather is how long the set of founders must stay the same.
	Gather = 1200 * time.Millisecond
	// Announce is the pause between two announcements of a core candidate.
	Announce = 250 * time.Millisecond

	// Dial bounds the opening of a stream; zones are milliseconds apart.
	Dial = 500 * time.Millisecond
	// UserTimeout is the TCP_USER_TIMEOUT of each stream: unanswered bytes
	// for so long mean a cut.
	UserTimeout = 1500 * time.Millisecond
	// StreamInbox is the number of frames waiting to be written to a peer.
	StreamInbox = 512
	// FrameBytes is the largest frame, and the largest snapshot that is taken in.
	FrameBytes = 64 << 20
	// SeekPlaces is how many places a side daemon asks in one look for the
	// leader; three looks reach all of a core of eight.
	SeekPlaces = 4
	// Seek is the pause between two looks for the leader.
	Seek = 80 * time.Millisecond
	// AskRound bounds one round of a call to the leader; a commit takes tens
	// of milliseconds, so a longer silence means a leader in trouble.
	AskRound = 500 * time.Millisecond
	// AskMost bounds a round with a daemon that goes on answering others: by
	// then the ask was lost on its way.
	AskMost = 2 * time.Second
	// NoLeaderWait is how long a sender's call waits for a leader before it
	// is turned away; an election takes about this long.
	NoLeaderWait = 1300 * time.Millisecond
	// Vitals is the pause after which a silent link to the leader is tested.
	Vitals = 250 * time.Millisecond

	// Hold is the longest hold that is asked for; a shorter maxHoldMs rules.
	// Longer than an election, short enough to free a lost worker's tasks.
	Hold = 3500 * time.Millisecond
	// HoldDrift is how much slower a runner's clock may run (2%).
	HoldDrift = 1.02
	// HoldMargin is added before a silent worker's runs are deemed lapsed:
	// kills at the runner and rounding take a moment.
	HoldMargin = 250 * time.Millisecond
	// Renew is the pause between two grants asked for by a side daemon.
	Renew = 400 * time.Millisecond
	// HoldWait is the waitMs of a look at a runner (at most 2,000).
	HoldWait = 900 * time.Millisecond
	// HoldQuiet is the waitMs while nothing runs on the runner.
	HoldQuiet = 2000 * time.Millisecond
	// OrderRound bounds one start or stop at the runner; the runner is on
	// the same machine, so silence means that the order was swallowed.
	OrderRound = 250 * time.Millisecond
	// OrderHands is the number of calls to a runner under way at once.
	OrderHands = 4
	// HoldReach is how far an untilMs that is sent lies ahead at most. A
	// silent runner's work is over so soon; a restart of the side daemon,
	// about a second, must fit in.
	HoldReach = 2200 * time.Millisecond
	// HoldSlack is added to waitMs for the answer to a look.
	HoldSlack = 300 * time.Millisecond
	// Dark is the silence after which two unanswered calls mean that the
	// runner is gone, and not that orders are late.
	Dark = 350 * time.Millisecond
	// LapseMargin is added before a silent runner's work is deemed over.
	LapseMargin = 100 * time.Millisecond
	// EndedKept is the number of ended runs that a side daemon remembers before
	// it forgets those that are older than EndedTime and committed: the state
	// orders them no more.
	EndedKept = 512
	EndedTime = 30 * time.Second
	// StuckAfter is the least time without progress before a run is stopped.
	StuckAfter = 450 * time.Millisecond
	// StuckPause keeps a runner on which runs stood still out of plans.
	StuckPause = 2500 * time.Millisecond

	// FlapPause is how long a runner that was lost a second time gets no work;
	// twice as long at each further loss, up to FlapMost. Why under 3 s: by
	// then a job that waits beside free room counts as lost.
	FlapPause = 500 * time.Millisecond
	FlapMost  = 2500 * time.Millisecond
	// FlapFade is in what time half of a loss is forgotten.
	FlapFade = 8 * time.Second

	// Replans is how often a plan that lost a row is planned anew inside the
	// same command.
	Replans = 2
	// Rollup is the period in which rollups are rebuilt from the bookings.
	Rollup = 5 * time.Minute
	// Sweep is the period in which old jobs are dropped.
	Sweep = 10 * time.Second
	// KeepJob is added to status_s before an ended job is forgotten.
	KeepJob = 60 * time.Second
	// RefusedPause keeps a worker that turned a start away out of plans.
	RefusedPause = 300 * time.Millisecond
	// Inbox is the number of waiting core-seconds per core of room above
	// which hand-ins are turned away with a time to come back.
	Inbox = 60.0
	// PlanTasks is the most tasks placed in one plan; bounds its time.
	PlanTasks = 600
	// PlanMiss is what a step counts of them that finds no room.
	PlanMiss = 4

	// BodyBytes bounds a body before any desired state says more.
	BodyBytes = 262144
	// ControlBytes bounds a control call's body (4 MiB by the protocol).
	ControlBytes = 4 << 20
	// SpecBytes is the longest jobSpec (PROTOCOL: 4,000 bytes).
	SpecBytes = 4000
	// HeadBytes bounds heads before any desired state says more.
	HeadBytes = 16384
	// IdleStream closes a sender's idle stream when no limit says otherwise.
	IdleStream = 15 * time.Second
	// HeadTime bounds the reading of heads when no limit says otherwise.
	HeadTime = 3 * time.Second
	// GCPercent is how far the heap grows between collections: memory is
	// priced, and heaps here are small.
	GCPercent = 25
	// MemShare is the part of memoryMb given to the Go memory limit.
	MemShare = 0.7
	// Reread is the pause between looks at the settings file.
	Reread = 2 * time.Second
	// Claim is the pause between two renewals of an edge daemon's membership.
	Claim = 1500 * time.Millisecond
	// Fresh is how long ago the leader may have been heard by a daemon that
	// calls itself ready: one claim, and an election under the next, fit in.
	Fresh = 3 * time.Second
	// Budget is a sender's time when it names none.
	Budget = 3 * time.Second
	// AnswerTime is kept back so that the answer arrives within the budget.
	AnswerTime = 40 * time.Millisecond
	// PutTime bounds an operator's call; they move on after a second, in which
	// the answer must also arrive.
	PutTime = 850 * time.Millisecond
	// PeakFade is how fast a peak of urgent demand is forgotten: bursts last
	// for seconds, and a long task blocks room for as long.
	PeakFade = 15 * time.Second
	// LongTask is the estimate from which a task must leave room to urgent
	// ones; shorter ones give room back soon enough by themselves.
	LongTask = 2 * time.Second
	// ShareLeast is the part of the room that long work may hold whatever
	// urgent work is foreseen, so that it never starves.
	ShareLeast = 0.1
	// ShareLate is that part once it would miss its aim.
	ShareLate = 0.25
	// Quiet is the silence of a side daemon after which its worker gets no
	// new tasks; two renewals are lost by then.
	Quiet = 900 * time.Millisecond
	// SpeedSpan is how long a sample of a worker's speed counts.
	SpeedSpan = 3 * time.Second
	// PaceSiblings is the least number of other runs of a step that a run is
	// compared with; PaceLeast is how many such runs, faded over SpeedSpan,
	// tell a worker's pace.
	PaceSiblings = 3
	PaceLeast    = 1.5
	// PaceSound is the pace up to which a worker is known to be sound; a run
	// there must be CopySure times as late before it gets a copy. Of 1,928
	// copies on a calm day 8 ended first.
	PaceSound = 1.5
	CopySure  = 3.0
	// SlowFrom is the factor from which a worker is passed over by tasks
	// that would miss their aim on it.
	SlowFrom = 2.0
	// CopyAfter is how many times its usual length a run may take before a
	// step that allows it gets a copy elsewhere.
	CopyAfter = 2.0
	// CopyGuess is that factor while only a rough estimate is known, and
	// nothing was learnt of the lane.
	CopyGuess = 4.0
	// CopyRare is the part of the runs that a lane's learnt factor leaves above
	// itself; CopyStep is by how much one run moves it, CopyTop its end.
	CopyRare = 0.03
	CopyStep = 0.02
	CopyTop  = 12.0
	// CopyLeast is the least age of a run that gets a copy.
	CopyLeast = 250 * time.Millisecond
	// CopyLook is the pause between two looks at a run that may get a copy; as
	// often as the leader plans while nothing new comes.
	CopyLook = 80 * time.Millisecond
	// CopySoon is the shortest of these pauses.
	CopySoon = 10 * time.Millisecond
	// LookAtAll is the number of workers of a service up to which each is
	// weighed for each step; above, an index gives the candidates.
	LookAtAll = 96
	// Candidates is how many workers that fit are weighed above that.
	Candidates = 24
	// ShareFree is the part of the room up to which long work may always
	// fill it: above the half from which a waiting job counts as lost.
	ShareFree = 0.6
	// PushAfter is how long urgent work waits before it pushes others out:
	// its own kind gives room back so often.
	PushAfter = 60 * time.Millisecond
	// PushLoss is the most unsaved work, as time, that a run may lose by it.
	PushLoss = 1500 * time.Millisecond
	// PushPause is the pause between two pushes; stops take a moment.
	PushPause = 250 * time.Millisecond
	// Linger is how long a question about a job whose last runs are under way
	// may wait for ends that are listed but not yet settled: two commits.
	Linger = 60 * time.Millisecond
	// PushOwn is the part of what a priority holds that comes free by itself
	// before a stopped run would give its room.
	PushOwn = 0.6
	// TraceMarks is the number of marks that each daemon keeps for traces:
	// about a quarter of a megabyte, some seconds of a busy day.
	TraceMarks = 2048
	// SideClaim is the pause between two renewals of a side daemon's
	// membership; the leader hears of it by its renewals of grants anyway.
	SideClaim = 5 * time.Second
	// ClaimTime is how long a claim lasts without a renewal.
	ClaimTime = 15 * time.Second
	// FleetRows is the most rows of one table that a query is given.
	FleetRows = 5000
	// ToolRound bounds one call of a tool to a daemon, ToolTime all of them.
	ToolRound = 2 * time.Second
	ToolTime  = 15 * time.Second
	// HoldLate is the waitMs of a look while a run takes longer than was
	// guessed.
	HoldLate = 350 * time.Millisecond
	// LeaveEarly is added to stopGraceMs: so long before a worker leaves, what
	// still runs there is stopped, so that its end and its saved text are
	// listed in time.
	LeaveEarly = 350 * time.Millisecond
)

// Package door.
const (
	// PutTimeKB is added to PutTime for each KB of a configuration: callers are
	// more patient with large ones, and checking 1,000 routes (190 KB) takes
	// some 90 ms of a whole core.
	PutTimeKB = 2 * time.Millisecond
	// ControlNoLeader is how long an operator's call waits for a leader before
	// it is turned away; an election that began before mostly ends in it, and
	// the operator still goes on within the second.
	ControlNoLeader = 500 * time.Millisecond
	// ControlCutOff is that wait where no leader was in reach for Fresh: one
	// look for it.
	ControlCutOff = 150 * time.Millisecond
	// LimitsTime bounds a pull of the limits; a new one follows soon.
	LimitsTime = 2 * time.Second
	// HeadMost is what the HTTP server reads of heads at most, whatever a
	// configuration allows.
	HeadMost = 64 << 10
)

// Constants of internal/disk.
const (
	// DiskLock is how long an attempt to open the file waits for its lock; the
	// attempt is made again anyway.
	DiskLock = 100 * time.Millisecond
	// DiskRetry is the first pause before a refused call to the disk is made
	// again, DiskRetryMost the longest: a disk that serves again must be in use
	// well within catchUpS, and each attempt costs processor time.
	DiskRetry     = 50 * time.Millisecond
	DiskRetryMost = 500 * time.Millisecond
	// DiskSay is the pause between two lines of the log about a disk that does
	// not serve.
	DiskSay = time.Second
	// SnapshotFrame is the size of a frame of a snapshot on disk, in bytes. A
	// page holds two; with its own heads that fills a whole number of pages.
	SnapshotFrame = 64<<10 - 128
	// SnapshotFrames is the number of frames in one transaction: about 1 MB, so
	// that entries which wait for the same disk are held up by no more.
	SnapshotFrames = 16
	// DiskBehind is how long a disk may sync nothing while work waits before a
	// leader hands the lead on: several slow syncs, and under the shortest wait
	// of a client.
	DiskBehind = 300 * time.Millisecond
	// DiskJobs is the number of writes under way from which a member takes no
	// more messages of the agreement and no more commands: its disk does not
	// serve, and memory is bounded.
	DiskJobs = 4096
)

// Package member.
const (
	// Election is how long no leader is found before that is more than an
	// ordinary election: the longest wait of a voter, its beat, and the first
	// entry of the new term.
	Election = time.Second
	// LookFresh is how long a look at all places that found no leader tells
	// that there is none; above a look's own time and the pause after it.
	LookFresh = 1500 * time.Millisecond
	// LookRest is how long a look for the leader waits for places that hang,
	// once others have answered; zones are milliseconds apart. LookHasty is how
	// many looks in a row are so short, about two seconds of them: an election
	// is over by then, and each place that hangs costs a connection.
	LookRest  = 150 * time.Millisecond
	LookHasty = 6
	// NoLeaderKnown is how long a client's call waits for a leader while it is
	// known that none is in reach; a look or two after all were started anew.
	NoLeaderKnown = 250 * time.Millisecond
	// OperatorWait is how long an operator's call waits for a leader; they go
	// on to the next daemon after a second of silence, the way there included.
	OperatorWait = 500 * time.Millisecond
	// FoundPatience is how long the seed that gathers the first core must be
	// silent before a candidate turns to the next; all machines start within
	// 0.3 s, and a start on the slowest one takes a second or two.
	FoundPatience = 5 * time.Second
	// FoundFresh is how long ago a candidate may have been heard to belong to
	// the first core: three announcements without an answer fit in.
	FoundFresh = 2400 * time.Millisecond
	// FoundTold is the number of announcements (Announce) for which members of
	// a core that was just founded tell the seeds of it: 20 s, above the turns
	// through all seeds. Each fourth goes out: more often than Gather.
	FoundTold = 80
	// SlowLink is the least rate of a link in bytes a second at which a large
	// ask or answer isn't taken for silence: 2 Mbit/s, half of it for others.
	SlowLink = 125_000
)

// order: the side daemon and its calls to the runner.
const (
	// EndsListed is how many ends a runner lists at most in one answer
	// (PROTOCOL): a list so long may go on, so it rules nothing out.
	EndsListed = 500
)

// Core: agreement of replicas.
const (
	// SumEvery is the number of entries between two sums that replicas
	// compare; one report a voter and one command each. PointEvery is a
	// multiple of it.
	SumEvery = 250
	// SumKeep is how many sums back reports and the log may still name.
	SumKeep = 40
	// RenewPause is the wait before a disk that could not be opened for a new
	// identity is tried again.
	RenewPause = time.Second
	// PieceBytes bounds a piece of a snapshot on its way, as AppendBytes does
	// an append. One is under way at a time.
	PieceBytes = 64 << 10
	// PieceAgain is how long a piece may be under way before it is sent again:
	// 64 KB take 0.3 s at 2 Mbit/s, and the agreement repeats a snapshot after
	// a second.
	PieceAgain = 700 * time.Millisecond
	// PieceStall is how long a transfer may stand still before it is begun
	// anew.
	PieceStall = 2 * time.Second
)

// Constants of redirects in internal/door.
const (
	// RedirectFresh is how lately the leader must have answered for operators
	// to be sent on to it: a renewal of the membership and its answer fit in, a
	// missed one doesn't.
	RedirectFresh = Claim + AskRound
	// RedirectBytes is the size of a configuration from which on a daemon
	// without a disk sends the operator on instead of carrying it: on a link of
	// 2 Mbit/s so much takes an eighth of a second each way.
	RedirectBytes = 32 << 10
)

// Constants of raft and of the core's membership.
const (
	// CandidateHeard is the longest silence of a candidate that may take a
	// voter's place; some heartbeats.
	CandidateHeard = time.Second
	// CandidateSilent is the silence after which a candidate is forgotten; above
	// any pause of its announcements.
	CandidateSilent = 10 * time.Second
	// LeaveShare is the part of graceS for which a daemon that was told to end
	// waits at most while the others need its disk. The requests under way then
	// have half of graceS, and the process must end before all of it is over.
	LeaveShare = 0.4
	// LeaveSlack is added where the loop itself may be late.
	LeaveSlack = 200 * time.Millisecond
	// LeaveAsk is the pause between two asks whether a daemon may end.
	LeaveAsk = 50 * time.Millisecond
	// HandOver is how long a leader that ends waits for another to lead.
	HandOver = 300 * time.Millisecond
)

// Bounds of decoders.
const (
	// FrameElements is the most elements of one list or map in a frame: a batch
	// of reports names at most all workers, an append holds fewer entries.
	FrameElements = 1 << 16
	// FrameLevels is how deep lists in a frame may be nested.
	FrameLevels = 12
	// StateElements is the most rows of one table in a snapshot: seventy times
	// the runs of the planned size.
	StateElements = 1 << 22
	// StateLevels is how deep a snapshot may be nested.
	StateLevels = 16
)
