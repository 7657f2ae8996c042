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
	Leave chan struct{}
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

// waiter is a caller whose command is in the log.
type waiter struct {
	term  uint64
	reply []func(store.Outcome, bool)
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
	base     int64
	dirty    bool
	booking  bool
	proposed time.Time
	moving   bool // timed jobs are being moved on
	pushed   time.Time
	lastPt   uint64
	inDisk   int
	swept    time.Time
	rebuilt  time.Time
	kept     time.Time
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
}

type claimed struct {
	member.Claim
	at time.Time
}

func limits(set setting.Setting) store.Limits {
	return store.Limits{KeepJobMs: int64(set.Bounds.StatusS*1000) + tune.KeepJob.Milliseconds(), Replans: tune.Replans,
		Far: set.Bounds.SpreadFactor}
}

// New opens the disk and builds the core.
func New(b kernel.Base, seek *member.Seeker) (*Core, error) {
	d, h, why, err := disk.Open(b.Setting.DataDir)
	if err != nil {
		return nil, err
	}
	if why != "" {
		_ = b.Log.Log("level", "warn", "event", "disk.foreign", "why", why, "disk", h.ID)
	}
	c := &Core{trace: b.Trace, life: b.Life, debug: b.Debug, set: b.Setting, log: b.Log, held: h, dsk: d, seek: seek,
		me: raft.Voter{Node: b.Setting.NodeName, Disk: h.ID, Addr: b.Setting.Inner()},
		in: make(chan Event, 4096), jobs: make(chan disk.Job, tune.DiskInbox),
		streams: map[string]*link.Stream{}, dialing: map[string]time.Time{}, addrs: map[string]string{}, back: map[string]*link.Stream{},
		waits: map[uint64]waiter{}, att: map[string]*attached{}, claims: map[string]claimed{}, lingers: map[string][]linger{},
		kids: map[string]*kid{}, orders: map[*link.Stream][]member.Order{}, agg: agg.New(h.ID), sets: map[string]seats{}, posts: newPosts(), offs: map[string][]reply{},
		hold: b.Setting.HoldFor(tune.Hold), meter: newMeter(b.Debug)}
	c.Seeds(b.Setting.Seeds())
	c.found.Least = 2*b.Setting.Tolerate.LostMachines + 1
	if c.st, err = store.Load(h.Point.Data, limits(b.Setting)); err != nil {
		return nil, err
	}
	c.lastPt = h.Point.Index
	// Why not started while only bound: the other founders may be bound to
	// nothing yet; a message from one of them, or the seed's word, starts it.
	if h.Hard.Term > 0 || len(h.Bound) == 0 && (h.Point.Index > 0 || !b.Setting.FirstStart) {
		c.startNode(h.Point)
	}
	return c, nil
}

func (c *Core) startNode(p raft.Point) {
	seed := fnv.New64()
	_, _ = seed.Write([]byte(c.me.Disk))
	c.node = raft.New(c.me.Disk, c.held.Hard, p, c.held.Log, time.Now(), raft.Timing{Beat: tune.Beat, Elect: tune.Elect,
		Spread: tune.ElectSpread, Quorum: tune.QuorumLoss, LeaseShare: tune.LeaseShare, Window: tune.Window, Bytes: tune.AppendBytes},
		int64(seed.Sum64())^time.Now().UnixNano())
	c.node.SetWall(func() int64 { return time.Now().UnixMilli() })
	c.node.SetPoint(c.point)
	c.held.Log = nil
	c.held.Point.Data = nil
	_ = c.log.Log("level", "info", "event", "core.start", "disk", c.me.Disk, "term", c.node.Term(), "last", c.node.LastIndex(), "voters", len(c.node.Voters()))
}

func (c *Core) point() *raft.Point {
	i := c.node.Applied()
	t, _ := c.node.TermAt(i)
	return &raft.Point{Index: i, Term: t, Conf: c.node.ConfAt(i), Old: c.node.OldConfAt(i), Data: c.st.Save()}
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
	go c.dsk.Run(ctx, c.jobs, func(js []disk.Job, err error) {
		e := Event{Wrote: js, Bad: err}
		select {
		case c.in <- e:
		case <-ctx.Done():
		}
	})
	go c.announce(ctx)
	kernel.Loop(ctx, c.in, func(e Event) { c.take(ctx, e) }, func(now time.Time) time.Duration { return c.rest(ctx, now) })
	return nil
}

