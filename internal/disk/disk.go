// Package disk keeps a core daemon's identity, log and checkpoint in bbolt,
// written by one task.
package disk

import (
	"bytes"
	"context"
	"encoding/binary"
	"time"

	"github.com/zeebo/errs"
	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
	"tealpond/internal/tune"
)

// Error is the class of faults of the disk.
var Error = errs.Class("disk")

var (
	bMeta = []byte("meta")
	bLog  = []byte("log")
	kID   = []byte("disk")
	kHard = []byte("hard")
	kConf = []byte("founders")
	kPt   = []byte("point")
)

// Disk is an open store of one daemon.
type Disk struct {
	db *bolt.DB
	id string
}

// Close ends the use of a disk on which Run was not called.
func (d *Disk) Close() error { return Error.Wrap(d.db.Close()) }

// Bind keeps the founders' set; a second, other one is refused.
func (d *Disk) Bind(set []raft.Voter, point raft.Point) error {
	raw, err := encode(kConf, set)
	if err != nil {
		return Error.Wrap(err)
	}
	pt, err := encode(kPt, point)
	if err != nil {
		return Error.Wrap(err)
	}
	return d.db.Update(func(tx *bolt.Tx) error {
		m := tx.Bucket(bMeta)
		if m.Get(kConf) != nil {
			return Error.New("already bound")
		}
		if err := m.Put(kConf, raw); err != nil {
			return err
		}
		return m.Put(kPt, pt)
	})
}

// Job is one write. Point with Keep replaces the log up to Keep; Restore
// drops the whole log.
type Job struct {
	Out     raft.Out
	Point   *raft.Point
	Keep    uint64
	Restore bool
}

func key(i uint64) []byte {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], i)
	return b[:]
}

func index(k []byte) uint64 { return binary.BigEndian.Uint64(k) }

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

func (d *Disk) write(jobs []Job) error {
	return d.db.Update(func(tx *bolt.Tx) error {
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
			pt := j.Point
			if j.Out.Point != nil {
				pt = j.Out.Point
			}
			if pt != nil {
				raw, err := encode(kPt, pt)
				if err != nil {
					return err
				}
				if err := m.Put(kPt, raw); err != nil {
					return err
				}
				upTo := pt.Index
				if j.Out.Point != nil {
					// The log is replaced whole: entries above a snapshot that was
					// received need not follow it.
					upTo = last
				}
				if err := deleteUpTo(l, upTo); err != nil {
					return err
				}
				if j.Out.Point != nil {
					last = 0
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
	})
}

// Run writes what comes in, as many jobs as wait in one sync, and gives each
// back in order. A refused write is tried again: nothing may rest on it.
func (d *Disk) Run(ctx context.Context, in <-chan Job, give func([]Job, error)) {
	for {
		var jobs []Job
		select {
		case <-ctx.Done():
			_ = d.db.Close()
			return
		case j := <-in:
			jobs = append(jobs, j)
		}
		for more := true; more && len(jobs) < tune.DiskInbox; {
			select {
			case j := <-in:
				jobs = append(jobs, j)
			default:
				more = false
			}
		}
		for {
			err := d.write(jobs)
			if err == nil {
				give(jobs, nil)
				break
			}
			give(nil, err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
}
