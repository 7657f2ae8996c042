package disk

import (
	"bytes"
	"encoding/binary"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
)

// Job is one write: either what the node put out, or a snapshot of one's own.
// A snapshot in Out was received and replaces the log whole, before the entries
// of the same Out are added; one in Point removes the entries that it covers.
type Job struct {
	Out   raft.Out
	Point *raft.Point
}

// queue is the work that waits for the disk.
type queue struct {
	jobs   []Job   // in order
	own    []Job   // snapshots of one's own, written beside the others
	saving *saving // the snapshot that is under way, of own[0] or jobs[0]
}

func (q *queue) add(jobs ...Job) {
	for _, j := range jobs {
		if j.Point != nil {
			q.own = append(q.own, j)
		} else {
			q.jobs = append(q.jobs, j)
		}
	}
}

func (q *queue) empty() bool { return len(q.jobs) == 0 && len(q.own) == 0 }

// snapshot chooses the snapshot to go on with, or nil. One that was received is
// newer than any of one's own, and what follows it waits for it.
func (q *queue) snapshot(generation uint64) *saving {
	var p *raft.Point
	switch {
	case len(q.jobs) > 0 && q.jobs[0].Out.Point != nil:
		p = q.jobs[0].Out.Point
	case len(q.own) > 0:
		p = q.own[0].Point
	default:
		return nil
	}
	if q.saving == nil || q.saving.point != p {
		q.saving = newSaving(p, generation+1)
	}
	return q.saving
}

// step does one transaction of the queue and takes the jobs that it settled
// from it. After an error the queue is as it was.
func (d *Disk) step(q *queue) ([]Job, error) {
	s := q.snapshot(d.generation)
	received := s != nil && len(q.jobs) > 0 && s.point == q.jobs[0].Out.Point
	end, last := uint64(0), false
	if s != nil {
		end, last = s.upTo()
	}
	n := 0 // jobs of the queue that this transaction settles
	if received && last {
		n = 1
	}
	for !(received && !last) && n < len(q.jobs) && q.jobs[n].Out.Point == nil {
		n++
	}
	err := d.update(func(tx *bolt.Tx) error {
		if s != nil {
			if err := s.put(tx, d.generation, end); err != nil {
				return err
			}
		}
		if received && last {
			if err := s.switchTo(tx); err != nil {
				return err
			}
			if err := emptyLog(tx); err != nil {
				return err
			}
		}
		if err := putOuts(tx, q.jobs[:n]); err != nil {
			return err
		}
		if s != nil && !received && last {
			if err := s.switchTo(tx); err != nil {
				return err
			}
			return deleteUpTo(tx.Bucket(bLog), s.point.Index)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return d.settle(q, n, received, end, last), nil
}

// settle takes note of a transaction that is synced.
func (d *Disk) settle(q *queue, n int, received bool, end uint64, last bool) []Job {
	done := q.jobs[:n:n]
	q.jobs = q.jobs[n:]
	if q.saving == nil {
		return done
	}
	q.saving.next = end
	if !last {
		return done
	}
	d.generation = q.saving.head.Generation
	q.saving = nil
	owns := 1
	if received {
		// Those of one's own that waited are older than what was received.
		owns = len(q.own)
	}
	done = append(done, q.own[:owns]...)
	q.own = q.own[owns:]
	return done
}

// write does all jobs.
func (d *Disk) write(jobs []Job) error {
	var q queue
	q.add(jobs...)
	for !q.empty() {
		if _, err := d.step(&q); err != nil {
			return err
		}
	}
	return nil
}

// putOuts writes hard states and entries. An entry removes those at and above
// its index that were there before.
func putOuts(tx *bolt.Tx, jobs []Job) error {
	m, l := tx.Bucket(bMeta), tx.Bucket(bLog)
	l.FillPercent = 0.95
	var last uint64
	if k, _ := l.Cursor().Last(); k != nil {
		last = index(k)
	}
	for _, j := range jobs {
		if j.Out.Hard != nil {
			raw, err := encode(kHard, j.Out.Hard)
			if err != nil {
				return err
			}
			if err := m.Put(kHard, raw); err != nil {
				return err
			}
		}
		for _, e := range j.Out.Entries {
			for ; last >= e.Index; last-- {
				if err := l.Delete(key(last)); err != nil {
					return err
				}
			}
			k := key(e.Index)
			raw, err := encode(k, e)
			if err != nil {
				return err
			}
			if err := l.Put(k, raw); err != nil {
				return err
			}
			last = e.Index
		}
	}
	return nil
}

func key(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

func index(k []byte) uint64 { return binary.BigEndian.Uint64(k) }

// emptyLog removes all entries: those above a snapshot that was received need
// not follow it. The bucket is made anew, as the last key of a bucket whose
// pages were all emptied in the same transaction is looked for without end.
func emptyLog(tx *bolt.Tx) error {
	if err := tx.DeleteBucket(bLog); err != nil {
		return err
	}
	_, err := tx.CreateBucket(bLog)
	return err
}

// deleteUpTo removes the entries up to an index. The keys are gathered first: a
// bbolt cursor that deletes from a page which the same transaction has changed
// passes over the key that moves into the place of the deleted one.
func deleteUpTo(l *bolt.Bucket, upTo uint64) error {
	var keys [][]byte
	c := l.Cursor()
	for k, _ := c.First(); k != nil && index(k) <= upTo; k, _ = c.Next() {
		keys = append(keys, bytes.Clone(k))
	}
	for _, k := range keys {
		if err := l.Delete(k); err != nil {
			return err
		}
	}
	return nil
}
