// Package core is a daemon that holds state: the agreement, its disk, the
// store, and, while it leads, clock, placer, grants and orders.
package core

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/agg"
	"tealpond/internal/disk"
	"tealpond/internal/kernel"
	"tealpond/internal/link"
	"tealpond/internal/member"
	"tealpond/internal/move"
	"tealpond/internal/place"
	"tealpond/internal/raft"
	"tealpond/internal/setting"
	"tealpond/internal/store"
	"tealpond/internal/trace"
	"tealpond/internal/tune"
)

// Event is an input of the core's loop.
type Event struct {
	Link  *link.Event
	Ask   *Local
	Own   *Local
	Wrote []disk.Job
	Bad   error
	Peer  *peerUp
	Found *member.Proposal
	Disk  *diskUp
	Leave chan struct{}
	// By is the disk that Wrote and Bad come from.
	By *disk.Disk
	// Cut is a snapshot that is encoded, Renewed the disk of a new identity.
	Cut     *cut
	Renewed *renewed
	// MayGo tells that the others can do without this daemon, which leaves.
	MayGo bool
	// Raised is the leader's answer to what this daemon summed up.
	Raised *raised
}

// Local is an ask of this process.
type Local struct {
	Ask   member.Ask
	Reply func(member.Answer)
}

type peerUp struct {
	addr   string
	stream *link.Stream
}

// attached is a side daemon's hold on a worker, as the leader sees it.
type attached struct {
	granted time.Time
	lapsing bool
	heard   time.Time
	ratio   int64
}

// Core is the plug.
type Core struct {
	set  setting.Setting
	log  log.Logger
	me   raft.Voter
	held disk.Held
	dsk  *disk.Disk
	node *raft.Node
	st   *store.Store

	in    chan Event
	jobs  chan disk.Job
	seek  *member.Seeker
	found member.Founder

	streams map[string]*link.Stream // by address, dialed
	dialing map[string]time.Time
	addrs   map[string]string       // disk to address
	back    map[string]*link.Stream // disk to the stream it came by
	joined  time.Time

	waits    map[uint64]waiter
	batch    []store.Raw
	replies  []func(store.Outcome, bool)
	att      map[string]*attached
	kids     map[string]*kid // side daemons that turn to this one, by worker
	unsynced bool
	orders   map[*link.Stream][]member.Order
	agg      *agg.Agg
	sets     map[string]seats // by the disk of their aggregator
	posts    posts
	leadSeen time.Time
	claims   map[string]claimed
	lingers  map[string][]linger
	led      bool
	ledAt    time.Time
	ledTerm  uint64
	base     int64
	dirty    bool
	booking  bool
	proposed time.Time
	moving   bool // timed jobs are being moved on
	pushed   time.Time
	lastPt   uint64      // the index of the newest snapshot that the disk was given
	newest   *raft.Point // the newest snapshot, for members that lag
	cutting  bool        // a snapshot is being encoded
	audit    audit
	stopDisk context.CancelFunc
	renewals int
	outgoing map[string]*outgoing // snapshots on their way, by disk
	incoming map[string]*incoming
	inDisk   int
	swept    time.Time
	rebuilt  time.Time
	wallOff  int64
	wallSet  bool
	checks   time.Time
	waiting  int64 // work that waits, as of workAt
	workAt   time.Time
	roomAt   time.Time
	leaving  []chan struct{}
	leaveTil time.Time
	handing  bool // the lead is being handed on
	yielding bool // the leader is asked whether this daemon may end
	hold     time.Duration
	tracks   tracker
	moves    *move.Setting
	offs     map[string][]reply
	trace    *trace.Ring
	life     string
	debug    bool
	planner  place.Planner
	meter    *meter
	seeds    atomic.Pointer[[]string]
	opened   atomic.Bool
	diskSaid time.Time // that the disk is behind
}

type claimed struct {
	member.Claim
	at time.Time
}

// limits are what this daemon's settings say; a leader puts them into the log.
func limits(set setting.Setting) store.Limits {
	return store.Limits{KeepJobMs: int64(set.Bounds.StatusS*1000) + tune.KeepJob.Milliseconds(), Replans: tune.Replans,
		Far: set.Bounds.SpreadFactor}
}

// New builds the core; Run opens its disk. Until that is open there is no node,
// and all asks that want one are answered as by a daemon without state.
func New(b kernel.Base, seek *member.Seeker) (*Core, error) {
	c := &Core{trace: b.Trace, life: b.Life, debug: b.Debug, set: b.Setting, log: b.Log, seek: seek,
		me: raft.Voter{Node: b.Setting.NodeName, Addr: b.Setting.Inner()},
		in: make(chan Event, 4096), jobs: make(chan disk.Job, tune.DiskInbox),
		streams: map[string]*link.Stream{}, dialing: map[string]time.Time{}, addrs: map[string]string{}, back: map[string]*link.Stream{},
		waits: map[uint64]waiter{}, att: map[string]*attached{}, claims: map[string]claimed{}, lingers: map[string][]linger{},
		kids: map[string]*kid{}, orders: map[*link.Stream][]member.Order{}, agg: agg.New(""), sets: map[string]seats{}, posts: newPosts(), audit: newAudit(), outgoing: map[string]*outgoing{}, incoming: map[string]*incoming{}, offs: map[string][]reply{},
		hold: b.Setting.HoldFor(tune.Hold), meter: newMeter(b.Debug)}
	c.Seeds(b.Setting.Seeds())
	c.found.Least = 2*b.Setting.Tolerate.LostMachines + 1
	c.st = store.New(store.Limits{})
	return c, nil
}

