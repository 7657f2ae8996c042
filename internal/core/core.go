// Package core runs a replica of the cluster's state: the consensus node, its
// disk and the state machine, and, while it leads, the clock, the scheduler, the
// leases of the workers and the orders to side daemons. All of it belongs to one
// loop (Run), which takes events and never blocks on the network or the disk.
package core

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/aggregator"
	"tealpond/internal/bootstrap"
	"tealpond/internal/discovery"
	"tealpond/internal/federation"
	"tealpond/internal/kernel"
	"tealpond/internal/place"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/storage"
	"tealpond/internal/store"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// Event is an input of the core's loop. Exactly one of its fields is set, except
// that By goes with Wrote and Bad.
type Event struct {
	Link  *transport.Event
	Ask   *Local
	Own   *Local
	Wrote []storage.WriteRequest
	Bad   error
	Peer  *peerUp
	Found *rpc.BootstrapProposal
	Disk  *diskUp
	Leave chan struct{}
	// By is the disk that Wrote and Bad come from.
	By *storage.Store
	// Snapshot is a snapshot that was encoded, NewIdentity the empty disk of a
	// replica that starts over.
	Snapshot    *encodedSnapshot
	NewIdentity *newIdentity
	// MayGo tells that the others can do without this daemon, which leaves.
	MayGo bool
	// LeaderAnswer is the leader's answer to a batch of this daemon's aggregator.
	LeaderAnswer *leaderAnswer
}

// Local is a request of this process.
type Local struct {
	Ask   rpc.Request
	Reply func(rpc.Response)
}

// peerUp is the outcome of dialing a peer; stream is nil if that failed.
type peerUp struct {
	addr   string
	stream *transport.Stream
}

// workerLease is a side daemon's lease on a worker, as the leader sees it.
type workerLease struct {
	grantedAt time.Time
	expiring  bool      // its end is being put into the log
	heardAt   time.Time // the last sign of life, also without a grant
	ratio     int64     // rpc.LeaseRenewal.Ratio
}

// Core is one replica; its fields belong to its loop, except for the atomic ones.
type Core struct {
	settings settings.File
	log      log.Logger
	self     raft.Member
	held     storage.Recovered
	disk     *storage.Store
	node     *raft.Node
	state    *store.Store

	events   chan Event
	diskJobs chan storage.WriteRequest
	seek     *discovery.Client
	found    bootstrap.Coordinator

	connections map[string]*transport.Stream // by address, dialed
	dialing     map[string]time.Time
	addrs       map[string]string            // disk to address
	inbound     map[string]*transport.Stream // disk to the stream it came by
	joined      time.Time

	waiters          map[uint64]waiter
	commands         []store.Raw
	replies          []func(store.Outcome, bool)
	leases           map[string]*workerLease
	sessions         map[string]*sideSession // side daemons connected to this one, by worker
	sessionsUnsynced bool
	orders           map[*transport.Stream][]rpc.Assignment
	aggregator       *aggregator.Batcher
	memberSets       map[string]memberSet // by the disk of the aggregator
	appointments     appointments
	leadSeen         time.Time
	memberLeases     map[string]memberLease
	statusWaiters    map[string][]statusWaiter
	leading          bool
	leadingSince     time.Time
	leadingTerm      uint64
	clockBase        int64
	planDue          bool // the state changed since the scheduler ran
	bookInLog        bool // a booking is proposed and not yet applied
	proposedAt       time.Time
	sweepInLog       bool // a sweep for timed jobs is proposed and not yet applied
	preemptedAt      time.Time
	lastSnapshot     uint64         // the index of the newest snapshot that the disk was given
	newestSnapshot   *raft.Snapshot // the newest snapshot, for members that lag
	encodingSnapshot bool           // a snapshot is being encoded
	audit            audit
	stopDisk         context.CancelFunc
	renewals         int
	outgoing         map[string]*outgoing // snapshots on their way, by disk
	incoming         map[string]*incoming
	writesInFlight   int
	sweptAt          time.Time
	rebuiltAt        time.Time
	wallOffset       int64
	wallSet          bool
	checkedAt        time.Time
	waitingWork      int64 // work that waits, as of waitingWorkAt
	waitingWorkAt    time.Time
	roomLoggedAt     time.Time
	leaving          []chan struct{}
	leaveBy          time.Time
	handingOver      bool // leadership is being transferred
	yielding         bool // the leader is asked whether this daemon may end
	leaseTime        time.Duration
	tracker          tracker
	peering          *federation.Settings
	cancelWaiters    map[string][]replyFunc
	trace            *tracing.Ring
	life             string
	debug            bool
	planner          place.Planner
	meter            *meter
	seeds            atomic.Pointer[[]string]
	opened           atomic.Bool
	diskLoggedAt     time.Time // when it was last logged that the disk is behind
}

