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
	"tealpond/internal/tuning"
)

// newIdentity is an empty disk with a new identity.
type newIdentity struct {
	disk      *storage.Store
	persisted storage.Recovered
}

// startWriter starts the disk's writer, which reports each write to the loop.
func (r *Replica) startWriter(ctx context.Context) {
	ctx, r.stopWriter = context.WithCancel(ctx)
	opened := r.disk
	go opened.Run(ctx, r.writeQueue, func(writes []storage.WriteRequest, err error) {
		select {
		case r.events <- Event{Written: writes, WriteErr: err, WrittenBy: opened}:
		case <-ctx.Done():
		}
	})
}

// discardDivergedState ends the use of a state that differs from that of the majority: from
// here on this daemon neither votes, answers nor tells orders. It puts the disk
// aside and comes back as a new member, which takes the state from the leader;
// if that differs again, the fault is in this machine, and it stays out.
func (r *Replica) discardDivergedState(ctx context.Context, now time.Time) {
	r.leading = false
	for i := range r.pending {
		r.abandonEntry(i)
	}
	pendingEntry{replies: r.replies}.replyUnknown()
	r.commands, r.replies = nil, nil
	r.replyToStatusWaiters(now)
	r.replyToCancelWaiters()
	r.aggregator.FailAll(rpc.Response{Code: rpc.CodeNotLeader})
	for _, session := range r.sessions {
		// Closed, so that side daemons look for another at once.
		session.stream.Close()
	}
	r.sessions, r.leases, r.pendingAssignments = map[string]*agentSession{}, map[string]*workerLease{}, map[*transport.Stream][]rpc.Assignment{}
	r.stopWriter()
	r.storageOpened.Store(false)
	r.node, r.state, r.persisted, r.self.ID = nil, state.New(state.Limits{}), storage.Recovered{}, ""
	r.digests, r.outgoingSnapshots, r.incomingSnapshots = newDigestTracker(), map[string]*snapshotSender{}, map[string]*snapshotReceiver{}
	r.identityResets++
	if r.identityResets > 1 {
		_ = r.log.Log("level", "error", "event", "replica.out", "why", "its state differed again after it was taken anew")
		return
	}
	dir := r.settings.DataDir
	go func() {
		for {
			opened, persisted, err := storage.ResetIdentity(dir)
			if err == nil {
				select {
				case r.events <- Event{NewIdentity: &newIdentity{opened, persisted}, WrittenBy: nil}:
				case <-ctx.Done():
				}
				return
			}
			_ = r.log.Log("level", "error", "event", "replica.renew", "why", err)
			select {
			case <-time.After(tuning.IdentityRenewRetryInterval):
			case <-ctx.Done():
				return
			}
		}
	}()
}

// adoptNewIdentity starts over with an empty state and a new identity, as a
// candidate.
func (r *Replica) adoptNewIdentity(ctx context.Context, identity *newIdentity) {
	r.disk, r.persisted, r.self.ID = identity.disk, identity.persisted, identity.persisted.ID
	r.writeQueue, r.writesInFlight = make(chan storage.WriteRequest, tuning.StorageQueueLength), 0
	r.aggregator = aggregator.New(r.self.ID)
	r.lastSnapshotIndex, r.latestSnapshot, r.encodingSnapshot, r.planDue = 0, nil, false, false
	_ = r.log.Log("level", "info", "event", "replica.anew", "disk", r.self.ID)
	r.storageOpened.Store(true)
	r.startWriter(ctx)
	r.startNode(raft.Snapshot{})
}
