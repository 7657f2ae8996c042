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

// talliesFileName is the file of the tallies, which no log contains.
const talliesFileName = "tallies.db"

// Layout of the file: the bucket "meta" holds the file's origin and the number of its adds,
// the bucket "runs" a bucket for each origin, with an add under its number (8 bytes, the
// highest first). Files of earlier versions have all adds in the bucket "adds" instead, each
// under its origin, a zero byte and its number; they are read, and go on in the new form.
var (
	bucketRuns = []byte("runs")
	bucketAdds = []byte("adds")
	keyOrigin  = []byte("origin")
	keyCount   = []byte("count")
)

const (
	// numberBytes is the length of a number in a key.
	numberBytes = 8
	// talliesGrowth is by how much the file grows at a time, in bytes: its bound is a
	// quarter of a disk of some hundred megabytes.
	talliesGrowth = 1 << 20
	// appendFillPercent is how full pages are made: adds of an origin come in order.
	appendFillPercent = 0.95
)

// Tallies is the open file of a replica's tallies. It is not safe for concurrent use.
type Tallies struct {
	db     *bolt.DB
	count  uint64 // of its adds
	origin string // to be written with the next adds; empty if it is in the file
}

// RecoveredTallies is what the file of the tallies held when it was opened.
type RecoveredTallies struct {
	// Origin is that of this file. It is written with the first adds.
	Origin string
	Runs   []tally.Run
	// Bytes is what the file has in use.
	Bytes int64
	// QuarantineReason says why an earlier file was quarantined; empty if none was. Its adds are
	// to come from the other replicas, as after the loss of a disk.
	QuarantineReason string
	// LastWriteLost: one of the two meta pages is not valid. Either the power was lost during
	// the last write, which then nobody was notified of, or the page has decayed and adds of the
	// last write are missing. They come back from other replicas, and the file goes on under
	// a new origin, so that no number is given twice.
	LastWriteLost bool
	// Created: there was no file, or one to which nothing had ever been written.
	Created bool
}

// OpenTallies opens the file in a directory, or creates it, and reads what it holds. As with
// Open, a good file is opened without a write, one that is provably corrupt is quarantined, and
// any other fault leaves the files as they are and may pass.
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

// tallyContent is the content of the file of the tallies.
type tallyContent struct {
	origin        string
	runs          []tally.Run // in the order of their origins, one of each
	byOrigin      map[string]int
	adds          uint64
	count         *uint64 // as it stands in the file; nil in files of earlier versions
	bytes         int64
	lastWriteLost bool
}

// initialize makes the buckets of a new file.
func (c *tallyContent) initialize(tx *bolt.Tx) error {
	if _, err := tx.CreateBucket(bucketMeta); err != nil {
		return err
	}
	_, err := tx.CreateBucket(bucketRuns)
	return err
}

// isUnused reports whether the file holds nothing yet.
func (c *tallyContent) isUnused() bool { return c.adds == 0 && c.origin == "" }

// read checks and reads a whole file.
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
		return meta, corrupt("adds", "%d, where %d were written", c.adds, *c.count)
	}
	c.bytes = int64(meta.highWaterMark) * meta.pageSize
	bothValid, err := hasBothMetas(reader, size, meta.pageSize)
	c.lastWriteLost = !bothValid
	slices.SortFunc(c.runs, func(a, b tally.Run) int { return strings.Compare(a.Origin, b.Origin) })
	return meta, err
}

// readRecord takes one record; at the start of a bucket the key is nil.
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
		return c.take(originName, number, add)
	case bucket == "/"+string(bucketAdds):
		return c.readEarlierAdd(key, value)
	}
	return corrupt("bucket", "%q: unreadable key %x", bucket, key)
}

// readMeta takes a record of the bucket "meta".
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

// earlierAdd is an add as earlier versions wrote it, with the caller's ID.
type earlierAdd struct {
	_      struct{} `cbor:",toarray"`
	Tally  string
	ID     string
	Amount int64
}

// readEarlierAdd takes an add in the form of earlier versions.
func (c *tallyContent) readEarlierAdd(key, value []byte) error {
	end := len(key) - numberBytes - 1
	if end < 0 || key[end] != 0 || bytes.IndexByte(key[:end], 0) >= 0 {
		return corrupt("adds", "unreadable key %x", key)
	}
	var add earlierAdd
	if err := decodeRecord(key, value, &add); err != nil {
		return err
	}
	taken := tally.Add{Tally: add.Tally, ID: tally.NewID(add.Tally, add.ID), Amount: add.Amount}
	return c.take(string(key[:end]), binary.BigEndian.Uint64(key[end+1:]), taken)
}

// take takes over an add. The numbers of an origin have no gap: one would mean that records
// were lost which other replicas rely on.
func (c *tallyContent) take(originName string, number uint64, add tally.Add) error {
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

// addKey is what the checksum of an add covers beside it.
func addKey(originName string, number uint64) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(originName), 0), number)
}

// Append writes runs of adds, and returns once they are synced. An add at a number that is in
// the file already takes the place of the one there. It gives what the file has in use then, in
// bytes.
func (t *Tallies) Append(runs []tally.Run) (size int64, err error) {
	count := t.count
	err = t.db.Update(func(tx *bolt.Tx) error {
		count = t.count
		runsBucket, err := tx.CreateBucketIfNotExists(bucketRuns)
		if err != nil {
			return err
		}
		for _, run := range runs {
			if err := moveEarlierAdds(tx, runsBucket, run.Origin); err != nil {
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

// putMeta writes the number of adds, and the origin if the file hasn't it yet.
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

// moveEarlierAdds brings an origin's adds that stand in the form of earlier versions into the
// new one, so that one of them can be replaced.
func moveEarlierAdds(tx *bolt.Tx, runsBucket *bolt.Bucket, originName string) error {
	earlier := tx.Bucket(bucketAdds)
	if earlier == nil {
		return nil
	}
	content := &tallyContent{byOrigin: map[string]int{}}
	var keys [][]byte
	prefix := append([]byte(originName), 0)
	cursor := earlier.Cursor()
	for key, value := cursor.Seek(prefix); bytes.HasPrefix(key, prefix); key, value = cursor.Next() {
		if err := content.readEarlierAdd(key, value); err != nil {
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
		if err := earlier.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// putRun writes a run, and gives how many of its adds were not there.
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
