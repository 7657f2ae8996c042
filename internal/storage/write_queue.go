package storage

import (
	"bytes"
	"encoding/binary"
	"slices"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
)

// WriteRequest is one write: either a Ready of the Raft node, or a snapshot that this
// member took itself. A snapshot in Ready was received from the leader and replaces the whole log
// before the entries of the same Ready are added. A local snapshot removes the entries
// that it covers.
type WriteRequest struct {
	Ready         raft.Ready
	LocalSnapshot *raft.Snapshot
}

// writeQueue holds the write requests that are not synced yet.
type writeQueue struct {
	requests       []WriteRequest  // requests with a Ready, in order
	localSnapshots []WriteRequest  // written alongside the requests
	writing        *snapshotWriter // writer of the snapshot of localSnapshots[0] or requests[0], once begun
}

func (q *writeQueue) add(requests ...WriteRequest) {
	for _, request := range requests {
		if request.LocalSnapshot != nil {
			q.localSnapshots = append(q.localSnapshots, request)
		} else {
			q.requests = append(q.requests, request)
		}
	}
}

func (q *writeQueue) empty() bool { return len(q.requests) == 0 && len(q.localSnapshots) == 0 }

// nextSnapshot returns the writer of the snapshot to begin or continue, or nil if there is none. A
// received snapshot is newer than any local one, and the requests after it wait for it.
func (q *writeQueue) nextSnapshot(generation uint64) *snapshotWriter {
	var next *raft.Snapshot
	switch {
	case len(q.requests) > 0 && q.requests[0].Ready.Snapshot != nil:
		next = q.requests[0].Ready.Snapshot
	case len(q.localSnapshots) > 0:
		next = q.localSnapshots[0].LocalSnapshot
	default:
		return nil
	}
	if q.writing == nil || q.writing.snapshot != next {
		q.writing = newSnapshotWriter(next, generation+1)
	}
	return q.writing
}

// batch is the content of one transaction.
type batch struct {
	requests  []WriteRequest  // requests that it completes, except a local snapshot
	snapshot  *snapshotWriter // the snapshot whose frames it writes, or nil
	received  bool            // the snapshot belongs to the first request of the queue
	endFrame  uint64          // end of the range of frames to write
	activates bool            // these are the last frames, so the snapshot becomes active
}

// nextBatch returns the content of the next transaction. It includes the requests up to the next
// received snapshot or, together with the last frames of a received snapshot, the requests after it.
func (q *writeQueue) nextBatch(generation uint64) batch {
	next := batch{snapshot: q.nextSnapshot(generation)}
	if next.snapshot != nil {
		next.received = len(q.requests) > 0 && next.snapshot.snapshot == q.requests[0].Ready.Snapshot
		next.endFrame, next.activates = next.snapshot.nextBatch()
	}
	count := 0
	if next.received {
		if !next.activates {
			return next
		}
		count = 1
	}
	for count < len(q.requests) && q.requests[count].Ready.Snapshot == nil {
		count++
	}
	next.requests = q.requests[:count:count]
	return next
}

// write writes the batch. The generation is that of the active snapshot.
func (b *batch) write(tx *bolt.Tx, generation uint64) error {
	if b.snapshot != nil {
		if err := b.snapshot.writeFrames(tx, generation, b.endFrame); err != nil {
			return err
		}
	}
	if b.activates && b.received {
		if err := b.snapshot.activate(tx); err != nil {
			return err
		}
		if err := clearLog(tx); err != nil {
			return err
		}
	}
	if err := putReadies(tx, b.requests); err != nil {
		return err
	}
	if b.activates && !b.received {
		if err := b.snapshot.activate(tx); err != nil {
			return err
		}
		return compactLog(tx.Bucket(bucketLog), b.snapshot.snapshot.Index)
	}
	return nil
}

// complete removes the requests that a synced batch completed, and returns them.
func (q *writeQueue) complete(b batch) []WriteRequest {
	q.requests = q.requests[len(b.requests):]
	if b.snapshot == nil {
		return b.requests
	}
	b.snapshot.nextFrame = b.endFrame
	if !b.activates {
		return b.requests
	}
	q.writing = nil
	localCount := 1
	if b.received {
		// All queued local snapshots are older than the received one.
		localCount = len(q.localSnapshots)
	}
	done := slices.Concat(b.requests, q.localSnapshots[:localCount])
	q.localSnapshots = q.localSnapshots[localCount:]
	return done
}

// commitNext runs the next transaction of the queue. It removes the requests that the transaction
// completes from the queue and returns them. After an error the queue is unchanged.
func (s *Store) commitNext(q *writeQueue) ([]WriteRequest, error) {
	next := q.nextBatch(s.snapshotGeneration)
	err := s.commit(func(tx *bolt.Tx) error { return next.write(tx, s.snapshotGeneration) })
	if err != nil {
		return nil, err
	}
	if next.activates {
		s.snapshotGeneration = next.snapshot.header.Generation
	}
	return q.complete(next), nil
}

// logFillPercent is the fill factor of log pages: keys are only appended at the end.
const logFillPercent = 0.95

// putReadies writes hard states, entries and the newest commit index. An entry replaces all stored entries
// at and above its index.
func putReadies(tx *bolt.Tx, requests []WriteRequest) error {
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	log.FillPercent = logFillPercent
	var last uint64
	if k, _ := log.Cursor().Last(); k != nil {
		last = decodeKey(k)
	}
	var commit uint64
	for _, request := range requests {
		commit = max(commit, request.Ready.CommitIndex)
		if request.Ready.HardState != nil {
			if err := putRecord(meta, keyHardState, request.Ready.HardState); err != nil {
				return err
			}
		}
		for _, entry := range request.Ready.Entries {
			for ; last >= entry.Index; last-- {
				if err := log.Delete(encodeKey(last)); err != nil {
					return err
				}
			}
			if err := putRecord(log, encodeKey(entry.Index), entry); err != nil {
				return err
			}
			last = entry.Index
		}
	}
	if commit == 0 {
		return nil
	}
	return putRecord(meta, keyCommit, commit)
}

// putRecord stores a value under a key, with a checksum.
func putRecord(bucket *bolt.Bucket, key []byte, value any) error {
	raw, err := encodeRecord(key, value)
	if err != nil {
		return err
	}
	return bucket.Put(key, raw)
}

// keyBytes is the length of the key of an entry, a frame or a generation.
const keyBytes = 8

// encodeKey returns the key of an entry, a frame or a generation: its number,
// big-endian, so that bbolt orders the keys by number.
func encodeKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func decodeKey(key []byte) uint64 { return binary.BigEndian.Uint64(key) }

// clearLog removes all entries, since those above a received snapshot need not be consistent with it.
// It deletes and recreates the bucket, because bbolt's search for the last key of a bucket whose
// pages were all emptied in the same transaction never terminates.
func clearLog(tx *bolt.Tx) error {
	if err := tx.DeleteBucket(bucketLog); err != nil {
		return err
	}
	_, err := tx.CreateBucket(bucketLog)
	return err
}

// compactLog removes the entries up to an index. It collects the keys first, because a
// bbolt cursor that deletes from a page which the same transaction has changed skips
// the key that moves into the position of the deleted one.
func compactLog(log *bolt.Bucket, upTo uint64) error {
	var keys [][]byte
	c := log.Cursor()
	for k, _ := c.First(); k != nil && decodeKey(k) <= upTo; k, _ = c.Next() {
		keys = append(keys, bytes.Clone(k))
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}
