package storage

import (
	"bytes"
	"encoding/binary"
	"io"
	"slices"
	"strings"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/tally"
)

// talliesFileName is the name of the file of the tallies, which are not in the Raft log.
const talliesFileName = "tallies.db"

// Layout of the file: the bucket "meta" holds the origin of the file and the number of its adds.
// The bucket "runs" holds a bucket for each origin, with each add under its number (8 bytes,
// big-endian). Files of earlier versions hold all adds in the bucket "adds" instead, each
// under its origin, a zero byte and its number. They can be read, and new adds are written in the
// new format.
var (
	bucketRuns       = []byte("runs")
	bucketLegacyAdds = []byte("adds")
	keyOrigin        = []byte("origin")
	keyCount         = []byte("count")
)

const (
	// numberBytes is the length of the number of an add in a key.
	numberBytes = 8
	// talliesGrowth is the number of bytes by which the file grows at a time. The limit of the file is a
	// quarter of a disk of a few hundred megabytes, so it grows in small steps.
	talliesGrowth = 1 << 20
	// appendFillPercent is the fill factor of pages: the adds of an origin are appended in order.
	appendFillPercent = 0.95
)

// Tallies is the open tallies file of a replica. It is not safe for concurrent use.
type Tallies struct {
	db     *bolt.DB
	count  uint64 // number of adds in the file
	origin string // to be written with the next adds; empty if it is already stored
}

// RecoveredTallies is the content of the tallies file when it was opened.
type RecoveredTallies struct {
	// Origin is the origin of this file. It is stored with the first adds.
	Origin string
	Runs   []tally.Run
	// Bytes is the size of the pages in use.
	Bytes int64
	// QuarantineReason is the reason why an earlier file was quarantined; empty if none was. Its adds must be
	// fetched from the other replicas, as after the loss of a disk.
	QuarantineReason string
	// LastWriteLost reports that one of the two meta pages is invalid. Either power failed during
	// the last write, which then was never acknowledged, or the page was corrupted later and the adds
	// of the last write are missing. They are fetched from other replicas, and the file continues under
	// a new origin, so that no number is assigned twice.
	LastWriteLost bool
	// Created reports that there was no file, or one to which nothing had ever been written.
	Created bool
}

// OpenTallies opens the tallies file in a directory, or creates it, and reads its content. As with
// Open, a valid file is opened without a write, a provably corrupt one is quarantined, and
// any other fault may be transient and leaves the files unchanged.
func OpenTallies(dir string) (*Tallies, RecoveredTallies, error) {
	return osFileSystem.openTallies(dir)
}

func (fs fileSystem) openTallies(dir string) (*Tallies, RecoveredTallies, error) {
	content := &tallyContent{}
	opened, err := fs.openChecked(dir, talliesFileName, content)
	if err != nil {
		return nil, RecoveredTallies{}, err
	}
	opened.db.AllocSize = talliesGrowth
	recovered := RecoveredTallies{
		Origin: content.origin, Runs: content.runs, Bytes: content.bytes,
		QuarantineReason: opened.quarantineReason, LastWriteLost: content.lastWriteLost,
		Created: opened.created && opened.quarantineReason == "",
	}
	file := &Tallies{db: opened.db, count: content.adds}
	if recovered.Origin == "" || recovered.LastWriteLost {
		file.origin = newIdentity()
		recovered.Origin = file.origin
	}
	return file, recovered, nil
}

// tallyContent is the content of the tallies file.
type tallyContent struct {
	origin        string
	runs          []tally.Run // one for each origin, ordered by origin
	byOrigin      map[string]int
	adds          uint64
	count         *uint64 // number of adds as stored in the file; nil in files of earlier versions
	bytes         int64
	lastWriteLost bool
}

// initialize creates the buckets of a new file.
func (c *tallyContent) initialize(tx *bolt.Tx) error {
	if _, err := tx.CreateBucket(bucketMeta); err != nil {
		return err
	}
	_, err := tx.CreateBucket(bucketRuns)
	return err
}

// isUnused reports whether the file holds neither adds nor an origin.
func (c *tallyContent) isUnused() bool { return c.adds == 0 && c.origin == "" }

// read verifies and reads a whole file.
func (c *tallyContent) read(reader io.ReaderAt, size int64) (boltMeta, error) {
	*c = tallyContent{byOrigin: map[string]int{}}
	if size == 0 {
		return boltMeta{}, errUninitialized
	}
	buckets := 0
	meta, err := walkFile(reader, size, func(bucket string, key, value []byte) error {
		if key == nil {
			buckets++
		}
		return c.readRecord(bucket, key, value)
	})
	if err != nil {
		return meta, err
	}
	if buckets == 0 {
		return meta, errUninitialized
	}
	if c.count != nil && *c.count != c.adds {
		return meta, corrupt("adds", "found %d adds, want %d", c.adds, *c.count)
	}
	c.bytes = int64(meta.highWaterMark) * meta.pageSize
	bothValid, err := hasBothMetas(reader, size, meta.pageSize)
	c.lastWriteLost = !bothValid
	slices.SortFunc(c.runs, func(a, b tally.Run) int { return strings.Compare(a.Origin, b.Origin) })
	return meta, err
}

// readRecord processes one record. At the start of a bucket the key is nil.
func (c *tallyContent) readRecord(bucket string, key, value []byte) error {
	originName, isRun := strings.CutPrefix(bucket, "/"+string(bucketRuns)+"/")
	switch {
	case key == nil:
		return nil
	case bucket == "/"+string(bucketMeta):
		return c.readMeta(key, value)
	case isRun && len(key) == numberBytes:
		number := binary.BigEndian.Uint64(key)
		var add tally.Add
		if err := decodeRecord(addKey(originName, number), value, &add); err != nil {
			return err
		}
		return c.appendAdd(originName, number, add)
	case bucket == "/"+string(bucketLegacyAdds):
		return c.readLegacyAdd(key, value)
	}
	return corrupt("bucket", "%q: invalid key %x", bucket, key)
}