func (c *Core) take(ctx context.Context, e Event) {
	defer c.meter.span("take")()
	switch {
	case e.Link != nil:
		c.onLink(e.Link)
	case e.Ask != nil:
		c.onAsk(e.Ask.Ask, nil, e.Ask.Reply)
	case e.Own != nil:
		c.onOwn(e.Own)
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
		} else {
			c.dialing[e.Peer.addr] = time.Now().Add(100 * time.Millisecond)
		}
	case e.Raised != nil:
		c.onRaised(e.Raised)
	case e.Found != nil:
		c.onProposal(*e.Found)
	case e.Leave != nil:
		c.onLeave(ctx, e.Leave)
	case e.MayGo:
		c.letGo()
	}
}

func (c *Core) onLink(e *link.Event) {
	if e.Gone {
		for a, s := range c.streams {
			if s == e.Stream {
				delete(c.streams, a)
			}
		}
		c.dropKids(e.Stream)
		return
	}
	c.meter.add("bytes_in", len(e.Frame.Body))
	switch e.Frame.Kind {
	case member.FrameRaft:
		c.meter.add("raft_in", 1)
		var m raft.Msg
		if link.Unpack(e.Frame.Body, &m) != nil || m.To != c.me.Disk {
			// Why dropped: addresses are reused, and it is meant for another.
			return
		}
		if c.node == nil {
			if len(c.held.Bound) == 0 {
				return
			}
			c.startNode(c.held.Point)
		}
		if c.addrOf(m.From) == "" {
			c.back[m.From] = e.Stream
		}
		c.node.Step(m, time.Now())
	case member.FrameAsk:
		var a member.Ask
		if link.Unpack(e.Frame.Body, &a) != nil {
			e.Stream.Close()
			return
		}
		s, id := e.Stream, e.Frame.ID
		c.meter.add("ask_"+a.Kind, 1)
		c.onAsk(a, s, func(r member.Answer) {
			r.Desired = max(r.Desired, c.st.Desired.Version)
			if r.At == 0 && c.node != nil {
				r.At = c.node.Applied()
			}
			s.Send(link.Frame{Kind: member.FrameAnswer, ID: id, Body: link.Pack(r)})
		})
	}
}

// post sends messages to other members.
func (c *Core) post(ctx context.Context, ms []raft.Msg) {
	for _, m := range ms {
		addr := c.addrOf(m.To)
		if addr == "" {
			// Why back on its own stream: a candidate knows no addresses yet.
			if b := c.back[m.To]; b != nil {
				b.Send(link.Frame{Kind: member.FrameRaft, Body: link.Pack(m)})
			}
			continue
		}
		s := c.streams[addr]
		if s == nil {
			c.dial(ctx, addr)
			continue
		}
		raw := link.Pack(m)
		c.meter.add("raft_out", 1)
		c.meter.add("raft_bytes_out", len(raw))
		if !s.Send(link.Frame{Kind: member.FrameRaft, Body: raw}) {
			// Why here too: a stream may have ended before it was noted.
			delete(c.streams, addr)
			c.dial(ctx, addr)
		}
	}
}

func (c *Core) addrOf(d string) string {
	for _, v := range c.node.Voters() {
		if v.Disk == d {
			return v.Addr
		}
	}
	return c.addrs[d]
}

