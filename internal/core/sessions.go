package core

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/store"
	"tealpond/internal/transport"
)

// sideSession is a side daemon connected to this replica, leader or not: its
// orders are read from this replica's applied state and go down this stream.
type sideSession struct {
	stream *transport.Stream
	fence  int64
	// known is the log index of the newest state that the side daemon was told
	// of. Orders are held back until this replica has applied it: an older state
	// may name a run that is over, and which runs elsewhere by now.
	known  uint64
	synced bool
}

// openSession notes the stream by which a side daemon renews its lease.
func (c *Core) openSession(request rpc.LeaseRenewal, stream *transport.Stream) {
	if stream == nil {
		return
	}
	session := c.sessions[request.Worker]
	if session == nil || session.stream != stream || session.fence != request.Fence {
		session = &sideSession{stream: stream, fence: request.Fence, known: request.KnownIndex}
		c.sessions[request.Worker] = session
		c.sessionsUnsynced = true
	}
	// A side daemon that is synced again may have learnt of a newer state.
	session.known = max(session.known, request.KnownIndex)
}

// syncSessions tells side daemons that connected anew all that is booked on
// their workers: orders of their previous connection may be lost.
func (c *Core) syncSessions() {
	if !c.sessionsUnsynced {
		return
	}
	c.sessionsUnsynced = false
	for w, session := range c.sessions {
		if session.synced {
			continue
		}
		x := c.state.Workers[w]
		if x == nil || x.Dead || x.Fence != session.fence || c.state.Applied < session.known {
			c.sessionsUnsynced = true
			continue
		}
		session.synced = true
		for _, alloc := range c.state.On(w) {
			c.order(alloc)
		}
	}
}

// resyncSessions has all sessions synced again, after this replica's state was
// replaced as a whole.
func (c *Core) resyncSessions() {
	for _, session := range c.sessions {
		session.synced = false
		c.sessionsUnsynced = true
	}
}

// dropSessions forgets the side daemons of a stream that ended.
func (c *Core) dropSessions(stream *transport.Stream) {
	for w, session := range c.sessions {
		if session.stream == stream {
			delete(c.sessions, w)
		}
	}
}

// order queues a start or a stop for the side daemon of its worker, if that is
// connected to this replica.
func (c *Core) order(alloc *store.Alloc) {
	session := c.sessions[alloc.Worker]
	worker := c.state.Workers[alloc.Worker]
	if session == nil || !session.synced || worker == nil || worker.Fence != session.fence {
		return
	}
	if at := c.leases[alloc.Worker]; c.leading && (at == nil || at.expiring) {
		return
	}
	order := rpc.Assignment{Worker: alloc.Worker, Fence: worker.Fence, Stop: alloc.Stopping, Task: alloc.Task(), Run: alloc.Run}
	if !alloc.Stopping {
		job := c.state.Jobs[alloc.Job]
		if job == nil {
			return
		}
		order.JobSpec, order.Checkpoint = job.Spec, alloc.Saved
		step := job.Steps[alloc.Step]
		order.EstimateMs, order.LongRunning = step.EstimateMs, step.LongRunning
		if worker.FarFrom(step.PreferredRack) {
			order.EstimateMs = int64(float64(order.EstimateMs) * c.state.Far())
		}
	}
	what := "start ordered"
	if order.Stop {
		what = "stop ordered"
	}
	c.trace.Record(order.Task, what, int64(order.Run), worker.Node)
	c.orders[session.stream] = append(c.orders[session.stream], order)
}

// sendOrders sends the orders of this turn, one frame for each stream.
func (c *Core) sendOrders() {
	for _, id := range c.state.Fresh() {
		if alloc := c.state.Allocs[id]; alloc != nil {
			c.order(alloc)
		}
	}
	c.syncSessions()
	for stream, orders := range c.orders {
		c.meter.add("orders", len(orders))
		c.meter.add("order_frames", 1)
		stream.Send(transport.Frame{Kind: rpc.FrameAssignments, Body: transport.Encode(orders)})
		delete(c.orders, stream)
	}
}

// home gives the addresses of the aggregator of a worker's zone and of its
// standby; the first is empty if it is this daemon.
func (c *Core) home(id string) (string, string) {
	worker := c.state.Workers[id]
	if worker == nil {
		return "", ""
	}
	duty := c.state.Duties[worker.Zone]
	if duty.Disk == c.self.ID {
		return "", duty.NextAddr
	}
	return duty.Addr, duty.NextAddr
}

// leadGone is for how long no leader has been known here.
func (c *Core) leadGone(now time.Time) time.Duration {
	if c.node.Leader() != "" || c.leadSeen.IsZero() {
		c.leadSeen = now
	}
	return now.Sub(c.leadSeen)
}
