package server

import (
	"context"
	"time"

	"tealpond/internal/daemon"
	"tealpond/internal/rpc"
	"tealpond/internal/storage"
	"tealpond/internal/transport"
)

const (
	// maxApplyDuration is how long a replica applies committed entries before it handles events
	// again: a quarter of timing.HeartbeatInterval.
	maxApplyDuration = 20 * time.Millisecond
	// snapshotTrailingEntries is the number of entries before a snapshot that are kept in the log,
	// so that voters that were briefly unavailable can catch up without a snapshot.
	snapshotTrailingEntries = 1000
)

const (
	// eventQueueLength is the capacity of the event queue. Senders block when it is full.
	eventQueueLength = 4096
	// redialDelay is the delay before a peer is dialed again after a failed attempt.
	redialDelay = 100 * time.Millisecond
)

// loopEvent is an input of the event loop. Exactly one of its fields is set, except that writtenBy
// accompanies written and writeErr.
type loopEvent struct {
	// transport is a frame received on a stream, or the end of the stream.
	transport *transport.Event
	// request is a request from this process; federationRequest is one from its federation
	// offloader.
	request           *localRequest
	federationRequest *localRequest
	// written are writes that were synced. writeErr is the error of writes that are being retried.
	// writtenBy is the storage that reported either.
	written   []storage.WriteRequest
	writeErr  error
	writtenBy *storage.Store
	// peerDialed is the outcome of dialing a peer.
	peerDialed *dialedPeer
	// bootstrapProposal is a seed's response to this bootstrap candidate.
	bootstrapProposal *rpc.BootstrapProposal
	// storageOpened is set once the storage has been opened.
	storageOpened *openedStorage
	// snapshotEncoded is an encoded snapshot, ready to be written.
	snapshotEncoded *encodedSnapshot
	// newIdentity is the empty storage of a replica that rejoins under a new identity.
	newIdentity *newIdentity
	// leaderResponse is the leader's response to a batch of this server's aggregator.
	leaderResponse *leaderResponse
	// leave asks the replica to leave; the channel is closed once the process may exit.
	// leaveGranted reports that the wait for the leader's release is over.
	leave        chan struct{}
	leaveGranted bool
	// talliesOpened is set once the tally file has been opened. talliesWritten reports that the
	// data handed to it is on disk.
	talliesOpened  *openedTallies
	talliesWritten *writtenTallies
}

// localRequest is a request from this process.
type localRequest struct {
	request rpc.Request
	reply   func(rpc.Response)
}

// dialedPeer is the outcome of dialing a peer. The stream is nil if dialing failed.
type dialedPeer struct {
	address string
	stream  *transport.Stream
}

// Run runs the event loop. It returns nil when ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.ended)
	go r.openStorage(ctx)
	if r.settings.HasTallies() {
		go r.openTallies(ctx)
	}
	go r.runAnnouncer(ctx)
	daemon.Loop(ctx, r.events,
		func(event loopEvent) { r.handleEvent(ctx, event) },
		func(now time.Time) time.Duration { return r.finishIteration(ctx, now) })
	return nil
}

