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
	// leaseLossTimeout is how long a leader whose followers answer too late for a lease stays leader.
	leaseLossTimeout = time.Second
	// maxInflightEntries is the number of entries that may be in flight to one follower.
	maxInflightEntries = 512
	// maxAppendBytes is the largest size of one append, in bytes; a larger one would delay the
	// heartbeat behind it.
	maxAppendBytes = 256 << 10
	// maxLargeAppendBytes bounds the large appends in flight to all followers together, in bytes,
	// while the rates of the links are not known.
	maxLargeAppendBytes = 128 << 10
	// maxLargeAppendDelay is for how long the large appends in flight may delay a heartbeat.
	maxLargeAppendDelay = 100 * time.Millisecond
	// largeAppendTimeout is how long a large append that is not acknowledged delays others at most.
	largeAppendTimeout = 400 * time.Millisecond
	// maxCommittedEntries is the number of entries that a replica applies between two looks at the
	// clock.
	maxCommittedEntries = 16
	// maxReplans is how often a plan that lost a placement is planned again within the same command.
	maxReplans = 2
	// jobRetentionMargin is added to the setting status_s before a completed job is forgotten.
	jobRetentionMargin = 60 * time.Second
)

// Replica is one server's replica of the cluster's state. Its fields belong to its
// event loop, except for the atomic ones; its exported methods are safe for
// concurrent use.
type Replica struct {
	settings  settings.File
	log       log.Logger
	trace     *tracing.Ring
	metrics   *loopMetrics
	debug     bool   // lines of level debug are kept
	processID string // daemon.Environment.ProcessID
	afterSync func() // daemon.Environment.AfterSync

	// Identity, storage and consensus. The node is nil until the storage is open
	// and this server belongs, or wants to belong, to a cluster.
	self               raft.Member
	storage            *storage.Store
	persisted          storage.Recovered
	node               *raft.Node
	state              *state.Store
	writeQueue         chan storage.WriteRequest
	writesInFlight     int
	stopWriter         context.CancelFunc
	storageOpened      atomic.Bool
	applyBacklog       bool       // committed entries wait for the next turn, see drainNode
	roundTrips         roundTrips // to a quorum, while this replica leads
	linkTrial          linkTrial  // while this replica leads
	linkMeasurement    linkMeasurement
	sentBytes          byteRate  // to other members
	storageLagLoggedAt time.Time // when it was last logged that the storage is behind
	identityResets     int
	digests            digestTracker
	lastSnapshotIndex  uint64         // of the newest snapshot that the storage was given
	latestSnapshot     *raft.Snapshot // for followers that lag
	encodingSnapshot   bool
	outgoingSnapshots  map[string]*snapshotSender // by the follower's ID
	incomingSnapshots  map[string]*snapshotReceiver

	// Other daemons.
	events          chan loopEvent
	ended           chan struct{} // closed when the loop has ended
	leaderClient    *discovery.Client
	seeds           atomic.Pointer[[]string]
	bootstrap       bootstrap.Coordinator
	joinRequestedAt time.Time
	peers           peerStreams

	// Clocks of the log, see clock.go.
	timeOfDay  clock.TimeOfDay
	wall       clock.Wall
	stateClock clock.Monotonic

	// Commands and those who wait for them.
	pending       map[uint64]pendingEntry // by log index
	commands      []state.EncodedCommand  // of the next entry
	replies       []commandReply          // of the same commands
	proposedAt    time.Time
	statusWaiters map[string][]statusWaiter // by job ID
	keyWatchers   keyWatchers
	submitting    map[string]int             // jobs on their way through the log, by ID
	cancelWaiters map[string][]replyFunc     // by job ID
	backlog       map[state.BacklogKey]int64 // as of backlogAt
	backlogAt     time.Time
	floodedAt     map[string]time.Time // by tenant, see noteFlood
	federation    *federation.Settings // nil while federation is off

	// Agents that are connected to this replica, and their assignments.
	sessions           map[string]*agentSession // by worker ID
	sessionsUnsynced   bool
	pendingAssignments map[*transport.Stream][]rpc.Assignment
	aggregator         *aggregator.Batcher
	leaderSeenAt       time.Time // when a leader was last known
	tallies            tallyService
	pendingUpdates     map[pendingUpdateKey][]replyFunc // who waits for each
	evacuationNotices  map[string]evacuationNotice      // by zone

	// The term of leadership.
	leading       bool
	leadingSince  time.Time
	leadingTerm   uint64
	leases        map[string]*workerLease // by worker ID
	memberSets    map[string]memberSet    // by the aggregator's member ID
	memberLeases  map[string]memberLease  // by node and role
	appointments  appointments
	membership    membershipTracker
	planning      planning
	upkeep        upkeep
	runnerList    runnerList
	counts        *counter.Set // merged counts of all daemons, in memory
	configUpdates configUpdates
	leaseDuration time.Duration

	departure departure
}

