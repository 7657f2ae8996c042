package server

import (
	"context"
	"time"

	"tealpond/internal/aggregator"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/storage"
	"tealpond/internal/transport"
)

// identityResetRetryInterval is the delay between two attempts to create the storage under a new
// identity.
const identityResetRetryInterval = time.Second

// newIdentity is an empty storage with a new identity.
type newIdentity struct {
	storage   *storage.Store
	persisted storage.Recovered
}

// startWriter starts the storage writer, which reports each write to the event loop.
func (r *Replica) startWriter(ctx context.Context) {
	ctx, r.stopWriter = context.WithCancel(ctx)
	opened := r.storage
	if r.afterSync != nil {
		opened.AfterSync(r.afterSync)
	}
	go opened.Run(ctx, r.writeQueue, func(writes []storage.WriteRequest, err error) {
		r.post(ctx, loopEvent{written: writes, writeErr: err, writtenBy: opened})
	})
}

// discardDivergedState discards a state that differs from that of the majority. From here on this
// server neither votes, answers requests nor sends assignments. It sets its storage aside and
// rejoins as a new member, which fetches the state from the leader. If that state diverges too,
// this machine is at fault, and the server does not rejoin.
func (r *Replica) discardDivergedState(ctx context.Context, now time.Time) {
	r.leading = false
	r.abandonAllEntries()
	pendingEntry{replies: r.replies}.replyUnknown()
	r.commands, r.replies = nil, nil
	r.replyToStatusWaiters(now)
	r.replyToCancelWaiters()
	r.aggregator.FailUnsent(responseNotLeader)
	r.closeSessions()
	r.leases, r.pendingAssignments = map[string]*workerLease{}, map[*transport.Stream][]rpc.Assignment{}
	r.stopWriter()
	r.storageOpened.Store(false)
	r.node, r.state, r.persisted, r.self.ID = nil, state.New(state.Limits{}), storage.Recovered{}, ""
	r.digests = newDigestTracker()
	r.outgoingSnapshots, r.incomingSnapshots = map[string]*snapshotSender{}, map[string]*snapshotReceiver{}
	r.identityResets++
	if r.identityResets > 1 {
		_ = r.log.Log("level", "error", "event", "replica.stayed_out",
			"reason", "the state diverged again after it was fetched from the leader")
		return
	}
	go r.resetIdentity(ctx, r.settings.DataDir)
}

// resetIdentity sets the storage aside and creates an empty one. It runs outside the event loop,
// retries until it succeeds, and posts the new storage to the loop.
func (r *Replica) resetIdentity(ctx context.Context, dataDir string) {
	for {
		opened, persisted, err := storage.ResetIdentity(dataDir)
		if err == nil {
			r.post(ctx, loopEvent{newIdentity: &newIdentity{opened, persisted}})
			return
		}
		_ = r.log.Log("level", "error", "event", "replica.reset_failed", "error", err)
		select {
		case <-time.After(identityResetRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// adoptNewIdentity restarts this replica as a candidate with an empty state and a new identity.
func (r *Replica) adoptNewIdentity(ctx context.Context, identity *newIdentity) {
	r.storage, r.persisted, r.self.ID = identity.storage, identity.persisted, identity.persisted.ID
	r.writeQueue, r.writesInFlight = make(chan storage.WriteRequest, storage.QueueLength), 0
	r.aggregator = aggregator.New(r.self.ID)
	r.lastSnapshotIndex, r.latestSnapshot, r.encodingSnapshot, r.planning.due = 0, nil, false, false
	_ = r.log.Log("level", "info", "event", "replica.rejoined", "disk", r.self.ID)
	r.storageOpened.Store(true)
	r.startWriter(ctx)
	r.startNode(raft.Snapshot{})
}
