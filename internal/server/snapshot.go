package server

import (
	"context"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/storage"
	"tealpond/internal/transport"
)

// encodedSnapshot is a snapshot that was encoded outside the event loop.
type encodedSnapshot struct {
	node     *raft.Node // the node whose log it covers
	snapshot *raft.Snapshot
	digest   uint64
}

// beginSnapshot copies the state as of the last applied entry. The first result lacks only the
// data, which the second result encodes, possibly outside the event loop.
func (r *Replica) beginSnapshot() (*raft.Snapshot, *state.Snapshot) {
	index := r.state.AppliedIndex
	term, ok := r.node.TermAt(index)
	if !ok {
		panic("server: no term in the log for the entry of the snapshot")
	}
	snapshot := &raft.Snapshot{
		Index:          index,
		Term:           term,
		Voters:         r.node.VotersAt(index),
		OutgoingVoters: r.node.OutgoingVotersAt(index),
	}
	return snapshot, r.state.Snapshot()
}

// snapshotForFollower returns a snapshot for a lagging follower: the newest one, since the log
// holds the entries after it. If there is none yet, it is taken at once.
func (r *Replica) snapshotForFollower() *raft.Snapshot {
	if r.latestSnapshot == nil {
		snapshot, copied := r.beginSnapshot()
		snapshot.Data = copied.Encode()
		r.latestSnapshot = snapshot
	}
	return r.latestSnapshot
}

// takeSnapshotIfDue starts a snapshot at log indexes that are the same on all replicas, so that
// their digests can be compared. The event loop only copies the state: encoding the state of a
// large cluster takes longer than followers wait for a heartbeat.
func (r *Replica) takeSnapshotIfDue(ctx context.Context, index uint64) {
	if index%SnapshotInterval != 0 || r.encodingSnapshot {
		return
	}
	r.encodingSnapshot = true
	snapshot, copied := r.beginSnapshot()
	node := r.node
	go func() {
		snapshot.Data = copied.Encode()
		r.post(ctx, loopEvent{snapshotEncoded: &encodedSnapshot{node, snapshot, state.SnapshotDigest(snapshot.Data)}})
	}()
}

// handleSnapshotEncoded has a snapshot written, unless a newer one was received or the node was
// replaced in the meantime. The previous snapshot remains valid until this one is synced: the
// storage replaces it atomically.
func (r *Replica) handleSnapshotEncoded(ctx context.Context, encoded *encodedSnapshot) {
	if encoded.node != r.node {
		return
	}
	r.encodingSnapshot = false
	if encoded.snapshot.Index <= r.lastSnapshotIndex {
		return
	}
	r.recordDigest(ctx, encoded.snapshot.Index, encoded.digest)
	r.lastSnapshotIndex, r.latestSnapshot = encoded.snapshot.Index, encoded.snapshot
	r.writesInFlight++
	r.writeQueue <- storage.WriteRequest{LocalSnapshot: encoded.snapshot}
}

// installSnapshot replaces the state, and everything derived from it, by a received snapshot.
func (r *Replica) installSnapshot(snapshot *raft.Snapshot) {
	store, err := state.DecodeSnapshot(snapshot.Data, state.Limits{})
	if err == nil {
		err = store.BindSnapshotIndex(snapshot.Index)
	}
	if err != nil {
		panic("server: unreadable snapshot: " + err.Error())
	}
	r.state = store
	r.observeClocks(time.Now(), snapshot.Term)
	r.lastSnapshotIndex, r.latestSnapshot = snapshot.Index, snapshot
	r.planning.due = true
	r.digests.discardLocal()
	// The entries covered by the snapshot are not applied one by one here, so it is unknown whether
	// they are the ones that the callers proposed.
	for index := range r.pending {
		if index <= snapshot.Index {
			r.abandonEntry(index)
		}
	}
	r.pendingAssignments = map[*transport.Stream][]rpc.Assignment{}
	r.resyncSessions()
}