// stateLimits are the limits in this server's settings; a leader puts them into the log.
func stateLimits(config settings.File) state.Limits {
	return state.Limits{
		JobRetentionMs: int64(config.Bounds.StatusS*msPerSecond) + jobRetentionMargin.Milliseconds(),
		MaxReplans:     maxReplans,
		RemoteFactor:   config.Bounds.SpreadFactor,
	}
}

// New builds a replica; Run opens its storage. Until that is open there is no
// node, and requests that need one are answered as by a daemon without state.
func New(env daemon.Environment, leaderClient *discovery.Client) *Replica {
	r := newReplica()
	r.settings, r.log, r.trace, r.debug, r.processID = env.Settings, env.Log, env.Trace, env.Debug, env.ProcessID
	r.afterSync = env.AfterSync
	r.metrics = newLoopMetrics(env.Debug)
	r.self = raft.Member{Node: env.Settings.NodeName, Addr: env.Settings.InternalAddress()}
	r.events, r.ended = make(chan loopEvent, eventQueueLength), make(chan struct{})
	r.writeQueue = make(chan storage.WriteRequest, storage.QueueLength)
	r.leaderClient = leaderClient
	r.counts = newCounts(env.ProcessID, env.Settings.ShareWindow(counter.DefaultWindow), time.Now())
	r.leaseDuration = env.Settings.LeaseDuration(timing.MaxLeaseDuration)
	r.SetSeeds(env.Settings.SeedAddresses())
	r.bootstrap.MinVoters, r.bootstrap.Restarted = 2*env.Settings.Tolerance.LostMachines+1, !env.Settings.FirstStart
	return r
}

// newReplica makes the tables of a replica, all empty.
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
		tallies:            tallyService{learnerContacts: map[string]time.Time{}, silent: map[string]bool{}},
	}
}

// raftConfig is the timing and the limits of a node.
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

// startNode starts the consensus node at a snapshot, with the log that the storage
// holds above it.
func (r *Replica) startNode(snapshot raft.Snapshot) {
	seed := fnv.New64()
	_, _ = seed.Write([]byte(r.self.ID)) // a hash never fails to write
	if r.state.AppliedIndex == 0 {
		// The limits come by the log (see becomeLeader), so that all replicas apply
		// each entry under the same ones.
		r.state.Limits = state.Limits{}
	}
	if err := r.state.BindSnapshotIndex(snapshot.Index); err != nil {
		panic("server: " + err.Error())
	}
	r.node = raft.New(r.self.ID, r.persisted.HardState, snapshot, r.persisted.Entries, time.Now(), raftConfig(), int64(seed.Sum64())^time.Now().UnixNano())
	r.node.RestoreCommit(r.persisted.Commit)
	r.learnClocks(time.Now(), snapshot.Term)
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

// SetSeeds replaces the addresses of the seeds.
func (r *Replica) SetSeeds(addresses []string) { r.seeds.Store(&addresses) }

// Deliver hands the loop an event of an accepted stream. It blocks while the
// loop's queue is full, and does nothing once the loop has ended.
func (r *Replica) Deliver(event transport.Event) { r.send(loopEvent{transport: &event}) }

// HandleLocal hands the loop a request of this process; reply is called in the
// loop and must not block. Once the loop has ended it is called here, with the
// response that nobody leads.
func (r *Replica) HandleLocal(request rpc.Request, reply func(rpc.Response)) {
	if !r.send(loopEvent{request: &localRequest{request: request, reply: reply}}) {
		reply(rpc.Response{Code: rpc.CodeNoLeader})
	}
}

// send hands the loop an event; false if the loop has ended.
func (r *Replica) send(event loopEvent) bool {
	select {
	case r.events <- event:
		return true
	case <-r.ended:
		return false
	}
}
