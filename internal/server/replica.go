package server

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/aggregator"
	"tealpond/internal/bootstrap"
	"tealpond/internal/clock"
	"tealpond/internal/counter"
	"tealpond/internal/daemon"
	"tealpond/internal/discovery"
	"tealpond/internal/federation"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/state"
	"tealpond/internal/storage"
	"tealpond/internal/timing"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

const (
	// leaseLossTimeout is how long a leader stays leader while its followers respond too late to
	// renew its lease.
	leaseLossTimeout = time.Second
	// maxInflightEntries is the number of log entries that may be in flight to one follower.
	maxInflightEntries = 512
	// maxAppendBytes is the maximum size of one append message, in bytes. A larger one would delay
	// the heartbeats queued behind it.
	maxAppendBytes = 256 << 10
	// maxLargeAppendBytes limits the total size of large appends in flight to all followers, in
	// bytes, while the link rates are unknown.
	maxLargeAppendBytes = 128 << 10
	// maxLargeAppendDelay is the longest delay of a heartbeat that large appends in flight may
	// cause.
	maxLargeAppendDelay = 100 * time.Millisecond
	// largeAppendTimeout is the longest time that an unacknowledged large append holds back others.
	largeAppendTimeout = 400 * time.Millisecond
	// maxCommittedEntries is the number of entries that a replica applies between two checks of the
	// elapsed time.
	maxCommittedEntries = 16
	// maxReplans is how often one command may replan after a placement in its plan could not be
	// made.
	maxReplans = 2
	// jobRetentionMargin is added to the status_s setting to get the time for which a completed job
	// is retained.
	jobRetentionMargin = 60 * time.Second
)

// Replica is one server's replica of the cluster state. Its event loop owns all fields except the
// atomic ones. Its exported methods are safe for concurrent use.
type Replica struct {
	settings  settings.File
	log       log.Logger
	trace     *tracing.Ring
	metrics   *loopMetrics
	debug     bool   // debug lines are logged
	processID string // daemon.Environment.ProcessID
	afterSync func() // daemon.Environment.AfterSync

	// Identity, storage and Raft. The node is nil until the storage is open and this server belongs
	// to a cluster or is about to join one.
	self                raft.Member
	storage             *storage.Store
	persisted           storage.Recovered
	node                *raft.Node
	state               *state.Store
	writeQueue          chan storage.WriteRequest
	writesInFlight      int
	stopWriter          context.CancelFunc
	storageOpened       atomic.Bool
	hasUnappliedEntries bool           // committed entries are left for the next loop iteration, see drainNode
	roundTrips          roundTrips     // to a quorum, while this replica is leader
	linkTrial           linkTrial      // while this replica is leader
	formats             formatExchange // while this replica is leader
	linkMeasurement     linkMeasurement
	sentBytes           byteRate  // to other members
	storageLagLoggedAt  time.Time // when storage lag was last logged
	identityResets      int
	digests             digestTracker
	lastSnapshotIndex   uint64         // of the newest snapshot handed to the storage
	latestSnapshot      *raft.Snapshot // for lagging followers
	encodingSnapshot    bool
	outgoingSnapshots   map[string]*snapshotSender // by the follower's ID
	incomingSnapshots   map[string]*snapshotReceiver

	// Other daemons.
	events          chan loopEvent
	ended           chan struct{} // closed when the event loop has returned
	leaderClient    *discovery.Client
	seeds           atomic.Pointer[[]string]
	bootstrap       bootstrap.Coordinator
	joinRequestedAt time.Time
	peers           peerStreams

	// Clocks recorded in the log, see clock.go.
	timeOfDay  clock.TimeOfDay
	wall       clock.Wall
	stateClock clock.Monotonic

	// Commands and the callers waiting for them.
	pending       map[uint64]pendingEntry // by log index
	commands      []state.EncodedCommand  // for the next log entry
	replies       []commandReply          // to the same commands
	proposedAt    time.Time
	statusWaiters map[string][]statusWaiter // by job ID
	keyWatchers   keyWatchers
	submitting    map[string]int // by job ID, proposed and not yet applied
	// submittingBytes is the estimated memory of the jobs in submitting.
	submittingBytes float64
	puttingBytes    int64                      // estimated memory of the puts that are proposed and not yet applied
	cancelWaiters   map[string][]replyFunc     // by job ID
	backlog         map[state.BacklogKey]int64 // as of backlogAt
	backlogAt       time.Time
	floodRefusedAt  map[string]time.Time // by tenant, see recordFlood
	federation      *federation.Settings // nil if federation is disabled

	// Agents connected to this replica, and their assignments.
	sessions           map[string]*agentSession // by worker ID
	sessionsUnsynced   bool
	pendingAssignments map[*transport.Stream][]rpc.Assignment
	aggregator         *aggregator.Batcher
	leaderSeenAt       time.Time // when a leader was last known
	tallies            tallyService
	pendingUpdates     map[pendingUpdateKey][]replyFunc // callers waiting for each update
	evacuationNotices  map[string]evacuationNotice      // by zone

	// Leader state, valid for one term.
	leading       bool
	leadingSince  time.Time
	leadingTerm   uint64
	leases        map[string]*workerLease // by worker ID
	memberSets    map[string]memberSet    // by the aggregator's member ID
	memberLeases  map[string]memberLease  // by node and role
	appointments  appointments
	membership    membershipTracker
	planning      planning
	maintenance   maintenance
	runnerList    runnerList
	counts        *counter.Set // merged counts of all daemons, kept in memory only
	configUpdates configUpdates
	leaseDuration time.Duration

	leaving leaveProgress
}

