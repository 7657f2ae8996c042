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

// point is a snapshot of the state at the last entry that it has applied. It
// goes by the state's own index: what the node has handed out may be ahead.
func (c *Core) point() *raft.Point {
	i := c.st.Applied
	t, ok := c.node.TermAt(i)
	if !ok {
		panic("core: a snapshot at an entry that the log does not know")
	}
	return &raft.Point{Index: i, Term: t, Conf: c.node.ConfAt(i), Old: c.node.OldConfAt(i), Data: c.st.Save()}
}

// checkpoint has a snapshot written once the log has grown by so much.
func (c *Core) checkpoint() {
	if c.st.Applied-c.lastPt < tune.PointEvery {
		return
	}
	p := c.point()
	c.lastPt = p.Index
	c.inDisk++
	c.jobs <- disk.Job{Point: p}
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
		if !c.apply() && o.Empty() {
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
	c.lastPt = p.Index
	c.dirty = true
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
