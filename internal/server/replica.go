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

// Event is an input of the core's loop. Exactly one of its fields is set, except
// that By goes with Wrote and Bad.
type Event struct {
	Transport         *transport.Event
	Request           *LocalRequest
	FederationRequest *LocalRequest
	Written           []storage.WriteRequest
	WriteErr          error
	PeerDialed        *dialedPeer
	BootstrapProposal *rpc.BootstrapProposal
	StorageOpened     *openedStorage
	Leave             chan struct{}
	// WrittenBy is the disk that Wrote and Bad come from.
	WrittenBy *storage.Store
	// SnapshotEncoded is a snapshot that was encoded, NewIdentity the empty disk of a
	// replica that starts over.
	SnapshotEncoded *encodedSnapshot
	NewIdentity     *newIdentity
	// LeaveGranted tells that the others can do without this daemon, which leaves.
	LeaveGranted bool
	// LeaderResponse is the leader's answer to a batch of this daemon's aggregator.
	LeaderResponse *leaderResponse
}

// LocalRequest is a request of this process.
type LocalRequest struct {
	Request rpc.Request
	Reply   func(rpc.Response)
}

// dialedPeer is the outcome of dialing a peer; stream is nil if that failed.
type dialedPeer struct {
	address string
	stream  *transport.Stream
}

// workerLease is a side daemon's lease on a worker, as the leader sees it.
type workerLease struct {
	grantedAt    time.Time
	expiring     bool      // its end is being put into the log
	heardAt      time.Time // the last sign of life, also without a grant
	runtimeRatio int64     // rpc.LeaseRenewal.Ratio
}

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

// memberLease is a daemon's membership lease, and when it was last renewed.
type memberLease struct {
	rpc.MembershipLease
	renewedAt time.Time
}

// stateLimits are the limits in this daemon's settings; a leader puts them into the log.
func stateLimits(config settings.File) state.Limits {
	return state.Limits{JobRetentionMs: int64(config.Bounds.StatusS*1000) + tuning.JobRetentionMargin.Milliseconds(), MaxReplans: tuning.MaxReplans,
		RemoteFactor: config.Bounds.SpreadFactor}
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

// Run is the core's loop. It returns when ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	go r.openStorage(ctx)
	go r.runAnnouncer(ctx)
	daemon.Loop(ctx, r.events, func(event Event) { r.handleEvent(ctx, event) }, func(now time.Time) time.Duration { return r.endTurn(ctx, now) })
	return nil
}

// handleEvent takes one event.
func (r *Replica) handleEvent(ctx context.Context, event Event) {
	defer r.metrics.startTimer("take")()
	switch {
	case event.Transport != nil:
		r.handleTransport(ctx, event.Transport)
	case event.SnapshotEncoded != nil:
		r.handleSnapshotEncoded(ctx, event.SnapshotEncoded)
	case event.NewIdentity != nil:
		r.adoptNewIdentity(ctx, event.NewIdentity)
	case event.Request != nil:
		r.handleRequest(event.Request.Request, nil, r.withAppliedVersions(event.Request.Reply))
	case event.FederationRequest != nil:
		r.handleFederationRequest(event.FederationRequest)
	case (event.Written != nil || event.WriteErr != nil) && event.WrittenBy != r.disk:
		// A write of the identity that this daemon has given up.
	case event.Written != nil:
		r.metrics.count("disk_writes", 1)
		r.metrics.count("disk_jobs", len(event.Written))
		for _, write := range event.Written {
			r.writesInFlight--
			if r.node != nil {
				if write.Ready.MustSync() {
					r.node.WriteSynced(write.Ready.WriteToken)
				}
				r.sendRaftMessages(ctx, write.Ready.MessagesAfterSync)
				if write.LocalSnapshot != nil {
					r.node.Compact(write.LocalSnapshot.Index - min(write.LocalSnapshot.Index, tuning.SnapshotTrailingEntries))
				}
			}
		}
	case event.WriteErr != nil:
		_ = r.log.Log("level", "error", "event", "disk.refused", "why", event.WriteErr)
	case event.PeerDialed != nil:
		delete(r.dialing, event.PeerDialed.address)
		if event.PeerDialed.stream != nil {
			r.connections[event.PeerDialed.address] = event.PeerDialed.stream
			if r.node != nil {
				r.resumeTransfers(ctx)
			}
		} else {
			r.dialing[event.PeerDialed.address] = time.Now().Add(100 * time.Millisecond)
		}
	case event.LeaderResponse != nil:
		r.handleLeaderResponse(event.LeaderResponse)
	case event.StorageOpened != nil:
		r.handleStorageOpened(ctx, event.StorageOpened)
	case event.BootstrapProposal != nil && r.StorageOpened():
		r.handleBootstrapProposal(*event.BootstrapProposal)
	case event.Leave != nil:
		r.beginLeave(ctx, event.Leave)
	case event.LeaveGranted:
		r.finishLeaving()
	}
}

// endTurn does what is due after the events of a turn of the loop; it returns
// when to come back.
func (r *Replica) endTurn(ctx context.Context, now time.Time) time.Duration {
	if r.node == nil {
		return 0
	}
	r.metrics.count("loops", 1)
	if line := r.metrics.logLine(now); line != nil {
		_ = r.log.Log(line...)
	}
	defer r.metrics.startTimer("rest")()
	wake := r.node.Tick(now)
	r.watchStorageLag(now)
	// Before anything is applied: a snapshot that came in replaces the state
	// which the entries above it don't follow.
	r.drainNode(ctx)
	for _, wait := range []time.Duration{r.leaderWork(now), r.sendBatches(ctx, now), r.proposeQueued(now)} {
		if wait > 0 && wait < wake {
			wake = wait
		}
	}
	r.drainNode(ctx)
	if r.digests.divergedAt > 0 {
		r.discardDivergedState(ctx, now)
		return 0
	}
	r.sendAssignments()
	r.replyToCancelWaiters()
	if wait := r.replyToStatusWaiters(now); wait > 0 && wait < wake {
		wake = wait
	}
	if wait := r.continueLeave(ctx, now); wait > 0 {
		wake = min(wake, wait)
	}
	return wake
}
