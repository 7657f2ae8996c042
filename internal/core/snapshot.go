package core

import (
	"context"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/storage"
	"tealpond/internal/store"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// encodedSnapshot is a snapshot that was encoded outside the loop.
type encodedSnapshot struct {
	node   *raft.Node // whose entries it covers
	point  *raft.Snapshot
	digest uint64
}

// freeze begins a snapshot at the last entry applied.
func (c *Core) freeze() (*raft.Snapshot, *store.Frozen) {
	index := c.state.Applied
	term, ok := c.node.TermAt(index)
	if !ok {
		panic("core: a snapshot at an entry that the log does not know")
	}
	return &raft.Snapshot{Index: index, Term: term, Voters: c.node.VotersAt(index), OutgoingVoters: c.node.OutgoingVotersAt(index)}, c.state.Freeze()
}

// snapshotForMember is a snapshot for a member that lags: the newest one, since
// the log holds what follows it. If there is none yet it is taken at once.
func (c *Core) snapshotForMember() *raft.Snapshot {
	if c.newestSnapshot == nil {
		point, frozen := c.freeze()
		point.Data = frozen.Save()
		c.newestSnapshot = point
	}
	return c.newestSnapshot
}

// snapshotAt begins a snapshot at indexes that are the same on all replicas, so
// that their digests can be compared. Only the copy is made on the loop: to encode the
// state of a large cluster takes longer than followers wait for a heartbeat.
func (c *Core) snapshotAt(ctx context.Context, index uint64) {
	if index%tune.PointEvery != 0 || c.encodingSnapshot {
		return
	}
	c.encodingSnapshot = true
	point, frozen := c.freeze()
	node := c.node
	go func() {
		point.Data = frozen.Save()
		select {
		case c.events <- Event{Snapshot: &encodedSnapshot{node, point, store.SumOf(point.Data)}}:
		case <-ctx.Done():
		}
	}()
}

// onSnapshotEncoded has a snapshot written, unless a newer one was received. The one
// before stays valid until it is synced: the disk replaces it in one step.
func (c *Core) onSnapshotEncoded(ctx context.Context, encoded *encodedSnapshot) {
	if encoded.node != c.node {
		return
	}
	c.encodingSnapshot = false
	if encoded.point.Index <= c.lastSnapshot {
		return
	}
	c.recordDigest(ctx, encoded.point.Index, encoded.digest)
	c.lastSnapshot, c.newestSnapshot = encoded.point.Index, encoded.point
	c.writesInFlight++
	c.diskJobs <- storage.WriteRequest{LocalSnapshot: encoded.point}
}

// drain carries out what the node has ready until nothing is left. A received
// snapshot is installed before any entry is applied.
func (c *Core) drain(ctx context.Context) {
	for {
		output := c.node.Ready()
		if !output.IsEmpty() {
			c.sendMessages(ctx, output.Messages)
			if output.Snapshot != nil {
				c.install(output.Snapshot)
			}
			if output.MustSync() || len(output.MessagesAfterSync) > 0 && c.writesInFlight > 0 {
				c.writesInFlight++
				c.diskJobs <- storage.WriteRequest{Ready: output}
			} else {
				c.sendMessages(ctx, output.MessagesAfterSync)
			}
		}
		if !c.apply(ctx) && output.IsEmpty() {
			return
		}
	}
}

// install replaces the state by a received snapshot, and with it all that was
// derived from the state before.
func (c *Core) install(point *raft.Snapshot) {
	state, err := store.Load(point.Data, store.Limits{})
	if err == nil {
		err = state.StartAt(point.Index)
	}
	if err != nil {
		panic("core: unreadable snapshot: " + err.Error())
	}
	c.state = state
	c.lastSnapshot, c.newestSnapshot = point.Index, point
	c.planDue = true
	c.audit.own = map[uint64]uint64{} // they were of the state before
	// Nobody will apply the entries that these wait for: they are part of
	// the snapshot, if anywhere.
	for i := range c.waiters {
		if i <= point.Index {
			c.unclear(i)
		}
	}
	c.orders = map[*transport.Stream][]rpc.Assignment{}
	c.resyncSessions()
}
