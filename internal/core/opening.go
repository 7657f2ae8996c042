package core

import (
	"context"
	"time"

	"tealpond/internal/aggregator"
	"tealpond/internal/storage"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// diskUp is the opened disk, what it holds, and the state of its snapshot.
type diskUp struct {
	disk     *storage.Store
	held     storage.Recovered
	state    *store.Store
	setAside string // why an earlier file was put aside
}

// Opened tells whether the disk has been opened. Until then this daemon has no
// identity: it neither votes nor acknowledges, forwards what it can and is not
// ready.
func (c *Core) Opened() bool { return c.opened.Load() }

// openDisk opens the disk beside the loop, for as long as it takes, and hands
// it to the loop.
func (c *Core) openDisk(ctx context.Context) {
	dir := c.settings.DataDir
	waits := func(err error) {
		_ = c.log.Log("level", "error", "event", "disk.waits", "dir", dir, "why", err)
	}
	opened, held, aside, err := storage.OpenWithRetry(ctx, dir, waits)
	if err != nil {
		return
	}
	state, err := store.Load(held.Snapshot.Data, store.Limits{})
	for err != nil {
		// The record on disk is whole, so it is this program that can't read it.
		// To take another identity would give up what was acknowledged for a
		// fault that a newer program may not have.
		waits(err)
		select {
		case <-ctx.Done():
			_ = opened.Close()
			return
		case <-time.After(tune.DiskSay):
		}
		state, err = store.Load(held.Snapshot.Data, store.Limits{})
	}
	select {
	case c.events <- Event{Disk: &diskUp{opened, held, state, aside}}:
	case <-ctx.Done():
		_ = opened.Close()
	}
}

// onDisk takes the identity and what the disk holds, and starts the node.
func (c *Core) onDisk(ctx context.Context, up *diskUp) {
	if up.setAside != "" {
		_ = c.log.Log("level", "warn", "event", "disk.foreign", "why", up.setAside, "disk", up.held.ID)
	}
	c.disk, c.held, c.state, c.self.ID = up.disk, up.held, up.state, up.held.ID
	c.aggregator = aggregator.New(c.self.ID)
	c.lastSnapshot = c.held.Snapshot.Index
	c.opened.Store(true)
	c.startDisk(ctx)
	// A node that is only bound is not started: the other founders may be bound
	// to nothing yet. A message from one of them, or the seed's answer, starts it.
	if c.held.HardState.Term > 0 || len(c.held.Founders) == 0 && (c.held.Snapshot.Index > 0 || !c.settings.FirstStart) {
		c.startNode(c.held.Snapshot)
	}
}
