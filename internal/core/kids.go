package core

import (
	"time"

	"tealpond/internal/link"
	"tealpond/internal/member"
	"tealpond/internal/store"
)

// kid is a side daemon that turns to this core daemon, led or not: its orders
// go down this stream, read from this daemon's own applied state.
type kid struct {
	stream *link.Stream
	fence  int64
	// known is the state that the side daemon was told of. Why kept back until
	// this one is as far: an older state may name a run that is over, and
	// which runs elsewhere by now.
	known  uint64
	synced bool
}

// attach takes note of the stream by which a side daemon asks.
func (c *Core) attach(n member.Renew, s *link.Stream) {
	if s == nil {
		return
	}
	k := c.kids[n.Worker]
	if k == nil || k.stream != s || k.fence != n.Fence {
		k = &kid{stream: s, fence: n.Fence, known: n.Known}
		c.kids[n.Worker] = k
		c.unsynced = true
	}
	// Why raised: when all is told anew, it has learnt more meanwhile.
	k.known = max(k.known, n.Known)
}

// syncKids tells those that came anew all that is booked on their workers:
// what another told them may be lost.
func (c *Core) syncKids() {
	if !c.unsynced {
		return
	}
	c.unsynced = false
	for w, k := range c.kids {
		if k.synced {
			continue
		}
		x := c.st.Workers[w]
		if x == nil || x.Dead || x.Fence != k.fence || c.st.Applied < k.known {
			c.unsynced = true
			continue
		}
		k.synced = true
		for _, a := range c.st.On(w) {
			c.order(a)
		}
	}
}

// resync makes all be told anew, after this daemon's state was replaced whole.
func (c *Core) resync() {
	for _, k := range c.kids {
		k.synced = false
		c.unsynced = true
	}
}

// dropKids forgets the side daemons of a stream that ended.
func (c *Core) dropKids(s *link.Stream) {
	for w, k := range c.kids {
		if k.stream == s {
			delete(c.kids, w)
		}
	}
}

// order has a start or a stop told to the side daemon of its worker, if it
// turns to this daemon.
func (c *Core) order(a *store.Alloc) {
	k := c.kids[a.Worker]
	w := c.st.Workers[a.Worker]
	if k == nil || !k.synced || w == nil || w.Fence != k.fence {
		return
	}
	if at := c.att[a.Worker]; c.led && (at == nil || at.lapsing) {
		return
	}
	o := member.Order{Worker: a.Worker, Fence: w.Fence, Stop: a.Stopping, Task: a.Task(), Run: a.Run}
	if !a.Stopping {
		j := c.st.Jobs[a.Job]
		if j == nil {
			return
		}
		o.Spec, o.Saved = j.Spec, a.Saved
		st := j.Steps[a.Step]
		o.EstMs, o.Lasts = st.EstimateMs, st.LongRunning
		if w.FarFrom(st.NearTo) {
			o.EstMs = int64(float64(o.EstMs) * c.st.Far())
		}
	}
	what := "start ordered"
	if o.Stop {
		what = "stop ordered"
	}
	c.trace.Add(o.Task, what, int64(o.Run), w.Node)
	c.orders[k.stream] = append(c.orders[k.stream], o)
}

// giveOrders sends what was ordered in this turn, one frame a side daemon.
func (c *Core) giveOrders() {
	for _, id := range c.st.Fresh() {
		if a := c.st.Allocs[id]; a != nil {
			c.order(a)
		}
	}
	c.syncKids()
	for s, os := range c.orders {
		c.meter.add("orders", len(os))
		c.meter.add("order_frames", 1)
		s.Send(link.Frame{Kind: member.FrameOrder, Body: link.Pack(os)})
		delete(c.orders, s)
	}
}

// home is who sums up for a worker's zone, and its standby; nothing if that is
// this daemon.
func (c *Core) home(worker string) (string, string) {
	w := c.st.Workers[worker]
	if w == nil {
		return "", ""
	}
	d := c.st.Duties[w.Zone]
	if d.Disk == c.me.Disk {
		return "", d.NextAddr
	}
	return d.Addr, d.NextAddr
}

// leadGone is how long no leader is known here.
func (c *Core) leadGone(now time.Time) time.Duration {
	if c.node.Lead() != "" || c.leadSeen.IsZero() {
		c.leadSeen = now
	}
	return now.Sub(c.leadSeen)
}
