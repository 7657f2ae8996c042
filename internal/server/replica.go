// Package server runs a replica of the cluster's state: the consensus node, its
// disk and the state machine, and, while it leads, the clock, the scheduler, the
// leases of the workers and the orders to side daemons. All of it belongs to one
// loop (Run), which takes events and never blocks on the network or the disk.
package server

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/aggregator"
	"tealpond/internal/bootstrap"
	"tealpond/internal/daemon"
	"tealpond/internal/discovery"
	"tealpond/internal/federation"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/scheduler"
	"tealpond/internal/settings"
	"tealpond/internal/state"
	"tealpond/internal/storage"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// Replica is one replica; its fields belong to its loop, except for the atomic ones.
type Replica struct {
	settings  settings.File
	log       log.Logger
	self      raft.Member
	persisted storage.Recovered
	disk      *storage.Store
	node      *raft.Node
	state     *state.Store

	events       chan Event
	writeQueue   chan storage.WriteRequest
	leaderClient *discovery.Client
	bootstrap    bootstrap.Coordinator

	connections     map[string]*transport.Stream // by address, dialed
	dialing         map[string]time.Time
	addresses       map[string]string            // disk to address
	inbound         map[string]*transport.Stream // disk to the stream it came by
	joinRequestedAt time.Time

	pending                   map[uint64]pendingEntry
	commands                  []state.EncodedCommand
	replies                   []func(state.Outcome, bool)
	leases                    map[string]*workerLease
	sessions                  map[string]*agentSession // side daemons connected to this one, by worker
	sessionsUnsynced          bool
	pendingAssignments        map[*transport.Stream][]rpc.Assignment
	aggregator                *aggregator.Batcher
	memberSets                map[string]memberSet // by the disk of the aggregator
	appointments              appointments
	leaderSeenAt              time.Time
	memberLeases              map[string]memberLease
	statusWaiters             map[string][]statusWaiter
	leading                   bool
	leadingSince              time.Time
	leadingTerm               uint64
	clockBase                 int64
	planDue                   bool // the state changed since the scheduler ran
	plansProposed             bool // a booking is proposed and not yet applied
	proposedAt                time.Time
	garbageCollectionProposed bool // a sweep for timed jobs is proposed and not yet applied
	preemptedAt               time.Time
	lastSnapshotIndex         uint64         // the index of the newest snapshot that the disk was given
	latestSnapshot            *raft.Snapshot // the newest snapshot, for members that lag
	encodingSnapshot          bool           // a snapshot is being encoded
	digests                   digestTracker
	stopWriter                context.CancelFunc
	identityResets            int
	outgoingSnapshots         map[string]*snapshotSender // snapshots on their way, by disk
	incomingSnapshots         map[string]*snapshotReceiver
	writesInFlight            int
	garbageCollectedAt        time.Time
	rollupsRebuiltAt          time.Time
	wallClockOffset           int64
	wallClockKnown            bool
	periodicWorkAt            time.Time
	queuedWork                int64 // work that waits, as of queuedWorkAt
	queuedWorkAt              time.Time
	capacityLoggedAt          time.Time
	leaveWaiters              []chan struct{}
	leaveDeadline             time.Time
	transferringLeadership    bool // leadership is being transferred
	leaveRequested            bool // the leader is asked whether this daemon may end
	leaseDuration             time.Duration
	membership                membershipTracker
	federation                *federation.Settings
	cancelWaiters             map[string][]replyFunc
	trace                     *tracing.Ring
	incarnation               string
	debug                     bool
	planner                   scheduler.Planner
	metrics                   *loopMetrics
	seeds                     atomic.Pointer[[]string]
	storageOpened             atomic.Bool
	storageLagLoggedAt        time.Time // when it was last logged that the disk is behind
}

