package server

import (
	"context"
	"time"

	"tealpond/internal/aggregator"
	"tealpond/internal/state"
	"tealpond/internal/storage"
)

// openedStorage is the opened storage, what it holds, and the state of its snapshot.
type openedStorage struct {
	storage   *storage.Store
	persisted storage.Recovered
	store     *state.Store
}

// StorageOpened reports whether the storage has been opened. Until then this server
// has no identity: it neither votes nor acknowledges, forwards what it can and is
// not ready.
func (r *Replica) StorageOpened() bool { return r.storageOpened.Load() }

// openStorage opens the storage beside the loop, for as long as it takes, and hands
// it to the loop.
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
		// Without the mark this server can't form the first cluster once it was restarted;
		// it joins one that others form.
		if err := opened.MarkFirstStart(); err != nil {
			logFailure(err)
		}
		persisted.FirstStart = true
	}
	store, err := state.DecodeSnapshot(persisted.Snapshot.Data, state.Limits{})
	for err != nil {
		// The record on disk is whole, so it is this program that can't read it.
		// To take another identity would give up what was acknowledged for a
		// fault that a newer program may not have.
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

// closeStorage closes a storage that is not used, as the process ends.
func (r *Replica) closeStorage(opened *storage.Store) {
	if err := opened.Close(); err != nil {
		_ = r.log.Log("level", "warn", "event", "storage.close_failed", "error", err)
	}
}

// handleStorageOpened takes the identity and what the storage holds, and starts the
// node.
func (r *Replica) handleStorageOpened(ctx context.Context, opened *openedStorage) {
	if opened.persisted.QuarantineReason != "" {
		_ = r.log.Log("level", "warn", "event", "storage.file_set_aside", "reason", opened.persisted.QuarantineReason, "disk", opened.persisted.ID)
	}
	r.storage, r.persisted, r.state, r.self.ID = opened.storage, opened.persisted, opened.store, opened.persisted.ID
	r.aggregator = aggregator.New(r.self.ID)
	r.lastSnapshotIndex = r.persisted.Snapshot.Index
	r.storageOpened.Store(true)
	r.startWriter(ctx)
	// A node that is only bound is not started: the other founders may be bound
	// to nothing yet. A message from one of them, or the seed's response, starts it. One
	// that is bound to nothing, on a disk of the system's first start, is still a candidate
	// for the first cluster, however often it was restarted.
	if r.persisted.HardState.Term > 0 || len(r.persisted.Founders) == 0 && (r.persisted.Snapshot.Index > 0 || !r.persisted.FirstStart) {
		r.startNode(r.persisted.Snapshot)
	}
}
