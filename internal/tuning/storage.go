package tuning

import "time"

// Writes to the disk.
const (
	// StorageQueueLength is the number of writes that may wait for the storage
	// goroutine.
	StorageQueueLength = 8192
	// MaxPendingStorageWrites is the number of pending writes from which a
	// replica takes no more Raft messages and commands: its disk doesn't keep
	// up, and memory is bounded.
	MaxPendingStorageWrites = 4096
	// StorageStallTimeout is how long writes may wait without a finished sync
	// before a leader transfers its leadership. It is several times a slow sync
	// and below a client's shortest patience.
	StorageStallTimeout = 300 * time.Millisecond
)

// Opening the file and retrying after errors.
const (
	// StorageLockTimeout is how long one attempt to open the file waits for its
	// lock. Another attempt follows anyway.
	StorageLockTimeout = 100 * time.Millisecond
	// StorageRetryBackoff is the first pause before a failed operation of the
	// storage is tried again; each further pause is longer.
	StorageRetryBackoff = 50 * time.Millisecond
	// MaxStorageRetryBackoff is the longest such pause. A disk that works again
	// must be in use well within the operators' bound catchUpS, and each attempt
	// costs processor time.
	MaxStorageRetryBackoff = 500 * time.Millisecond
	// StorageWarningInterval is the time between two log lines about a disk that
	// keeps failing.
	StorageWarningInterval = time.Second
)

// Layout of snapshots in the file.
const (
	// SnapshotFrameBytes is the size of a stored frame of a snapshot, in bytes.
	// Two of them, with the headers of bbolt, fill a whole number of pages.
	SnapshotFrameBytes = 64<<10 - 128
	// SnapshotFramesPerTransaction is the number of frames written in one
	// transaction: about 1 MB, so that log entries never wait longer than that
	// takes.
	SnapshotFramesPerTransaction = 16
)
