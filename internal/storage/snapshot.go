package storage

import (
	"encoding/binary"
	"hash/crc32"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
)

const (
	// snapshotFrameBytes is the size of a stored snapshot frame, in bytes. Two frames and their
	// bbolt headers fill a whole number of pages.
	snapshotFrameBytes = 64<<10 - 128
	// snapshotFramesPerTransaction is the number of frames written in one transaction. Log
	// entries wait for that transaction.
	snapshotFramesPerTransaction = 16
)

// A snapshot is written in frames, in the bucket of its generation, which is a number
// that no earlier snapshot had. Each transaction adds some frames, so that log entries
// need not wait for a whole large snapshot. The last transaction stores the new generation
// in the header and removes the old generation. Until it is synced, the old snapshot and
// the log after it are complete; afterwards the new ones are. After a crash, frames
// of other generations may be left; they are removed when the next snapshot begins.

// snapshotHeader describes the active snapshot. It is stored as an array, so the order of
// its fields must not change.
type snapshotHeader struct {
	_          struct{}      `cbor:",toarray"`
	Snapshot   raft.Snapshot // without its data
	Generation uint64
	FrameCount uint64
	Size       uint64 // of the data, in bytes
	Checksum   uint32 // CRC-32C of the data
}

// snapshotWriter writes a snapshot in frames and tracks its progress.
type snapshotWriter struct {
	snapshot  *raft.Snapshot
	header    snapshotHeader
	nextFrame uint64 // the first frame that is not stored yet
}

func newSnapshotWriter(snapshot *raft.Snapshot, generation uint64) *snapshotWriter {
	size := uint64(len(snapshot.Data))
	header := snapshotHeader{
		Snapshot:   *snapshot,
		Generation: generation,
		FrameCount: (size + snapshotFrameBytes - 1) / snapshotFrameBytes,
		Size:       size,
		Checksum:   crc32.Checksum(snapshot.Data, castagnoli),
	}
	header.Snapshot.Data = nil
	return &snapshotWriter{snapshot: snapshot, header: header}
}

// nextBatch returns the end of the range of frames that the next transaction writes, and
// reports whether they are the last frames.
func (w *snapshotWriter) nextBatch() (uint64, bool) {
	end := min(w.nextFrame+snapshotFramesPerTransaction, w.header.FrameCount)
	return end, end == w.header.FrameCount
}

// writeFrames writes the frames up to end. Before the first frame it removes the frames that
// a crash left of generations other than the current one.
func (w *snapshotWriter) writeFrames(tx *bolt.Tx, current, end uint64) error {
	snapshots, err := tx.CreateBucketIfNotExists(bucketSnapshots)
	if err != nil {
		return err
	}
	if w.nextFrame == 0 {
		if err := deleteOtherGenerations(snapshots, current); err != nil {
			return err
		}
	}
	frames, err := snapshots.CreateBucketIfNotExists(encodeKey(w.header.Generation))
	if err != nil {
		return err
	}
	frames.FillPercent = 1 // frames are only ever appended, in the order of their keys
	for i := w.nextFrame; i < end; i++ {
		start := i * snapshotFrameBytes
		frameKey := encodeKey(i)
		data := w.snapshot.Data[start:min(start+snapshotFrameBytes, w.header.Size)]
		if err := frames.Put(frameKey, withChecksum(frameKey, data)); err != nil {
			return err
		}
	}
	return nil
}

// activate makes the snapshot the active one and removes the previous one.
func (w *snapshotWriter) activate(tx *bolt.Tx) error {
	meta := tx.Bucket(bucketMeta)
	raw, err := encodeRecord(keySnapshotHeader, w.header)
	if err != nil {
		return err
	}
	if err := meta.Put(keySnapshotHeader, raw); err != nil {
		return err
	}
	if err := meta.Delete(keyLegacySnapshot); err != nil {
		return err
	}
	return deleteOtherGenerations(tx.Bucket(bucketSnapshots), w.header.Generation)
}

// deleteOtherGenerations removes the frames of all generations except the given one.
func deleteOtherGenerations(snapshots *bolt.Bucket, generation uint64) error {
	var obsolete [][]byte
	err := snapshots.ForEachBucket(func(k []byte) error {
		if decodeKey(k) != generation {
			obsolete = append(obsolete, append([]byte(nil), k...))
		}
		return nil
	})
	for _, k := range obsolete {
		if err == nil {
			err = snapshots.DeleteBucket(k)
		}
	}
	return err
}

// snapshotReader assembles a snapshot from its frames while a file is read.
type snapshotReader struct {
	header     snapshotHeader
	hasHeader  bool
	frameCount uint64 // number of frames added so far
	data       []byte
}

// addFrame appends one frame of the generation with the given key. Frames are passed in order.
func (r *snapshotReader) addFrame(generation string, key, raw []byte) error {
	if len(generation) != keyBytes {
		return corrupt("snapshot", "invalid generation key %q", generation)
	}
	if !r.hasHeader || binary.BigEndian.Uint64([]byte(generation)) != r.header.Generation {
		return nil // left behind by a crash
	}
	if len(key) != keyBytes || decodeKey(key) != r.frameCount {
		return corrupt("snapshot", "found frame key %x, want that of frame %d", key, r.frameCount)
	}
	body, checksummed, err := verifyChecksum(key, raw)
	if err != nil {
		return err
	}
	if !checksummed || uint64(len(body)) > r.header.Size-uint64(len(r.data)) {
		return corrupt("snapshot", "frame %d of %d bytes has no checksum or exceeds the snapshot size",
			r.frameCount, len(body))
	}
	r.frameCount++
	r.data = append(r.data, body...)
	return nil
}

// assemble returns the snapshot after all frames were added.
func (r *snapshotReader) assemble() (raft.Snapshot, error) {
	header := r.header
	isComplete := r.frameCount == header.FrameCount && uint64(len(r.data)) == header.Size
	if !isComplete || crc32.Checksum(r.data, castagnoli) != header.Checksum {
		return raft.Snapshot{}, corrupt("snapshot", "incomplete or checksum mismatch: %d of %d frames, %d of %d bytes",
			r.frameCount, header.FrameCount, len(r.data), header.Size)
	}
	snapshot := header.Snapshot
	snapshot.Data = r.data
	return snapshot, nil
}
