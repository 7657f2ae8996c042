package storage

import (
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
)

// Error is the class of disk errors.
var Error = errs.Class("disk")

// Names of buckets and keys. They are part of the file format, so some differ from the names in the code.
var (
	bucketMeta        = []byte("meta")
	bucketLog         = []byte("log")
	bucketSnapshots   = []byte("snapshots") // read after bucketMeta, since bbolt orders buckets by name
	keyIdentity       = []byte("disk")
	keyHardState      = []byte("hard")
	keyFounders       = []byte("founders")
	keyFirstStart     = []byte("first-start")
	keyCommit         = []byte("commit")
	keySnapshotHeader = []byte("snapshot")
	// keyLegacySnapshot holds a whole snapshot in one record, as written by Bootstrap and
	// by earlier versions.
	keyLegacySnapshot = []byte("point")
)

// Store is the open file of one daemon. Its methods, except WriteLag, are not
// safe for concurrent use.
type Store struct {
	db                 *bolt.DB
	commit             func(func(*bolt.Tx) error) error // runs a transaction and syncs it
	snapshotGeneration uint64                           // of the active snapshot
	lastProgress       atomic.Pointer[time.Time]        // see WriteLag; nil while no request waits
}

// AfterSync registers a function that Run calls after each commit attempt, before it reports the result.
func (s *Store) AfterSync(synced func()) {
	commit := s.commit
	s.commit = func(transaction func(*bolt.Tx) error) error {
		err := commit(transaction)
		synced()
		return err
	}
}

// Close closes a store on which Run was not called.
func (s *Store) Close() error { return Error.Wrap(s.db.Close()) }

// MarkFirstStart records durably that the file was created when the whole system started
// for the first time.
func (s *Store) MarkFirstStart() error {
	encoded, err := encodeRecord(keyFirstStart, true)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(s.db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyFirstStart, encoded) }))
}

// Bootstrap stores the founders of a cluster and its first snapshot. It fails if
// founders are already stored.
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
			return Error.New("already bootstrapped")
		}
		if err := meta.Put(keyFounders, encodedFounders); err != nil {
			return err
		}
		return meta.Put(keyLegacySnapshot, encodedSnapshot)
	})
}