// post queues an event from another goroutine. It returns false if ctx ended first.
func (r *Replica) post(ctx context.Context, event loopEvent) bool {
	select {
	case r.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleEvent handles one event.
func (r *Replica) handleEvent(ctx context.Context, event loopEvent) {
	defer r.metrics.startTimer("handle_event")()
	switch {
	case event.transport != nil:
		r.handleTransport(ctx, event.transport)
	case event.snapshotEncoded != nil:
		r.handleSnapshotEncoded(ctx, event.snapshotEncoded)
	case event.newIdentity != nil:
		r.adoptNewIdentity(ctx, event.newIdentity)
	case event.request != nil:
		r.handleRequest(event.request.request, nil, r.withAppliedVersions(event.request.reply))
	case event.federationRequest != nil:
		r.handleFederationRequest(event.federationRequest)
	case (event.written != nil || event.writeErr != nil) && event.writtenBy != r.storage:
		// The write belongs to an identity that this server has discarded.
	case event.written != nil:
		r.handleWritten(ctx, event.written)
	case event.writeErr != nil:
		_ = r.log.Log("level", "error", "event", "storage.write_failed", "error", event.writeErr)
	case event.peerDialed != nil:
		r.handlePeerDialed(ctx, event.peerDialed)
	case event.leaderResponse != nil:
		r.handleLeaderResponse(event.leaderResponse)
	case event.storageOpened != nil:
		r.handleStorageOpened(ctx, event.storageOpened)
	case event.bootstrapProposal != nil && r.StorageOpened():
		r.handleBootstrapProposal(*event.bootstrapProposal)
	case event.talliesOpened != nil:
		r.handleTalliesOpened(ctx, event.talliesOpened)
	case event.talliesWritten != nil:
		r.handleTalliesWritten(event.talliesWritten)
	case event.leave != nil:
		r.beginLeave(ctx, event.leave)
	case event.leaveGranted:
		r.finishLeaving()
	}
}

// handleWritten sends the messages that waited for writes to be synced, and compacts the log up to
// a snapshot that was written.
func (r *Replica) handleWritten(ctx context.Context, writes []storage.WriteRequest) {
	r.metrics.count("storage_batches", 1)
	r.metrics.count("storage_writes", len(writes))
	for _, write := range writes {
		r.writesInFlight--
		if r.node == nil {
			continue
		}
		if write.Ready.MustSync() {
			r.node.WriteSynced(write.Ready.WriteToken)
		}
		r.sendRaftMessages(ctx, write.Ready.MessagesAfterSync)
		if write.LocalSnapshot != nil {
			r.compactLog(write.LocalSnapshot.Index)
		}
	}
}

// handlePeerDialed records a new connection to a peer, or schedules the next dial after a failure.
func (r *Replica) handlePeerDialed(ctx context.Context, dialed *dialedPeer) {
	if dialed.stream == nil {
		r.peers.dialing[dialed.address] = time.Now().Add(redialDelay)
		return
	}
	delete(r.peers.dialing, dialed.address)
	r.peers.dialed[dialed.address] = dialed.stream
	if r.node != nil {
		r.resumeTransfers(ctx)
	}
}

// finishIteration does the work that is due after the events of one loop iteration. It returns the
// longest time until it must run again, or 0 if only an event requires it.
func (r *Replica) finishIteration(ctx context.Context, now time.Time) time.Duration {
	if r.node == nil {
		return 0
	}
	r.metrics.count("turns", 1)
	if line := r.metrics.logLine(now); line != nil {
		_ = r.log.Log(line...)
	}
	defer r.metrics.startTimer("end_turn")()
	wake := r.node.Tick(now)
	r.connectVoters(ctx, now)
	r.watchStorageLag(now)
	r.watchRoundTrips(ctx, now)
	r.raiseFormat(ctx, now)
	// The node is drained before the leader acts on the state: a received snapshot replaces the
	// state, and the committed entries after it must be applied to the new state.
	r.drainNode(ctx)
	for _, wait := range []time.Duration{r.runLeaderTasks(now), r.sendBatches(ctx, now), r.proposeQueued(now)} {
		wake = shorterDelay(wake, wait)
	}
	r.drainNode(ctx)
	if r.digests.divergedAt > 0 {
		r.discardDivergedState(ctx, now)
		return 0
	}
	r.sendAssignments()
	r.replyToCancelWaiters()
	wake = shorterDelay(wake, r.replyToStatusWaiters(now))
	wake = shorterDelay(wake, r.replyToRunnerWatchers(now))
	wake = shorterDelay(wake, r.replyToKeyWatchers(now))
	wake = shorterDelay(wake, r.runTallies(ctx, now))
	if r.hasUnappliedEntries {
		wake = shorterDelay(wake, time.Nanosecond)
	}
	return shorterDelay(wake, r.continueLeave(ctx, now))
}

// shorterDelay returns the shorter of two delays; a wait of 0 means that no delay is set.
func shorterDelay(wake, wait time.Duration) time.Duration {
	if wait > 0 && wait < wake {
		return wait
	}
	return wake
}

// drainNode processes the node's output until there is none left. A received snapshot is installed
// before any entry is applied. After maxApplyDuration the remaining committed entries are left for
// the next iteration. Otherwise a replica with many entries to apply after a restart would neither
// send nor receive heartbeats for longer than an election timeout, and would lose the leadership it
// has just won.
func (r *Replica) drainNode(ctx context.Context) {
	deadline := time.Now().Add(maxApplyDuration)
	r.hasUnappliedEntries = false
	for {
		ready := r.node.Ready()
		if !ready.IsEmpty() {
			r.sendRaftMessages(ctx, ready.Messages)
			if ready.Snapshot != nil {
				r.installSnapshot(ready.Snapshot)
			}
			// MessagesAfterSync must also follow all earlier writes, so they go through the write
			// queue even if there is nothing new to write.
			if ready.MustSync() || len(ready.MessagesAfterSync) > 0 && r.writesInFlight > 0 {
				r.writesInFlight++
				r.writeQueue <- storage.WriteRequest{Ready: ready}
			} else {
				r.sendRaftMessages(ctx, ready.MessagesAfterSync)
			}
		}
		applied := r.apply(ctx)
		if !applied && ready.IsEmpty() {
			return
		}
		if applied && !time.Now().Before(deadline) {
			r.hasUnappliedEntries = true
			return
		}
	}
}
