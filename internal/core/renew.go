package core

import (
	"context"
	"time"

	"tealpond/internal/agg"
	"tealpond/internal/disk"
	"tealpond/internal/link"
	"tealpond/internal/member"
	"tealpond/internal/raft"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// renewed is an empty disk with a new identity.
type renewed struct {
	disk *disk.Disk
	held disk.Held
}

// startDisk has the disk write what the loop gives it.
func (c *Core) startDisk(ctx context.Context) {
	ctx, c.stopDisk = context.WithCancel(ctx)
	d := c.dsk
	go d.Run(ctx, c.jobs, func(js []disk.Job, err error) {
		select {
		case c.in <- Event{Wrote: js, Bad: err, By: d}:
		case <-ctx.Done():
		}
	})
}

// retire ends the use of a state that differs from that of the majority: from
// here on this daemon neither votes, answers nor tells orders. It puts the disk
// aside and comes back as a new member, which takes the state from the leader;
// if that differs again, the fault is in this machine, and it stays out.
func (c *Core) retire(ctx context.Context, now time.Time) {
	c.led = false
	for i := range c.waits {
		c.unclear(i)
	}
	waiter{reply: c.replies}.unclear()
	c.batch, c.replies = nil, nil
	c.settleLingers(now)
	c.settleOffs()
	c.agg.Drop(member.Answer{Code: member.NotLead})
	for _, k := range c.kids {
		// Closed, so that side daemons look for another at once.
		k.stream.Close()
	}
	c.kids, c.att, c.orders = map[string]*kid{}, map[string]*attached{}, map[*link.Stream][]member.Order{}
	c.stopDisk()
	c.opened.Store(false)
	c.node, c.st, c.held, c.me.Disk = nil, store.New(store.Limits{}), disk.Held{}, ""
	c.audit, c.outgoing, c.incoming = newAudit(), map[string]*outgoing{}, map[string]*incoming{}
	c.renewals++
	if c.renewals > 1 {
		_ = c.log.Log("level", "error", "event", "replica.out", "why", "its state differed again after it was taken anew")
		return
	}
	dir := c.set.DataDir
	go func() {
		for {
			d, h, err := disk.Renew(dir)
			if err == nil {
				select {
				case c.in <- Event{Renewed: &renewed{d, h}, By: nil}:
				case <-ctx.Done():
				}
				return
			}
			_ = c.log.Log("level", "error", "event", "replica.renew", "why", err)
			select {
			case <-time.After(tune.RenewPause):
			case <-ctx.Done():
				return
			}
		}
	}()
}

// onRenewed begins anew with an empty state and a new identity, as a candidate.
func (c *Core) onRenewed(ctx context.Context, r *renewed) {
	c.dsk, c.held, c.me.Disk = r.disk, r.held, r.held.ID
	c.jobs, c.inDisk = make(chan disk.Job, tune.DiskInbox), 0
	c.agg = agg.New(c.me.Disk)
	c.lastPt, c.newest, c.cutting, c.dirty = 0, nil, false, false
	_ = c.log.Log("level", "info", "event", "replica.anew", "disk", c.me.Disk)
	c.opened.Store(true)
	c.startDisk(ctx)
	c.startNode(raft.Point{})
}
