package storage

import (
	"bytes"
	"encoding/binary"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
)

// WriteRequest is one write: either what the node put out, or a snapshot of one's own.
// A snapshot in Out was received and replaces the log whole, before the entries
// of the same Out are added; one in Point removes the entries that it covers.
type WriteRequest struct {
	Ready         raft.Ready
	LocalSnapshot *raft.Snapshot
}

// writeQueue is the work that waits for the disk.
type writeQueue struct {
	requests       []WriteRequest  // in order
	localSnapshots []WriteRequest  // snapshots of one's own, written beside the others
	writing        *snapshotWriter // the snapshot that is under way, of own[0] or jobs[0]
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

// nextSnapshot chooses the snapshot to go on with, or nil. One that was received is
// newer than any of one's own, and what follows it waits for it.
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

// commitNext does one transaction of the queue and takes the jobs that it settled
// from it. After an error the queue is as it was.
func (s *Store) commitNext(q *writeQueue) ([]WriteRequest, error) {
	writer := q.nextSnapshot(s.snapshotGeneration)
	received := writer != nil && len(q.requests) > 0 && writer.snapshot == q.requests[0].Ready.Snapshot
	end, last := uint64(0), false
	if writer != nil {
		end, last = writer.nextBatch()
	}
	count := 0 // jobs of the queue that this transaction settles
	if received && last {
		count = 1
	}
	for !(received && !last) && count < len(q.requests) && q.requests[count].Ready.Snapshot == nil {
		count++
	}
	err := s.commit(func(tx *bolt.Tx) error {
		if writer != nil {
			if err := writer.writeFrames(tx, s.snapshotGeneration, end); err != nil {
				return err
			}
		}
		if received && last {
			if err := writer.activate(tx); err != nil {
				return err
			}
			if err := clearLog(tx); err != nil {
				return err
			}
		}
		if err := putReadies(tx, q.requests[:count]); err != nil {
			return err
		}
		if writer != nil && !received && last {
			if err := writer.activate(tx); err != nil {
				return err
			}
			return compactLog(tx.Bucket(bucketLog), writer.snapshot.Index)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return s.completeRequests(q, count, received, end, last), nil
}

// completeRequests takes note of a transaction that is synced.
func (s *Store) completeRequests(q *writeQueue, count int, received bool, end uint64, last bool) []WriteRequest {
	done := q.requests[:count:count]
	q.requests = q.requests[count:]
	if q.writing == nil {
		return done
	}
	q.writing.nextFrame = end
	if !last {
		return done
	}
	s.snapshotGeneration = q.writing.header.Generation
	q.writing = nil
	localCount := 1
	if received {
		// Those of one's own that waited are older than what was received.
		localCount = len(q.localSnapshots)
	}
	done = append(done, q.localSnapshots[:localCount]...)
	q.localSnapshots = q.localSnapshots[localCount:]
	return done
}

// writeAll does all jobs.
func (s *Store) writeAll(requests []WriteRequest) error {
	var queue writeQueue
	queue.add(requests...)
	for !queue.empty() {
		if _, err := s.commitNext(&queue); err != nil {
			return err
		}
	}
	return nil
}

// putReadies writes hard states and entries. An entry removes those at and above
// its index that were there before.
func putReadies(tx *bolt.Tx, requests []WriteRequest) error {
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	log.FillPercent = 0.95
	var last uint64
	if k, _ := log.Cursor().Last(); k != nil {
		last = decodeKey(k)
	}
	for _, request := range requests {
		if request.Ready.HardState != nil {
			raw, err := encodeRecord(keyHardState, request.Ready.HardState)
			if err != nil {
				return err
			}
			if err := meta.Put(keyHardState, raw); err != nil {
				return err
			}
		}
		for _, entry := range request.Ready.Entries {
			for ; last >= entry.Index; last-- {
				if err := log.Delete(encodeKey(last)); err != nil {
					return err
				}
			}
			k := encodeKey(entry.Index)
			raw, err := encodeRecord(k, entry)
			if err != nil {
				return err
			}
			if err := log.Put(k, raw); err != nil {
				return err
			}
			last = entry.Index
		}
	}
	return nil
}

func encodeKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func decodeKey(k []byte) uint64 { return binary.BigEndian.Uint64(k) }

// clearLog removes all entries: those above a snapshot that was received need
// not follow it. The bucket is made anew, as the last key of a bucket whose
// pages were all emptied in the same transaction is looked for without end.
func clearLog(tx *bolt.Tx) error {
	if err := tx.DeleteBucket(bucketLog); err != nil {
		return err
	}
	_, err := tx.CreateBucket(bucketLog)
	return err
}

// compactLog removes the entries up to an index. The keys are gathered first: a
// bbolt cursor that deletes from a page which the same transaction has changed
// passes over the key that moves into the place of the deleted one.
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
