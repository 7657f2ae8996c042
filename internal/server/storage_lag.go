package server

import (
	"time"

	"tealpond/internal/tuning"
)

// writeQueueFull tells whether so many writes wait for the disk that nothing more may
// be taken on. Messages of the agreement are dropped then, as if the network
// had lost them: the member can't acknowledge them, and the leader sends them
// again.
func (r *Replica) writeQueueFull() bool { return r.writesInFlight >= tuning.MaxPendingStorageWrites }

// watchStorageLag says when the disk does not serve, and hands the lead on: a leader
// whose own disk hangs or refuses commits only by all the others, and if it
// ends then, what it alone holds in memory is gone.
func (r *Replica) watchStorageLag(now time.Time) {
	if r.disk != nil {
		r.handleStorageLag(now, r.disk.WriteLag(now))
	}
}

// handleStorageLag takes note of for how long the disk has synced nothing.
func (r *Replica) handleStorageLag(now time.Time, lag time.Duration) {
	if lag < tuning.StorageStallTimeout || now.Sub(r.storageLagLoggedAt) < tuning.StorageWarningInterval {
		return
	}
	r.storageLagLoggedAt = now
	transferred := r.node.IsLeader() && r.node.TransferLeadership()
	_ = r.log.Log("level", "error", "event", "disk.behind", "for", lag, "jobs", r.writesInFlight, "handed", transferred)
}
