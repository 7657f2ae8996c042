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
	// maxApplyDuration is how long a replica applies committed entries before it looks at its events
	// again: a quarter of timing.HeartbeatInterval.
	maxApplyDuration = 20 * time.Millisecond
	// snapshotTrailingEntries is the number of entries before a snapshot that stay in the log, for
	// voters that were away briefly.
	snapshotTrailingEntries = 1000
)

const (
	// eventQueueLength bounds the events that wait for the loop; senders block
	// beyond it.
	eventQueueLength = 4096
	// redialDelay is the pause after a failed dial to a peer.
	redialDelay = 100 * time.Millisecond
)

// loopEvent is an input of the loop. Exactly one of its fields is set, except that
// writtenBy goes with written and writeErr.
type loopEvent struct {
	// transport is a frame of a stream, or the stream's end.
	transport *transport.Event
	// request is a request of this process, federationRequest one of its
	// offloader.
	request           *localRequest
	federationRequest *localRequest
	// written are writes that were synced, writeErr is the error of writes that are
	// being retried; writtenBy is the storage that reports either.
	written   []storage.WriteRequest
	writeErr  error
	writtenBy *storage.Store
	// peerDialed is the outcome of dialing a peer.
	peerDialed *dialedPeer
	// bootstrapProposal is a seed's response to this candidate.
	bootstrapProposal *rpc.BootstrapProposal
	// storageOpened is the storage, once it could be opened.
	storageOpened *openedStorage
	// snapshotEncoded is a snapshot that is ready to be written.
	snapshotEncoded *encodedSnapshot
	// newIdentity is the empty storage of a replica that starts over.
	newIdentity *newIdentity
	// leaderResponse is the leader's response to a batch of this server's aggregator.
	leaderResponse *leaderResponse
	// leave asks the replica to leave; the channel is closed once the process may
	// end. leaveGranted is the leader's consent.
	leave        chan struct{}
	leaveGranted bool
	// talliesOpened is the file of the tallies, once it could be opened; talliesWritten
	// tells that what was handed to it is on the disk.
	talliesOpened  *openedTallies
	talliesWritten *writtenTallies
}

// localRequest is a request of this process.
type localRequest struct {
	request rpc.Request
	reply   func(rpc.Response)
}

// dialedPeer is the outcome of dialing a peer; stream is nil if that failed.
type dialedPeer struct {
	address string
	stream  *transport.Stream
}

// Run is the event loop. It returns nil when ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.ended)
	go r.openStorage(ctx)
	if r.settings.HasTallies() {
		go r.openTallies(ctx)
	}
	go r.runAnnouncer(ctx)
	daemon.Loop(ctx, r.events,
		func(event loopEvent) { r.handleEvent(ctx, event) },
		func(now time.Time) time.Duration { return r.endTurn(ctx, now) })
	return nil
}

// post hands the loop an event from a goroutine beside it; false if ctx ended first.
func (r *Replica) post(ctx context.Context, event loopEvent) bool {
	select {
	case r.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleEvent takes one event.
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
		// A write of the identity that this server has given up.
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

// handleWritten sends what waited for writes to be synced.
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
			r.node.Compact(write.LocalSnapshot.Index - min(write.LocalSnapshot.Index, snapshotTrailingEntries))
		}
	}
}

// handlePeerDialed takes a new connection to a peer, or puts off the next attempt.
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

// endTurn does what is due after the events of a turn of the loop; it returns
// after how long it must run again at the latest, 0 for only after an event.
func (r *Replica) endTurn(ctx context.Context, now time.Time) time.Duration {
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
	// The node is drained before the leader acts on the state: a received snapshot
	// replaces the state, and the committed entries above it apply to the new one only.
	r.drainNode(ctx)
	for _, wait := range []time.Duration{r.leaderWork(now), r.sendBatches(ctx, now), r.proposeQueued(now)} {
		wake = sooner(wake, wait)
	}
	r.drainNode(ctx)
	if r.digests.divergedAt > 0 {
		r.discardDivergedState(ctx, now)
		return 0
	}
	r.sendAssignments()
	r.replyToCancelWaiters()
	wake = sooner(wake, r.replyToStatusWaiters(now))
	wake = sooner(wake, r.replyToRunnerWatchers(now))
	wake = sooner(wake, r.replyToKeyWatchers(now))
	wake = sooner(wake, r.tallyWork(ctx, now))
	if r.applyBacklog {
		wake = sooner(wake, time.Nanosecond)
	}
	return sooner(wake, r.continueLeave(ctx, now))
}

// sooner is the shorter of two waits, of which wait may be 0 for none.
func sooner(wake, wait time.Duration) time.Duration {
	if wait > 0 && wait < wake {
		return wait
	}
	return wake
}

// drainNode carries out what the node has ready until nothing is left. A received
// snapshot is installed before any entry is applied. After maxApplyDuration the
// rest of the committed entries is left for the next turn: a replica that has many to
// apply after a restart would else send and hear no heartbeats for longer than an
// election timeout, and lose the leadership that it has just won.
func (r *Replica) drainNode(ctx context.Context) {
	deadline := time.Now().Add(maxApplyDuration)
	r.applyBacklog = false
	for {
		ready := r.node.Ready()
		if !ready.IsEmpty() {
			r.sendRaftMessages(ctx, ready.Messages)
			if ready.Snapshot != nil {
				r.installSnapshot(ready.Snapshot)
			}
			// MessagesAfterSync also wait for all earlier writes, so they follow those
			// through the queue, even if nothing new is to be written.
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
			r.applyBacklog = true
			return
		}
	}
}