// New builds the core; Run opens its disk. Until that is open there is no node,
// and requests that need one are answered as by a daemon without state.
func New(env daemon.Environment, leaderClient *discovery.Client) (*Replica, error) {
	replica := &Replica{trace: env.Trace, incarnation: env.Incarnation, debug: env.Debug, settings: env.Settings, log: env.Log, leaderClient: leaderClient,
		self:   raft.Member{Node: env.Settings.NodeName, Addr: env.Settings.InternalAddress()},
		events: make(chan Event, 4096), writeQueue: make(chan storage.WriteRequest, tuning.StorageQueueLength),
		connections: map[string]*transport.Stream{}, dialing: map[string]time.Time{}, addresses: map[string]string{}, inbound: map[string]*transport.Stream{},
		pending: map[uint64]pendingEntry{}, leases: map[string]*workerLease{}, memberLeases: map[string]memberLease{}, statusWaiters: map[string][]statusWaiter{},
		sessions: map[string]*agentSession{}, pendingAssignments: map[*transport.Stream][]rpc.Assignment{}, aggregator: aggregator.New(""), memberSets: map[string]memberSet{}, appointments: newAppointments(), digests: newDigestTracker(), outgoingSnapshots: map[string]*snapshotSender{}, incomingSnapshots: map[string]*snapshotReceiver{}, cancelWaiters: map[string][]replyFunc{},
		leaseDuration: env.Settings.LeaseDuration(tuning.MaxLeaseDuration), metrics: newLoopMetrics(env.Debug)}
	replica.SetSeeds(env.Settings.SeedAddresses())
	replica.bootstrap.MinVoters = 2*env.Settings.Tolerance.LostMachines + 1
	replica.state = state.New(state.Limits{})
	return replica, nil
}

// stateLimits are the limits in this daemon's settings; a leader puts them into the log.
func stateLimits(config settings.File) state.Limits {
	return state.Limits{JobRetentionMs: int64(config.Bounds.StatusS*1000) + tuning.JobRetentionMargin.Milliseconds(), MaxReplans: tuning.MaxReplans,
		RemoteFactor: config.Bounds.SpreadFactor}
}

// startNode starts the consensus node at a snapshot, with the log that the disk
// holds above it.
func (r *Replica) startNode(snapshot raft.Snapshot) {
	seed := fnv.New64()
	_, _ = seed.Write([]byte(r.self.ID))
	if r.state.AppliedIndex == 0 {
		// The limits come by the log, also where there is no state yet.
		r.state.Limits = state.Limits{}
	}
	if err := r.state.BindSnapshotIndex(snapshot.Index); err != nil {
		panic("core: " + err.Error())
	}
	r.node = raft.New(r.self.ID, r.persisted.HardState, snapshot, r.persisted.Entries, time.Now(), raft.Config{HeartbeatInterval: tuning.HeartbeatInterval, ElectionTimeout: tuning.ElectionTimeout,
		ElectionJitter: tuning.ElectionTimeoutJitter, CheckQuorumTimeout: tuning.QuorumLossTimeout, LeaseFraction: tuning.LeaderLeaseFraction, MaxInflightEntries: tuning.MaxInflightEntries, MaxAppendBytes: tuning.MaxAppendBytes},
		int64(seed.Sum64())^time.Now().UnixNano())
	r.node.SetWallClock(func() int64 { return time.Now().UnixMilli() })
	r.node.SetSnapshotSource(r.snapshotForFollower)
	r.persisted.Entries = nil
	r.persisted.Snapshot.Data = nil
	_ = r.log.Log("level", "info", "event", "core.start", "disk", r.self.ID, "term", r.node.Term(), "last", r.node.LastIndex(), "voters", len(r.node.Voters()))
}

// SetSeeds replaces the addresses of the seeds. It is safe for concurrent use.
func (r *Replica) SetSeeds(addresses []string) { r.seeds.Store(&addresses) }

// Deliver hands the loop an event of an accepted stream.
func (r *Replica) Deliver(event transport.Event) { r.events <- Event{Transport: &event} }

// HandleLocal hands the loop a request of this process; reply is called in the loop.
func (r *Replica) HandleLocal(request rpc.Request, reply func(rpc.Response)) {
	r.events <- Event{Request: &LocalRequest{Request: request, Reply: reply}}
}