// stateLimits returns the limits from this server's settings. A leader writes them to the log.
func stateLimits(config settings.File) state.Limits {
	return state.Limits{
		JobRetentionMs: int64(config.Bounds.StatusS*msPerSecond) + jobRetentionMargin.Milliseconds(),
		MaxReplans:     maxReplans,
		RemoteFactor:   config.Bounds.SpreadFactor,
	}
}

// New returns a replica; Run opens its storage. Until the storage is open there is no Raft node,
// and requests that need one are answered as if by a daemon without state.
func New(env daemon.Environment, leaderClient *discovery.Client) *Replica {
	r := newReplica()
	r.settings, r.log, r.trace, r.debug, r.processID = env.Settings, env.Log, env.Trace, env.Debug, env.ProcessID
	r.afterSync = env.AfterSync
	r.metrics = newLoopMetrics(env.Debug)
	r.self = raft.Member{Node: env.Settings.NodeName, Addr: env.Settings.InternalAddress()}
	r.events, r.ended = make(chan loopEvent, eventQueueLength), make(chan struct{})
	r.writeQueue = make(chan storage.WriteRequest, storage.QueueLength)
	r.leaderClient = leaderClient
	r.counts = newCounts(env.ProcessID, env.Settings.QuotaWindow(counter.DefaultWindow), time.Now())
	r.leaseDuration = env.Settings.LeaseDuration(timing.MaxLeaseDuration)
	r.SetSeeds(env.Settings.SeedAddresses())
	r.bootstrap.MinVoters, r.bootstrap.Restarted = 2*env.Settings.Tolerance.LostMachines+1, !env.Settings.FirstStart
	return r
}

