package core

import (
	"context"

	"tealpond/internal/disk"
	"tealpond/internal/link"
	"tealpond/internal/member"
	"tealpond/internal/raft"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// cut is a snapshot that was encoded beside the loop.
type cut struct {
	of    *raft.Node // whose entries it covers
	point *raft.Point
	sum   uint64
}

// freeze begins a snapshot at the last entry applied.
func (c *Core) freeze() (*raft.Point, *store.Frozen) {
	i := c.st.Applied
	t, ok := c.node.TermAt(i)
	if !ok {
		panic("core: a snapshot at an entry that the log does not know")
	}
	return &raft.Point{Index: i, Term: t, Conf: c.node.ConfAt(i), Old: c.node.OldConfAt(i)}, c.st.Freeze()
}

// point is a snapshot for a member that lags: the newest one, since the log
// holds what follows it. Until there is one it is made on the spot.
func (c *Core) point() *raft.Point {
	if c.newest == nil {
		p, f := c.freeze()
		p.Data = f.Save()
		c.newest = p
	}
	return c.newest
}

// cutAt begins a snapshot at indexes that are the same on all replicas, so that
// their sums can be compared. Only the copy is made on the loop: to encode the
// state of a large cluster takes longer than followers wait for a heartbeat.
func (c *Core) cutAt(ctx context.Context, index uint64) {
	if index%tune.PointEvery != 0 || c.cutting {
		return
	}
	c.cutting = true
	p, f := c.freeze()
	of := c.node
	go func() {
		p.Data = f.Save()
		select {
		case c.in <- Event{Cut: &cut{of, p, store.SumOf(p.Data)}}:
		case <-ctx.Done():
		}
	}()
}

// onCut has a snapshot written, unless a newer one came in meanwhile. The one
// before stays valid until it is synced: the disk replaces it in one step.
func (c *Core) onCut(ctx context.Context, x *cut) {
	if x.of != c.node {
		return
	}
	c.cutting = false
	if x.point.Index <= c.lastPt {
		return
	}
	c.noteSum(ctx, x.point.Index, x.sum)
	c.lastPt, c.newest = x.point.Index, x.point
	c.inDisk++
	c.jobs <- disk.Job{Point: x.point}
}

// drain carries out what the node has ready until nothing is left. A received
// snapshot is installed before any entry is applied.
func (c *Core) drain(ctx context.Context) {
	for {
		o := c.node.Take()
		if !o.Empty() {
			c.post(ctx, o.Now)
			if o.Point != nil {
				c.install(o.Point)
			}
			if o.Writes() || len(o.After) > 0 && c.inDisk > 0 {
				c.inDisk++
				c.jobs <- disk.Job{Out: o}
			} else {
				c.post(ctx, o.After)
			}
		}
		if !c.apply(ctx) && o.Empty() {
			return
		}
	}
}

// install replaces the state by a received snapshot, and with it all that was
// derived from the state before.
func (c *Core) install(p *raft.Point) {
	st, err := store.Load(p.Data, store.Limits{})
	if err == nil {
		err = st.StartAt(p.Index)
	}
	if err != nil {
		panic("core: unreadable snapshot: " + err.Error())
	}
	c.st = st
	c.lastPt, c.newest = p.Index, p
	c.dirty = true
	c.audit.own = map[uint64]uint64{} // they were of the state before
	// Nobody will apply the entries that these wait for: they are part of
	// the snapshot, if anywhere.
	for i := range c.waits {
		if i <= p.Index {
			c.unclear(i)
		}
	}
	c.orders = map[*link.Stream][]member.Order{}
	c.resync()
}
