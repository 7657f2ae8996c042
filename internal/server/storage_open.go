package server

import (
	"context"
	"time"

	"tealpond/internal/aggregator"
	"tealpond/internal/state"
	"tealpond/internal/storage"
)

// openedStorage is an opened storage, the data recovered from it, and the state decoded from its
// snapshot.
type openedStorage struct {
	storage   *storage.Store
	persisted storage.Recovered
	store     *state.Store
}

// StorageOpened reports whether the storage has been opened. Until then this server has no
// identity: it neither votes nor acknowledges entries, forwards requests where it can, and is not
// ready.
func (r *Replica) StorageOpened() bool { return r.storageOpened.Load() }

// openStorage opens the storage outside the event loop, retrying for as long as necessary, and
// posts it to the loop.
func (r *Replica) openStorage(ctx context.Context) {
	dir := r.settings.DataDir
	logFailure := func(err error) {
		_ = r.log.Log("level", "error", "event", "storage.open_failed", "dir", dir, "error", err)
	}
	opened, persisted, err := storage.OpenWithRetry(ctx, dir, logFailure)
	if err != nil {
		return
	}
	if persisted.NewIdentity && r.settings.FirstStart {
		// If the mark can't be written, a restart can't take part in bootstrapping and joins an
		// existing cluster instead.
		if err := opened.MarkFirstStart(); err != nil {
			logFailure(err)
		}
		persisted.FirstStart = true
	}
	store, err := state.DecodeSnapshot(persisted.Snapshot.Data, state.Limits{})
	for err != nil {
		// The record on disk is intact, so it is this program that cannot decode it. Taking a new
		// identity would give up acknowledged data because of a fault that a newer program may not
		// have.
		logFailure(err)
		select {
		case <-ctx.Done():
			r.closeStorage(opened)
			return
		case <-time.After(storage.WarningInterval):
		}
		store, err = state.DecodeSnapshot(persisted.Snapshot.Data, state.Limits{})
	}
	if !r.post(ctx, loopEvent{storageOpened: &openedStorage{opened, persisted, store}}) {
		r.closeStorage(opened)
	}
}

// closeStorage closes a storage that is not used because the process is ending.
func (r *Replica) closeStorage(opened *storage.Store) {
	if err := opened.Close(); err != nil {
		_ = r.log.Log("level", "warn", "event", "storage.close_failed", "error", err)
	}
}

// handleStorageOpened adopts the identity and the recovered data, and starts the node.
func (r *Replica) handleStorageOpened(ctx context.Context, opened *openedStorage) {
	if opened.persisted.QuarantineReason != "" {
		_ = r.log.Log("level", "warn", "event", "storage.file_set_aside", "reason", opened.persisted.QuarantineReason, "disk", opened.persisted.ID)
	}
	r.storage, r.persisted, r.state, r.self.ID = opened.storage, opened.persisted, opened.store, opened.persisted.ID
	r.aggregator = aggregator.New(r.self.ID)
	r.lastSnapshotIndex = r.persisted.Snapshot.Index
	r.storageOpened.Store(true)
	r.startWriter(ctx)
	// A node that is only bound to founders is not started: the other founders may not be bound
	// yet. It is started by a message from one of them or by the seed's response. A server that is
	// bound to no founders, on a disk from the system's first start, remains a candidate for the
	// first cluster, however often it was restarted.
	if r.persisted.HardState.Term > 0 || len(r.persisted.Founders) == 0 && (r.persisted.Snapshot.Index > 0 || !r.persisted.FirstStart) {
		r.startNode(r.persisted.Snapshot)
	}
}
