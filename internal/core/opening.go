package core

import (
	"context"
	"time"

	"tealpond/internal/agg"
	"tealpond/internal/disk"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// diskUp is the opened disk and the state that its snapshot holds.
type diskUp struct {
	disk  *disk.Disk
	held  disk.Held
	state *store.Store
	aside string // why an earlier file was put aside
}

// Opened tells whether the disk has been opened. Until then this daemon has no
// identity: it neither votes nor acknowledges, forwards what it can and is not
// ready.
func (c *Core) Opened() bool { return c.opened.Load() }

// openDisk opens the disk beside the loop, for as long as it takes, and hands
// it to the loop.
func (c *Core) openDisk(ctx context.Context) {
	dir := c.set.DataDir
	waits := func(err error) {
		_ = c.log.Log("level", "error", "event", "disk.waits", "dir", dir, "why", err)
	}
	d, h, aside, err := disk.Await(ctx, dir, waits)
	if err != nil {
		return
	}
	st, err := store.Load(h.Point.Data, store.Limits{})
	for err != nil {
		// Why it waits: the record on disk is whole, so that it is this program
		// that can't read it. Another identity would give up what was
		// acknowledged for a fault that a newer program may not have.
		waits(err)
		select {
		case <-ctx.Done():
			_ = d.Close()
			return
		case <-time.After(tune.DiskSay):
		}
		st, err = store.Load(h.Point.Data, store.Limits{})
	}
	select {
	case c.in <- Event{Disk: &diskUp{d, h, st, aside}}:
	case <-ctx.Done():
		_ = d.Close()
	}
}

// onDisk takes the identity and what the disk holds, and starts the node.
func (c *Core) onDisk(ctx context.Context, up *diskUp) {
	if up.aside != "" {
		_ = c.log.Log("level", "warn", "event", "disk.foreign", "why", up.aside, "disk", up.held.ID)
	}
	c.dsk, c.held, c.st, c.me.Disk = up.disk, up.held, up.state, up.held.ID
	c.agg = agg.New(c.me.Disk)
	c.lastPt = c.held.Point.Index
	c.opened.Store(true)
	c.startDisk(ctx)
	// Why not started while only bound: the other founders may be bound to
	// nothing yet; a message from one of them, or the seed's word, starts it.
	if c.held.Hard.Term > 0 || len(c.held.Bound) == 0 && (c.held.Point.Index > 0 || !c.set.FirstStart) {
		c.startNode(c.held.Point)
	}
}