func (c *Core) dial(ctx context.Context, addr string) {
	if at, ok := c.dialing[addr]; ok && (at.IsZero() || time.Now().Before(at)) {
		return
	}
	c.dialing[addr] = time.Time{}
	go func() {
		s, err := link.Dial(ctx, addr, c.Give)
		if err != nil {
			s = nil
		}
		c.in <- Event{Peer: &peerUp{addr, s}}
	}()
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
	c.apply()
	if d := c.duty(now); d > 0 && d < wake {
		wake = d
	}
	if d := c.raise(ctx, now); d > 0 && d < wake {
		wake = d
	}
	if d := c.propose(now); d > 0 && d < wake {
		wake = d
	}
	for {
		o := c.node.Take()
		if o.Empty() {
			break
		}
		c.post(ctx, o.Now)
		if o.Point != nil {
			st, err := store.Load(o.Point.Data, limits(c.set))
			if err != nil {
				panic("core: unreadable checkpoint: " + err.Error())
			}
			c.st = st
			c.lastPt = o.Point.Index
			c.resync()
		}
		if o.Writes() || len(o.After) > 0 && c.inDisk > 0 {
			c.inDisk++
			c.jobs <- disk.Job{Out: o}
		} else {
			c.post(ctx, o.After)
		}
		c.apply()
	}
	c.giveOrders()
	c.checkpoint()
	c.settleOffs()
	if d := c.settleLingers(now); d > 0 && d < wake {
		wake = d
	}
	if d := c.settleLeave(ctx, now); d > 0 {
		wake = min(wake, d)
	}
	return wake
}

func (c *Core) checkpoint() {
	if c.node.Applied()-c.lastPt < tune.PointEvery {
		return
	}
	p := c.point()
	c.lastPt = p.Index
	c.inDisk++
	c.jobs <- disk.Job{Point: p}
}

func (c *Core) apply() {
	defer c.meter.span("apply")()
	for _, e := range c.node.Settled() {
		if e.Kind == raft.EntryConf {
			_ = c.log.Log("level", "info", "event", "core.conf", "index", e.Index, "voters", len(c.node.ConfAt(e.Index)))
		}
		if e.Kind != raft.EntryData {
			continue
		}
		out := c.st.Run(e.Data)
		c.dirty = true
		if !c.led {
			// Why dropped: only a leader plans, and a new one looks at all.
			c.st.Booked()
		}
		for _, r := range c.st.Closed() {
			c.trace.Add(r.Alloc.Task(), "end applied", int64(r.Alloc.Run), r.How)
			if c.led && r.How == "done" {
				c.planner.Learn(c.st, r.Alloc, r.At)
			}
			if c.led && c.debug {
				c.logRun(r)
			}
		}
		for _, j := range c.st.Ended() {
			c.trace.Add(j.ID, "over", int64(e.Index), j.Word())
			if c.led && c.debug {
				c.logJob(j)
			}
		}
		if w, ok := c.waits[e.Index]; ok {
			delete(c.waits, e.Index)
			for i, r := range w.reply {
				if r != nil {
					r(out[i], w.term == e.Term)
				}
			}
		}
	}
}

// add puts a command into the next entry.
func (c *Core) add(kind string, cmd store.Cmd, reply func(store.Outcome, bool)) {
	c.batch = append(c.batch, store.Encode(kind, cmd))
	c.replies = append(c.replies, reply)
}

// propose puts what waits into the log as one entry. Why not each command at
// once: an entry costs a message to and from each other voter, so the pause
// between two grows with their number. It returns when to come back.
func (c *Core) propose(now time.Time) time.Duration {
	if len(c.batch) == 0 {
		return 0
	}
	if left := tune.GroupEach*time.Duration(len(c.node.Voters())-1) - now.Sub(c.proposed); left > 0 {
		return left
	}
	c.proposed = now
	b, rs := c.batch, c.replies
	c.meter.add("proposals", 1)
	c.meter.add("commands", len(b))
	c.batch, c.replies = nil, nil
	i, ok := uint64(0), false
	if c.node.Ready() {
		i, ok = c.node.Propose(link.Pack(store.Batch{Clock: c.clock(now), Wall: c.wall(now), Cmds: b}))
	}
	if !ok {
		for _, r := range rs {
			if r != nil {
				r(store.Outcome{}, false)
			}
		}
		return 0
	}
	c.waits[i] = waiter{term: c.node.Term(), reply: rs}
	return 0
}

// clock is the store's clock: it goes on from the newest stamp in the log.
func (c *Core) clock(now time.Time) int64 { return c.base + now.Sub(c.ledAt).Milliseconds() }
