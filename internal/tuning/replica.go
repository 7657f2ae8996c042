package tuning

import "time"

// Comparison of the replicas' states.
const (
	// DigestInterval is the number of entries between two digests that the
	// replicas compare. Each costs a report of every voter and one command.
	// SnapshotInterval is a multiple of it.
	DigestInterval = 250
	// DigestsKept is the number of the latest digests that reports and entries
	// of the log may refer to.
	DigestsKept = 40
	// IdentityRenewRetryInterval is the time between two attempts to open the
	// storage under a new identity.
	IdentityRenewRetryInterval = time.Second
)

// Transfer of snapshots between replicas.
const (
	// SnapshotChunkBytes is the size of a chunk of a snapshot, in bytes. Like
	// MaxAppendBytes it keeps heartbeats from waiting; one chunk is under way at
	// a time.
	SnapshotChunkBytes = 64 << 10
	// SnapshotChunkRetryInterval is the time after which a chunk without an
	// answer is sent again. A chunk takes 0.3 s at 2 Mbit/s, and Raft repeats
	// the request for a snapshot after a second.
	SnapshotChunkRetryInterval = 700 * time.Millisecond
	// SnapshotTransferStallTimeout is the time without progress after which a
	// transfer starts again from its first chunk.
	SnapshotTransferStallTimeout = 2 * time.Second
)