// memberLease is a daemon's membership lease, and when it was last renewed.
type memberLease struct {
	rpc.MembershipLease
	at time.Time
}

// limits are the limits in this daemon's settings; a leader puts them into the log.
func limits(set settings.File) store.Limits {
	return store.Limits{KeepJobMs: int64(set.Bounds.StatusS*1000) + tune.KeepJob.Milliseconds(), Replans: tune.Replans,
		Far: set.Bounds.SpreadFactor}
}

// New builds the core; Run opens its disk. Until that is open there is no node,
// and requests that need one are answered as by a daemon without state.
func New(b kernel.Base, seek *discovery.Client) (*Core, error) {
	core := &Core{trace: b.Trace, life: b.Life, debug: b.Debug, settings: b.Setting, log: b.Log, seek: seek,
		self:   raft.Member{Node: b.Setting.NodeName, Addr: b.Setting.InternalAddress()},
		events: make(chan Event, 4096), diskJobs: make(chan storage.WriteRequest, tune.DiskInbox),
		connections: map[string]*transport.Stream{}, dialing: map[string]time.Time{}, addrs: map[string]string{}, inbound: map[string]*transport.Stream{},
		waiters: map[uint64]waiter{}, leases: map[string]*workerLease{}, memberLeases: map[string]memberLease{}, statusWaiters: map[string][]statusWaiter{},
		sessions: map[string]*sideSession{}, orders: map[*transport.Stream][]rpc.Assignment{}, aggregator: aggregator.New(""), memberSets: map[string]memberSet{}, appointments: newAppointments(), audit: newAudit(), outgoing: map[string]*outgoing{}, incoming: map[string]*incoming{}, cancelWaiters: map[string][]replyFunc{},
		leaseTime: b.Setting.LeaseDuration(tune.Hold), meter: newMeter(b.Debug)}
	core.Seeds(b.Setting.SeedAddresses())
	core.found.MinVoters = 2*b.Setting.Tolerance.LostMachines + 1
	core.state = store.New(store.Limits{})
	return core, nil
}

// startNode starts the consensus node at a snapshot, with the log that the disk
// holds above it.
func (c *Core) startNode(point raft.Snapshot) {
	seed := fnv.New64()
	_, _ = seed.Write([]byte(c.self.ID))
	if c.state.Applied == 0 {
		// The limits come by the log, also where there is no state yet.
		c.state.Limits = store.Limits{}
	}
	if err := c.state.StartAt(point.Index); err != nil {
		panic("core: " + err.Error())
	}
	c.node = raft.New(c.self.ID, c.held.HardState, point, c.held.Entries, time.Now(), raft.Config{HeartbeatInterval: tune.Beat, ElectionTimeout: tune.Elect,
		ElectionJitter: tune.ElectSpread, CheckQuorumTimeout: tune.QuorumLoss, LeaseFraction: tune.LeaseShare, MaxInflightEntries: tune.Window, MaxAppendBytes: tune.AppendBytes},
		int64(seed.Sum64())^time.Now().UnixNano())
	c.node.SetWallClock(func() int64 { return time.Now().UnixMilli() })
	c.node.SetSnapshotSource(c.snapshotForMember)
	c.held.Entries = nil
	c.held.Snapshot.Data = nil
	_ = c.log.Log("level", "info", "event", "core.start", "disk", c.self.ID, "term", c.node.Term(), "last", c.node.LastIndex(), "voters", len(c.node.Voters()))
}