func (c *Core) startNode(p raft.Point) {
	seed := fnv.New64()
	_, _ = seed.Write([]byte(c.me.Disk))
	if c.st.Applied == 0 {
		// The limits come by the log, also where there is no state yet.
		c.st.Limits = store.Limits{}
	}
	if err := c.st.StartAt(p.Index); err != nil {
		panic("core: " + err.Error())
	}
	c.node = raft.New(c.me.Disk, c.held.Hard, p, c.held.Log, time.Now(), raft.Timing{Beat: tune.Beat, Elect: tune.Elect,
		Spread: tune.ElectSpread, Quorum: tune.QuorumLoss, LeaseShare: tune.LeaseShare, Window: tune.Window, Bytes: tune.AppendBytes},
		int64(seed.Sum64())^time.Now().UnixNano())
	c.node.SetWall(func() int64 { return time.Now().UnixMilli() })
	c.node.SetPoint(c.point)
	c.held.Log = nil
	c.held.Point.Data = nil
	_ = c.log.Log("level", "info", "event", "core.start", "disk", c.me.Disk, "term", c.node.Term(), "last", c.node.LastIndex(), "voters", len(c.node.Voters()))
}

// Seeds replaces the seeds.
func (c *Core) Seeds(a []string) { c.seeds.Store(&a) }

// Give takes events of accepted streams.
func (c *Core) Give(e link.Event) { c.in <- Event{Link: &e} }

// Handle takes an ask of this process.
func (c *Core) Handle(a member.Ask, reply func(member.Answer)) {
	c.in <- Event{Ask: &Local{Ask: a, Reply: reply}}
}

// Run is the core's loop.
func (c *Core) Run(ctx context.Context) error {
	go c.openDisk(ctx)
	go c.announce(ctx)
	kernel.Loop(ctx, c.in, func(e Event) { c.take(ctx, e) }, func(now time.Time) time.Duration { return c.rest(ctx, now) })
	return nil
}

func (c *Core) take(ctx context.Context, e Event) {
	defer c.meter.span("take")()
	switch {
	case e.Link != nil:
		c.onLink(ctx, e.Link)
	case e.Cut != nil:
		c.onCut(ctx, e.Cut)
	case e.Renewed != nil:
		c.onRenewed(ctx, e.Renewed)
	case e.Ask != nil:
		c.onAsk(e.Ask.Ask, nil, c.stamped(e.Ask.Reply))
	case e.Own != nil:
		c.onOwn(e.Own)
	case (e.Wrote != nil || e.Bad != nil) && e.By != c.dsk:
		// A write of the identity that this daemon has given up.
	case e.Wrote != nil:
		c.meter.add("disk_writes", 1)
		c.meter.add("disk_jobs", len(e.Wrote))
		for _, j := range e.Wrote {
			c.inDisk--
			if c.node != nil {
				if j.Out.Writes() {
					c.node.Synced(j.Out.Mark)
				}
				c.post(ctx, j.Out.After)
				if j.Point != nil {
					c.node.Drop(j.Point.Index - min(j.Point.Index, tune.PointKeep))
				}
			}
		}
	case e.Bad != nil:
		_ = c.log.Log("level", "error", "event", "disk.refused", "why", e.Bad)
	case e.Peer != nil:
		delete(c.dialing, e.Peer.addr)
		if e.Peer.stream != nil {
			c.streams[e.Peer.addr] = e.Peer.stream
			if c.node != nil {
				c.resume(ctx)
			}
		} else {
			c.dialing[e.Peer.addr] = time.Now().Add(100 * time.Millisecond)
		}
	case e.Raised != nil:
		c.onRaised(e.Raised)
	case e.Disk != nil:
		c.onDisk(ctx, e.Disk)
	case e.Found != nil && c.Opened():
		c.onProposal(*e.Found)
	case e.Leave != nil:
		c.onLeave(ctx, e.Leave)
	case e.MayGo:
		c.letGo()
	}
}

func (c *Core) rest(ctx context.Context, now time.Time) time.Duration {
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
	for _, d := range []time.Duration{c.duty(now), c.raise(ctx, now), c.propose(now)} {
		if d > 0 && d < wake {
			wake = d
		}
	}
	c.drain(ctx)
	if c.audit.wrong > 0 {
		c.retire(ctx, now)
		return 0
	}
	c.giveOrders()
	c.settleOffs()
	if d := c.settleLingers(now); d > 0 && d < wake {
		wake = d
	}
	if d := c.settleLeave(ctx, now); d > 0 {
		wake = min(wake, d)
	}
	return wake
}
