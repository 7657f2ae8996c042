// Package storage keeps a core daemon's identity, votes, log and snapshot in one
// bbolt file, written by one task.
//
// Layout: bucket meta (identity, hard state, founders, head of the snapshot),
// bucket log (an entry for each index), bucket snapshots (a bucket of frames
// for each generation). Each record carries a checksum. The package never
// changes a file that it can't read: it puts one that is provably torn aside,
// and leaves all others as they are and says that the disk does not serve.
package storage

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
	bucketMeta        = []byte("meta")
	bucketLog         = []byte("log")
	keyIdentity       = []byte("disk")
	keyHardState      = []byte("hard")
	keyFounders       = []byte("founders")
	keyLegacySnapshot = []byte("point") // a snapshot in one record, as founding and earlier versions write it
	keySnapshotHeader = []byte("snapshot")
	bucketSnapshots   = []byte("snapshots") // read after bucketMeta: buckets stand in the order of their names
)

// Store is an open store of one daemon.
type Store struct {
	db                 *bolt.DB
	commit             func(func(*bolt.Tx) error) error
	snapshotGeneration uint64                    // of the snapshot in force
	lastProgress       atomic.Pointer[time.Time] // of the last progress while work waits, or nil
}

// Close ends the use of a disk on which Run was not called.
func (s *Store) Close() error { return Error.Wrap(s.db.Close()) }

// Bootstrap keeps the founders' set; a second, other one is refused.
func (s *Store) Bootstrap(founders []raft.Member, snapshot raft.Snapshot) error {
	encodedFounders, err := encodeRecord(keyFounders, founders)
	if err != nil {
		return Error.Wrap(err)
	}
	encodedSnapshot, err := encodeRecord(keyLegacySnapshot, snapshot)
	if err != nil {
		return Error.Wrap(err)
	}
	return s.db.Update(func(tx *bolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta.Get(keyFounders) != nil {
			return Error.New("already bound")
		}
		if err := meta.Put(keyFounders, encodedFounders); err != nil {
			return err
		}
		return meta.Put(keyLegacySnapshot, encodedSnapshot)
	})
}
