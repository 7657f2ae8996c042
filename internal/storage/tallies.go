package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"path/filepath"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/tally"
	"tealpond/internal/tuning"
)

// talliesFileName is the file of the tallies, which no log contains.
const talliesFileName = "tallies.db"

// bucketAdds has each add under its origin, a zero byte and its number (8 bytes, the highest
// first).
var bucketAdds = []byte("adds")

// numberBytes is the length of a number in a key.
const numberBytes = 8

// Tallies is the open file of a replica's tallies. It is not safe for concurrent use.
type Tallies struct{ db *bolt.DB }

// OpenTallies opens the file in a directory, or creates it, and reads what it holds.
func OpenTallies(dir string) (*Tallies, []tally.Run, error) {
	db, err := bolt.Open(filepath.Join(dir, talliesFileName), fileMode, &bolt.Options{
		Timeout:        tuning.StorageLockTimeout,
		NoFreelistSync: true,
		FreelistType:   bolt.FreelistMapType,
	})
	if err != nil {
		return nil, nil, unavailable("open", err)
	}
	var runs []tally.Run
	err = db.Update(func(tx *bolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(bucketAdds)
		if err != nil {
			return err
		}
		runs, err = readRuns(bucket)
		return err
	})
	if err == nil {
		err = syncDirectory(dir)
	}
	if err != nil {
		_ = db.Close()
		return nil, nil, Error.Wrap(err)
	}
	return &Tallies{db}, runs, nil
}

// readRuns reads all adds. They are in the order of origins and numbers.
func readRuns(bucket *bolt.Bucket) ([]tally.Run, error) {
	var runs []tally.Run
	err := bucket.ForEach(func(key, value []byte) error {
		origin, number, ok := splitAddKey(key)
		if !ok {
			return fmt.Errorf("tallies: unreadable key %x", key)
		}
		var add tally.Add
		if err := decodeRecord(key, value, &add); err != nil {
			return err
		}
		if len(runs) == 0 || runs[len(runs)-1].Origin != origin {
			runs = append(runs, tally.Run{Origin: origin, First: number})
		}
		last := &runs[len(runs)-1]
		last.Adds = append(last.Adds, add)
		return nil
	})
	return runs, err
}

// addKey is the key of an add.
func addKey(origin string, number uint64) []byte {
	key := append([]byte(origin), 0)
	return binary.BigEndian.AppendUint64(key, number)
}

// splitAddKey gives the parts of a key; false if it is none.
func splitAddKey(key []byte) (origin string, number uint64, ok bool) {
	end := len(key) - numberBytes - 1
	if end < 0 || key[end] != 0 || bytes.IndexByte(key[:end], 0) >= 0 {
		return "", 0, false
	}
	return string(key[:end]), binary.BigEndian.Uint64(key[end+1:]), true
}

// Append writes runs of adds, and returns once they are synced.
func (t *Tallies) Append(runs []tally.Run) error {
	return Error.Wrap(t.db.Update(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(bucketAdds)
		for _, run := range runs {
			for i, add := range run.Adds {
				key := addKey(run.Origin, run.First+uint64(i))
				record, err := encodeRecord(key, add)
				if err != nil {
					return err
				}
				if err := bucket.Put(key, record); err != nil {
					return err
				}
			}
		}
		return nil
	}))
}

// Close closes the file.
func (t *Tallies) Close() error { return Error.Wrap(t.db.Close()) }