// newReplica returns a replica with all maps initialized and empty.
func newReplica() *Replica {
	return &Replica{
		state:              state.New(state.Limits{}),
		digests:            newDigestTracker(),
		outgoingSnapshots:  map[string]*snapshotSender{},
		incomingSnapshots:  map[string]*snapshotReceiver{},
		peers:              newPeerStreams(),
		runnerList:         newRunnerList(),
		pending:            map[uint64]pendingEntry{},
		statusWaiters:      map[string][]statusWaiter{},
		keyWatchers:        newKeyWatchers(),
		submitting:         map[string]int{},
		cancelWaiters:      map[string][]replyFunc{},
		sessions:           map[string]*agentSession{},
		pendingAssignments: map[*transport.Stream][]rpc.Assignment{},
		aggregator:         aggregator.New(""),
		leases:             map[string]*workerLease{},
		memberSets:         map[string]memberSet{},
		memberLeases:       map[string]memberLease{},
		wall:               clock.NewWall(time.Now()),
		stateClock:         clock.NewMonotonic(time.Now()),
		appointments:       newAppointments(),
		pendingUpdates:     map[pendingUpdateKey][]replyFunc{},
		tallies:            tallyService{learnerContacts: map[string]time.Time{}, loggedSilent: map[string]bool{}},
	}
}

// raftConfig returns the timing and limits of a Raft node.
func raftConfig() raft.Config {
	return raft.Config{
		HeartbeatInterval:   timing.HeartbeatInterval,
		ElectionTimeout:     timing.ElectionTimeout,
		ElectionJitter:      timing.ElectionTimeoutJitter,
		CheckQuorumTimeout:  timing.QuorumLossTimeout,
		LeaseLossTimeout:    leaseLossTimeout,
		LeaseFraction:       timing.LeaderLeaseFraction,
		MaxInflightEntries:  maxInflightEntries,
		MaxAppendBytes:      maxAppendBytes,
		MaxLargeAppendBytes: maxLargeAppendBytes,
		MaxLargeAppendDelay: maxLargeAppendDelay,
		LargeAppendTimeout:  largeAppendTimeout,
		MaxCommittedEntries: maxCommittedEntries,
	}
}

// startNode starts the Raft node from a snapshot and the log entries that the storage holds after
// it.
func (r *Replica) startNode(snapshot raft.Snapshot) {
	seed := fnv.New64()
	_, _ = seed.Write([]byte(r.self.ID)) // writing to a hash never fails
	if r.state.AppliedIndex == 0 {
		// Limits are set through the log (see becomeLeader), so that all replicas apply each entry
		// under the same limits.
		r.state.Limits = state.Limits{}
	}
	if err := r.state.BindSnapshotIndex(snapshot.Index); err != nil {
		panic("server: " + err.Error())
	}
	r.node = raft.New(r.self.ID, r.persisted.HardState, snapshot, r.persisted.Entries, time.Now(), raftConfig(), int64(seed.Sum64())^time.Now().UnixNano())
	r.node.RestoreCommit(r.persisted.Commit)
	r.observeClocks(time.Now(), snapshot.Term)
	r.node.SetWallClock(func() int64 {
		now := time.Now()
		return r.timeOfDay.Read(now, clock.MachineTime(now)).Milliseconds()
	})
	r.node.SetSnapshotSource(r.snapshotForFollower)
	r.persisted.Entries = nil
	r.persisted.Snapshot.Data = nil
	_ = r.log.Log("level", "info", "event", "raft.started", "disk", r.self.ID,
		"term", r.node.Term(), "last", r.node.LastIndex(), "voters", len(r.node.Voters()))
}

// SetSeeds replaces the addresses of the seed servers.
func (r *Replica) SetSeeds(addresses []string) { r.seeds.Store(&addresses) }

// Deliver queues an event of an accepted stream. It blocks while the event queue is full, and does
// nothing after the event loop has returned.
func (r *Replica) Deliver(event transport.Event) { r.send(loopEvent{transport: &event}) }

// HandleLocal queues a request from this process. The event loop calls reply, which must not block.
// After the event loop has returned, HandleLocal itself calls reply, with CodeNoLeader.
func (r *Replica) HandleLocal(request rpc.Request, reply func(rpc.Response)) {
	if !r.send(loopEvent{request: &localRequest{request: request, reply: reply}}) {
		reply(rpc.Response{Code: rpc.CodeNoLeader})
	}
}

// send queues an event. It returns false if the event loop has returned.
func (r *Replica) send(event loopEvent) bool {
	select {
	case r.events <- event:
		return true
	case <-r.ended:
		return false
	}
}
