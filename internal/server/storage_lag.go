package server

import (
	"time"

	"tealpond/internal/storage"
)

const (
	// maxPendingStorageWrites is the number of pending writes from which a replica takes no more Raft
	// messages and commands, so that memory is bounded.
	maxPendingStorageWrites = 4096
	// storageStallTimeout is how long writes may wait without a finished sync before a leader
	// transfers its leadership.
	storageStallTimeout = 300 * time.Millisecond
)

// writeQueueFull reports whether so many writes wait for the storage that nothing more
// may be taken on. Messages of the consensus protocol are dropped then, as if the
// network had lost them: the member can't acknowledge them, and the leader sends
// them again.
func (r *Replica) writeQueueFull() bool { return r.writesInFlight >= maxPendingStorageWrites }

// watchStorageLag transfers leadership when the storage does not keep up: a leader
// whose own storage hangs or refuses commits only by all the others, and if it ends
// then, what it alone holds in memory is gone.
func (r *Replica) watchStorageLag(now time.Time) {
	if r.storage != nil {
		r.handleStorageLag(now, r.storage.WriteLag(now))
	}
}

// handleStorageLag logs, once in a while, for how long the storage has synced
// nothing, and transfers leadership if that is too long.
func (r *Replica) handleStorageLag(now time.Time, lag time.Duration) {
	if lag < storageStallTimeout || now.Sub(r.storageLagLoggedAt) < storage.WarningInterval {
		return
	}
	r.storageLagLoggedAt = now
	transferred := r.node.TransferLeadership() == nil
	_ = r.log.Log("level", "error", "event", "storage.fell_behind", "lag", lag, "writes", r.writesInFlight, "transferred", transferred)
}
