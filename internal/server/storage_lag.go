package server

import (
	"time"

	"tealpond/internal/storage"
)

const (
	// maxPendingStorageWrites is the number of pending writes from which a replica accepts no more
	// Raft messages and commands, so that memory use is bounded.
	maxPendingStorageWrites = 4096
	// storageStallTimeout is how long writes may wait without a completed sync before a leader
	// transfers leadership.
	storageStallTimeout = 300 * time.Millisecond
)

// writeQueueFull reports whether too many writes are pending to accept more work. Raft messages are
// dropped in this case as if the network had lost them: this member cannot acknowledge them, and
// the leader sends them again.
func (r *Replica) writeQueueFull() bool { return r.writesInFlight >= maxPendingStorageWrites }

// watchStorageLag transfers leadership when the storage does not keep up. A leader whose own
// storage hangs or fails commits entries through the other voters only, and if it exits, the data
// that only it holds in memory is lost.
func (r *Replica) watchStorageLag(now time.Time) {
	if r.storage != nil {
		r.handleStorageLag(now, r.storage.WriteLag(now))
	}
}

// handleStorageLag handles a storage that has synced nothing for storageStallTimeout: it logs it and
// tries to transfer leadership, both at most once per storage.WarningInterval.
func (r *Replica) handleStorageLag(now time.Time, lag time.Duration) {
	if lag < storageStallTimeout || now.Sub(r.storageLagLoggedAt) < storage.WarningInterval {
		return
	}
	r.storageLagLoggedAt = now
	transferred := r.node.TransferLeadership() == nil
	_ = r.log.Log("level", "error", "event", "storage.fell_behind", "lag", lag, "writes", r.writesInFlight, "transferred", transferred)
}