// readMeta decodes a record of the bucket "meta".
func (c *tallyContent) readMeta(key, value []byte) error {
	switch {
	case bytes.Equal(key, keyOrigin):
		return decodeRecord(key, value, &c.origin)
	case bytes.Equal(key, keyCount):
		c.count = new(uint64)
		return decodeRecord(key, value, c.count)
	}
	return corrupt("meta", "unknown key %q", key)
}

// legacyAdd is an add in the format of earlier versions, with the ID given by the caller.
type legacyAdd struct {
	_      struct{} `cbor:",toarray"`
	Tally  string
	ID     string
	Amount int64
}

// readLegacyAdd decodes an add in the format of earlier versions.
func (c *tallyContent) readLegacyAdd(key, value []byte) error {
	end := len(key) - numberBytes - 1
	if end < 0 || key[end] != 0 || bytes.IndexByte(key[:end], 0) >= 0 {
		return corrupt("adds", "invalid key %x", key)
	}
	var add legacyAdd
	if err := decodeRecord(key, value, &add); err != nil {
		return err
	}
	converted := tally.Add{Tally: add.Tally, ID: tally.NewID(add.Tally, add.ID), Amount: add.Amount}
	return c.appendAdd(string(key[:end]), binary.BigEndian.Uint64(key[end+1:]), converted)
}

// appendAdd appends an add to the run of its origin. The numbers of an origin have no gap: a gap
// would mean that records were lost which other replicas rely on.
func (c *tallyContent) appendAdd(originName string, number uint64, add tally.Add) error {
	index, known := c.byOrigin[originName]
	if !known {
		index = len(c.runs)
		c.byOrigin[originName] = index
		c.runs = append(c.runs, tally.Run{Origin: originName, First: 1})
	}
	run := &c.runs[index]
	if number != run.Last()+1 {
		return corrupt("adds", "%q: add %d follows %d", originName, number, run.Last())
	}
	run.Adds = append(run.Adds, add)
	c.adds++
	return nil
}

// addKey returns the key that the checksum of an add covers.
func addKey(originName string, number uint64) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(originName), 0), number)
}

// Append writes runs of adds and returns once they are synced. An add replaces a stored add of the
// same origin and number. Append returns the size of the file in bytes.
func (t *Tallies) Append(runs []tally.Run) (size int64, err error) {
	count := t.count
	err = t.db.Update(func(tx *bolt.Tx) error {
		count = t.count
		runsBucket, err := tx.CreateBucketIfNotExists(bucketRuns)
		if err != nil {
			return err
		}
		for _, run := range runs {
			if err := migrateLegacyAdds(tx, runsBucket, run.Origin); err != nil {
				return err
			}
			added, err := putRun(runsBucket, run)
			if err != nil {
				return err
			}
			count += added
		}
		size = tx.Size()
		return t.putMeta(tx, count)
	})
	if err != nil {
		return 0, Error.Wrap(err)
	}
	t.count, t.origin = count, ""
	return size, nil
}

// putMeta writes the number of adds, and the origin if it is not stored yet.
func (t *Tallies) putMeta(tx *bolt.Tx, count uint64) error {
	meta, err := tx.CreateBucketIfNotExists(bucketMeta)
	if err != nil {
		return err
	}
	if t.origin != "" {
		record, err := encodeRecord(keyOrigin, t.origin)
		if err != nil {
			return err
		}
		if err := meta.Put(keyOrigin, record); err != nil {
			return err
		}
	}
	record, err := encodeRecord(keyCount, count)
	if err != nil {
		return err
	}
	return meta.Put(keyCount, record)
}

// migrateLegacyAdds rewrites the adds of an origin from the format of earlier versions into the
// new one, so that a single add can be replaced.
func migrateLegacyAdds(tx *bolt.Tx, runsBucket *bolt.Bucket, originName string) error {
	legacyBucket := tx.Bucket(bucketLegacyAdds)
	if legacyBucket == nil {
		return nil
	}
	content := &tallyContent{byOrigin: map[string]int{}}
	var keys [][]byte
	prefix := append([]byte(originName), 0)
	cursor := legacyBucket.Cursor()
	for key, value := cursor.Seek(prefix); bytes.HasPrefix(key, prefix); key, value = cursor.Next() {
		if err := content.readLegacyAdd(key, value); err != nil {
			return err
		}
		keys = append(keys, bytes.Clone(key))
	}
	for _, run := range content.runs {
		if _, err := putRun(runsBucket, run); err != nil {
			return err
		}
	}
	for _, key := range keys {
		if err := legacyBucket.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// putRun writes a run and returns the number of its adds that were not stored yet.
func putRun(runsBucket *bolt.Bucket, run tally.Run) (added uint64, err error) {
	bucket, err := runsBucket.CreateBucketIfNotExists([]byte(run.Origin))
	if err != nil {
		return 0, err
	}
	bucket.FillPercent = appendFillPercent
	for i, add := range run.Adds {
		number := run.First + uint64(i)
		record, err := encodeRecord(addKey(run.Origin, number), add)
		if err != nil {
			return 0, err
		}
		key := binary.BigEndian.AppendUint64(nil, number)
		if bucket.Get(key) == nil {
			added++
		}
		if err := bucket.Put(key, record); err != nil {
			return 0, err
		}
	}
	return added, nil
}

// Close closes the file.
func (t *Tallies) Close() error { return Error.Wrap(t.db.Close()) }
