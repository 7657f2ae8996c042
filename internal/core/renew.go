package core

import (
	"context"
	"time"

	"tealpond/internal/aggregator"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/storage"
	"tealpond/internal/store"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// newIdentity is an empty disk with a new identity.
type newIdentity struct {
	disk *storage.Store
	held storage.Recovered
}

// startDisk starts the disk's writer, which reports each write to the loop.
func (c *Core) startDisk(ctx context.Context) {
	ctx, c.stopDisk = context.WithCancel(ctx)
	opened := c.disk
	go opened.Run(ctx, c.diskJobs, func(jobs []storage.WriteRequest, err error) {
		select {
		case c.events <- Event{Wrote: jobs, Bad: err, By: opened}:
		case <-ctx.Done():
		}
	})
}

// retire ends the use of a state that differs from that of the majority: from
// here on this daemon neither votes, answers nor tells orders. It puts the disk
// aside and comes back as a new member, which takes the state from the leader;
// if that differs again, the fault is in this machine, and it stays out.
func (c *Core) retire(ctx context.Context, now time.Time) {
	c.leading = false
	for i := range c.waiters {
		c.unclear(i)
	}
	waiter{replies: c.replies}.unclear()
	c.commands, c.replies = nil, nil
	c.settleStatusWaiters(now)
	c.settleCancelWaiters()
	c.aggregator.FailAll(rpc.Response{Code: rpc.CodeNotLeader})
	for _, session := range c.sessions {
		// Closed, so that side daemons look for another at once.
		session.stream.Close()
	}
	c.sessions, c.leases, c.orders = map[string]*sideSession{}, map[string]*workerLease{}, map[*transport.Stream][]rpc.Assignment{}
	c.stopDisk()
	c.opened.Store(false)
	c.node, c.state, c.held, c.self.ID = nil, store.New(store.Limits{}), storage.Recovered{}, ""
	c.audit, c.outgoing, c.incoming = newAudit(), map[string]*outgoing{}, map[string]*incoming{}
	c.renewals++
	if c.renewals > 1 {
		_ = c.log.Log("level", "error", "event", "replica.out", "why", "its state differed again after it was taken anew")
		return
	}
	dir := c.settings.DataDir
	go func() {
		for {
			opened, held, err := storage.ResetIdentity(dir)
			if err == nil {
				select {
				case c.events <- Event{NewIdentity: &newIdentity{opened, held}, By: nil}:
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

// onNewIdentity starts over with an empty state and a new identity, as a
// candidate.
func (c *Core) onNewIdentity(ctx context.Context, identity *newIdentity) {
	c.disk, c.held, c.self.ID = identity.disk, identity.held, identity.held.ID
	c.diskJobs, c.writesInFlight = make(chan storage.WriteRequest, tune.DiskInbox), 0
	c.aggregator = aggregator.New(c.self.ID)
	c.lastSnapshot, c.newestSnapshot, c.encodingSnapshot, c.planDue = 0, nil, false, false
	_ = c.log.Log("level", "info", "event", "replica.anew", "disk", c.self.ID)
	c.opened.Store(true)
	c.startDisk(ctx)
	c.startNode(raft.Snapshot{})
}
