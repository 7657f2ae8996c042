package server

import (
	"context"
	"time"

	"tealpond/internal/daemon"
	"tealpond/internal/rpc"
	"tealpond/internal/storage"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// Event is an input of the core's loop. Exactly one of its fields is set, except
// that By goes with Wrote and Bad.
type Event struct {
	Transport         *transport.Event
	Request           *LocalRequest
	FederationRequest *LocalRequest
	Written           []storage.WriteRequest
	WriteErr          error
	PeerDialed        *dialedPeer
	BootstrapProposal *rpc.BootstrapProposal
	StorageOpened     *openedStorage
	Leave             chan struct{}
	// WrittenBy is the disk that Wrote and Bad come from.
	WrittenBy *storage.Store
	// SnapshotEncoded is a snapshot that was encoded, NewIdentity the empty disk of a
	// replica that starts over.
	SnapshotEncoded *encodedSnapshot
	NewIdentity     *newIdentity
	// LeaveGranted tells that the others can do without this daemon, which leaves.
	LeaveGranted bool
	// LeaderResponse is the leader's answer to a batch of this daemon's aggregator.
	LeaderResponse *leaderResponse
}

// LocalRequest is a request of this process.
type LocalRequest struct {
	Request rpc.Request
	Reply   func(rpc.Response)
}

// dialedPeer is the outcome of dialing a peer; stream is nil if that failed.
type dialedPeer struct {
	address string
	stream  *transport.Stream
}

// Run is the core's loop. It returns when ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	go r.openStorage(ctx)
	go r.runAnnouncer(ctx)
	daemon.Loop(ctx, r.events, func(event Event) { r.handleEvent(ctx, event) }, func(now time.Time) time.Duration { return r.endTurn(ctx, now) })
	return nil
}

// handleEvent takes one event.
func (r *Replica) handleEvent(ctx context.Context, event Event) {
	defer r.metrics.startTimer("take")()
	switch {
	case event.Transport != nil:
		r.handleTransport(ctx, event.Transport)
	case event.SnapshotEncoded != nil:
		r.handleSnapshotEncoded(ctx, event.SnapshotEncoded)
	case event.NewIdentity != nil:
		r.adoptNewIdentity(ctx, event.NewIdentity)
	case event.Request != nil:
		r.handleRequest(event.Request.Request, nil, r.withAppliedVersions(event.Request.Reply))
	case event.FederationRequest != nil:
		r.handleFederationRequest(event.FederationRequest)
	case (event.Written != nil || event.WriteErr != nil) && event.WrittenBy != r.disk:
		// A write of the identity that this daemon has given up.
	case event.Written != nil:
		r.metrics.count("disk_writes", 1)
		r.metrics.count("disk_jobs", len(event.Written))
		for _, write := range event.Written {
			r.writesInFlight--
			if r.node != nil {
				if write.Ready.MustSync() {
					r.node.WriteSynced(write.Ready.WriteToken)
				}
				r.sendRaftMessages(ctx, write.Ready.MessagesAfterSync)
				if write.LocalSnapshot != nil {
					r.node.Compact(write.LocalSnapshot.Index - min(write.LocalSnapshot.Index, tuning.SnapshotTrailingEntries))
				}
			}
		}
	case event.WriteErr != nil:
		_ = r.log.Log("level", "error", "event", "disk.refused", "why", event.WriteErr)
	case event.PeerDialed != nil:
		delete(r.dialing, event.PeerDialed.address)
		if event.PeerDialed.stream != nil {
			r.connections[event.PeerDialed.address] = event.PeerDialed.stream
			if r.node != nil {
				r.resumeTransfers(ctx)
			}
		} else {
			r.dialing[event.PeerDialed.address] = time.Now().Add(100 * time.Millisecond)
		}
	case event.LeaderResponse != nil:
		r.handleLeaderResponse(event.LeaderResponse)
	case event.StorageOpened != nil:
		r.handleStorageOpened(ctx, event.StorageOpened)
	case event.BootstrapProposal != nil && r.StorageOpened():
		r.handleBootstrapProposal(*event.BootstrapProposal)
	case event.Leave != nil:
		r.beginLeave(ctx, event.Leave)
	case event.LeaveGranted:
		r.finishLeaving()
	}
}

// endTurn does what is due after the events of a turn of the loop; it returns
// when to come back.
func (r *Replica) endTurn(ctx context.Context, now time.Time) time.Duration {
	if r.node == nil {
		return 0
	}
	r.metrics.count("loops", 1)
	if line := r.metrics.logLine(now); line != nil {
		_ = r.log.Log(line...)
	}
	defer r.metrics.startTimer("rest")()
	wake := r.node.Tick(now)
	r.watchStorageLag(now)
	// Before anything is applied: a snapshot that came in replaces the state
	// which the entries above it don't follow.
	r.drainNode(ctx)
	for _, wait := range []time.Duration{r.leaderWork(now), r.sendBatches(ctx, now), r.proposeQueued(now)} {
		if wait > 0 && wait < wake {
			wake = wait
		}
	}
	r.drainNode(ctx)
	if r.digests.divergedAt > 0 {
		r.discardDivergedState(ctx, now)
		return 0
	}
	r.sendAssignments()
	r.replyToCancelWaiters()
	if wait := r.replyToStatusWaiters(now); wait > 0 && wait < wake {
		wake = wait
	}
	if wait := r.continueLeave(ctx, now); wait > 0 {
		wake = min(wake, wait)
	}
	return wake
}

// drainNode carries out what the node has ready until nothing is left. A received
// snapshot is installed before any entry is applied.
func (r *Replica) drainNode(ctx context.Context) {
	for {
		output := r.node.Ready()
		if !output.IsEmpty() {
			r.sendRaftMessages(ctx, output.Messages)
			if output.Snapshot != nil {
				r.installSnapshot(output.Snapshot)
			}
			if output.MustSync() || len(output.MessagesAfterSync) > 0 && r.writesInFlight > 0 {
				r.writesInFlight++
				r.writeQueue <- storage.WriteRequest{Ready: output}
			} else {
				r.sendRaftMessages(ctx, output.MessagesAfterSync)
			}
		}
		if !r.apply(ctx) && output.IsEmpty() {
			return
		}
	}
}
