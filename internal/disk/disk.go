// Package disk keeps a core daemon's identity, log and checkpoint in bbolt,
// written by one task.
package disk

import (
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
)

// Error is the class of faults of the disk.
var Error = errs.Class("disk")

var (
	bMeta = []byte("meta")
	bLog  = []byte("log")
	kID   = []byte("disk")
	kHard = []byte("hard")
	kConf = []byte("founders")
	kPt   = []byte("point") // a snapshot in one record, as founding and earlier versions write it
	kSnap = []byte("snapshot")
	bSnap = []byte("snapshots") // read after bMeta: buckets stand in the order of their names
)

// Disk is an open store of one daemon.
type Disk struct {
	db         *bolt.DB
	update     func(func(*bolt.Tx) error) error
	generation uint64                    // of the snapshot in force
	since      atomic.Pointer[time.Time] // of the last progress while work waits, or nil
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
