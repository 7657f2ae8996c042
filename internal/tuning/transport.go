package tuning

import "time"

// Connections between daemons.
const (
	// DialTimeout is how long opening a connection may take. Zones are
	// milliseconds apart.
	DialTimeout = 500 * time.Millisecond
	// TCPUserTimeout is the socket option TCP_USER_TIMEOUT of each connection:
	// bytes unacknowledged for so long mean that the way is cut.
	TCPUserTimeout = 1500 * time.Millisecond
	// StreamQueueLength is the number of frames that may wait to be written to a
	// peer.
	StreamQueueLength = 512
	// MaxFrameBytes is the size of the largest frame, and of the largest
	// snapshot that is accepted, in bytes.
	MaxFrameBytes = 64 << 20
	// StreamCompressionLevel is that of repetitive frames, as compress/flate counts. Level
	// 3 makes the entries of a log three times smaller, 6 another tenth, 1 a third only.
	StreamCompressionLevel = 3
	// MinCompressedBytes is the least size of a body that is compressed: heartbeats and
	// acknowledgements are smaller, and a stream that carries nothing else needs no tables.
	MinCompressedBytes = 128
)

// Bounds of what is decoded, so that a damaged or forged message can't exhaust
// memory.
const (
	// MaxFrameElements is the number of elements of one list or map in a frame.
	// A batch of reports names at most all workers, and an append holds fewer
	// entries.
	MaxFrameElements = 1 << 16
	// MaxFrameNesting is how deep lists in a frame may be nested, in levels.
	MaxFrameNesting = 12
	// MaxSnapshotElements is the number of rows of one table in a snapshot:
	// seventy times the runs of the planned cluster size.
	MaxSnapshotElements = 1 << 22
	// MaxSnapshotNesting is how deep a snapshot may be nested, in levels.
	MaxSnapshotNesting = 16
)