// Seeds replaces the addresses of the seeds. It is safe for concurrent use.
func (c *Core) Seeds(a []string) { c.seeds.Store(&a) }

// Give hands the loop an event of an accepted stream.
func (c *Core) Give(e transport.Event) { c.events <- Event{Link: &e} }

// Handle hands the loop a request of this process; reply is called in the loop.
func (c *Core) Handle(a rpc.Request, reply func(rpc.Response)) {
	c.events <- Event{Ask: &Local{Ask: a, Reply: reply}}
}

// Run is the core's loop. It returns when ctx ends.
func (c *Core) Run(ctx context.Context) error {
	go c.openDisk(ctx)
	go c.announce(ctx)
	kernel.Loop(ctx, c.events, func(event Event) { c.handle(ctx, event) }, func(now time.Time) time.Duration { return c.endTurn(ctx, now) })
	return nil
}

// handle takes one event.
func (c *Core) handle(ctx context.Context, event Event) {
	defer c.meter.span("take")()
	switch {
	case event.Link != nil:
		c.onLink(ctx, event.Link)
	case event.Snapshot != nil:
		c.onSnapshotEncoded(ctx, event.Snapshot)
	case event.NewIdentity != nil:
		c.onNewIdentity(ctx, event.NewIdentity)
	case event.Ask != nil:
		c.onAsk(event.Ask.Ask, nil, c.stamped(event.Ask.Reply))
	case event.Own != nil:
		c.onOwn(event.Own)
	case (event.Wrote != nil || event.Bad != nil) && event.By != c.disk:
		// A write of the identity that this daemon has given up.
	case event.Wrote != nil:
		c.meter.add("disk_writes", 1)
		c.meter.add("disk_jobs", len(event.Wrote))
		for _, job := range event.Wrote {
			c.writesInFlight--
			if c.node != nil {
				if job.Ready.MustSync() {
					c.node.WriteSynced(job.Ready.WriteToken)
				}
				c.sendMessages(ctx, job.Ready.MessagesAfterSync)
				if job.LocalSnapshot != nil {
					c.node.Compact(job.LocalSnapshot.Index - min(job.LocalSnapshot.Index, tune.PointKeep))
				}
			}
		}
	case event.Bad != nil:
		_ = c.log.Log("level", "error", "event", "disk.refused", "why", event.Bad)
	case event.Peer != nil:
		delete(c.dialing, event.Peer.addr)
		if event.Peer.stream != nil {
			c.connections[event.Peer.addr] = event.Peer.stream
			if c.node != nil {
				c.resume(ctx)
			}
		} else {
			c.dialing[event.Peer.addr] = time.Now().Add(100 * time.Millisecond)
		}
	case event.LeaderAnswer != nil:
		c.onLeaderAnswer(event.LeaderAnswer)
	case event.Disk != nil:
		c.onDisk(ctx, event.Disk)
	case event.Found != nil && c.Opened():
		c.onProposal(*event.Found)
	case event.Leave != nil:
		c.onLeave(ctx, event.Leave)
	case event.MayGo:
		c.finishLeaving()
	}
}

// endTurn does what is due after the events of a turn of the loop; it returns
// when to come back.
func (c *Core) endTurn(ctx context.Context, now time.Time) time.Duration {
	if c.node == nil {
		return 0
	}
	c.meter.add("loops", 1)
	if l := c.meter.line(now); l != nil {
		_ = c.log.Log(l...)
	}
	defer c.meter.span("rest")()
	wake := c.node.Tick(now)
	c.watchDisk(now)
	// Before anything is applied: a snapshot that came in replaces the state
	// which the entries above it don't follow.
	c.drain(ctx)
	for _, d := range []time.Duration{c.leaderTick(now), c.sendBatches(ctx, now), c.propose(now)} {
		if d > 0 && d < wake {
			wake = d
		}
	}
	c.drain(ctx)
	if c.audit.divergedAt > 0 {
		c.retire(ctx, now)
		return 0
	}
	c.sendOrders()
	c.settleCancelWaiters()
	if d := c.settleStatusWaiters(now); d > 0 && d < wake {
		wake = d
	}
	if d := c.settleLeave(ctx, now); d > 0 {
		wake = min(wake, d)
	}
	return wake
}
