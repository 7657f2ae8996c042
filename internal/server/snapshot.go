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
// their digests can be compared, and whenever the log holds too many bytes. The event loop only copies the state: encoding the state of a
// large cluster takes longer than followers wait for a heartbeat.
func (r *Replica) takeSnapshotIfDue(ctx context.Context, index uint64) {
	if r.encodingSnapshot || index%SnapshotInterval != 0 && !r.logTooLarge(index) {
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

const (
	// maxLogMemoryFraction is the fraction of limits.memoryMb that the entries of the log may occupy
	// before a snapshot is taken, and trailingLogFraction the part of it that is kept behind a snapshot.
	maxLogMemoryFraction = 0.05
	trailingLogFraction  = 0.25
	// minSnapshotDistance is the least number of entries between two snapshots that are taken because
	// of the size of the log.
	minSnapshotDistance = 32
)

// maxLogBytes returns how many bytes the entries of the log may have before a snapshot is taken; 0 if
// the settings limit no memory.
func (r *Replica) maxLogBytes() int {
	const bytesPerMB = 1 << 20
	return int(maxLogMemoryFraction * float64(r.settings.Limits.MemoryMB) * bytesPerMB)
}

// logTooLarge reports whether the log holds so many bytes that a snapshot is due after the entry at
// index.
func (r *Replica) logTooLarge(index uint64) bool {
	limit := r.maxLogBytes()
	return limit > 0 && r.node.LogBytes() > limit && index >= r.lastSnapshotIndex+minSnapshotDistance
}

// compactLog drops the entries of the log that a snapshot on disk includes, but for the last ones
// before it, as far as these are few and small.
func (r *Replica) compactLog(snapshotIndex uint64) {
	index := snapshotIndex - min(snapshotIndex, snapshotTrailingEntries)
	if limit := r.maxLogBytes(); limit > 0 {
		index = max(index, min(snapshotIndex, r.node.IndexBeforeLast(int(trailingLogFraction*float64(limit)))))
	}
	r.node.Compact(index)
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
	if encoded.snapshot.Index%SnapshotInterval == 0 {
		r.recordDigest(ctx, encoded.snapshot.Index, encoded.digest)
	}
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
