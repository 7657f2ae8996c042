package storage

import (
	"bytes"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
)

// randomBytes returns pseudo-random bytes that depend only on the seed and size.
func randomBytes(seed int64, size int) []byte {
	out := make([]byte, size)
	_, _ = rand.New(rand.NewSource(seed)).Read(out)
	return out
}

// openBytes opens a store file with the given content.
func openBytes(t *testing.T, content []byte) Recovered {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName), content, 0o600); err != nil {
		t.Fatal(err)
	}
	store, recovered, err := Open(dir)
	reason := recovered.QuarantineReason
	if err != nil || reason != "" {
		t.Fatalf("%v %q", err, reason)
	}
	_ = store.Close()
	return recovered
}

// crashChecker opens, after each transaction of a snapshot, the states of the file that a crash
// could have left.
type crashChecker struct {
	t        *testing.T
	path     string
	old, new raft.Snapshot
	random   *rand.Rand
	before   []byte // content of the file after the previous transaction
	switched bool   // the new snapshot is active
	steps    int    // number of transactions so far
}

// openCrashed opens a file, which must hold the old snapshot and its log or, if mayBeNew is set,
// the new snapshot. It reports whether the file holds the new one.
func (c *crashChecker) openCrashed(content []byte, mayBeNew bool) bool {
	c.t.Helper()
	recovered := openBytes(c.t, content)
	isNew := recovered.Snapshot.Index == c.new.Index && bytes.Equal(recovered.Snapshot.Data, c.new.Data)
	isOld := recovered.Snapshot.Index == c.old.Index && bytes.Equal(recovered.Snapshot.Data, c.old.Data) && len(recovered.Entries) >= 100
	isExpected := isOld || mayBeNew && isNew
	if !isExpected {
		c.t.Fatalf("step %d: snapshot of %d with %d bytes, %d entries",
			c.steps, recovered.Snapshot.Index, len(recovered.Snapshot.Data), len(recovered.Entries))
	}
	return isNew
}

// checkTransaction checks the file after a transaction, and the states in which the pages of the
// transaction are written in full or in part but its meta page is not.
func (c *crashChecker) checkTransaction() {
	c.t.Helper()
	const pageSize, metaPages = 4096, 2
	c.steps++
	after := mustReadFile(c.t, c.path)
	torn := bytes.Clone(after)
	copy(torn[:metaPages*pageSize], c.before[:metaPages*pageSize]) // the meta page is written last
	c.openCrashed(torn, c.switched)
	for offset := metaPages * pageSize; offset < len(c.before); offset += pageSize {
		if c.random.Intn(2) == 0 {
			copy(torn[offset:offset+pageSize], c.before[offset:])
		}
	}
	c.openCrashed(torn, c.switched)
	isNew := c.openCrashed(after, true)
	if c.switched && !isNew {
		c.t.Fatal("the old snapshot is active again")
	}
	c.before, c.switched = after, isNew
}

// requireSnapshot fails the test unless a file held the given snapshot and number of entries.
func requireSnapshot(t *testing.T, recovered Recovered, want raft.Snapshot, entries int) {
	t.Helper()
	if recovered.Snapshot.Index != want.Index || !bytes.Equal(recovered.Snapshot.Data, want.Data) || len(recovered.Entries) != entries {
		t.Fatalf("%d, %d entries", recovered.Snapshot.Index, len(recovered.Entries))
	}
}

// TestCrashDuringSnapshotLeavesOldOrNewSnapshot checks that a crash after a transaction of a snapshot,
// or with part of the next one written but not synced, leaves either the old snapshot or the new
// one complete, with the log that follows it.
func TestCrashDuringSnapshotLeavesOldOrNewSnapshot(t *testing.T) {
	old := raft.Snapshot{Index: 100, Term: 1, Data: randomBytes(1, 3<<20)}
	for name, test := range map[string]struct {
		requests []WriteRequest
		want     raft.Snapshot
		entries  int
	}{
		"local": {
			[]WriteRequest{localSnapshot(150, randomBytes(2, 5<<20)), entriesRequest(entries(201, 220, 1)...)},
			raft.Snapshot{Index: 150, Data: randomBytes(2, 5<<20)}, 70,
		},
		"received": {
			[]WriteRequest{
				entriesRequest(entries(201, 210, 1)...),
				receivedSnapshot(500, 4, randomBytes(3, 4<<20), entries(501, 503, 4)...),
			},
			raft.Snapshot{Index: 500, Data: randomBytes(3, 4<<20)}, 3,
		},
		"received during a local one": {
			[]WriteRequest{localSnapshot(150, randomBytes(2, 5<<20)), receivedSnapshot(500, 4, randomBytes(3, 4<<20))},
			raft.Snapshot{Index: 500, Data: randomBytes(3, 4<<20)}, 0,
		},
		"small": {[]WriteRequest{localSnapshot(200, []byte("state"))}, raft.Snapshot{Index: 200, Data: []byte("state")}, 0},
		"empty": {[]WriteRequest{localSnapshot(200, nil)}, raft.Snapshot{Index: 200}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			store, _ := reopen(t, nil, dir)
			mustWrite(t, store, entriesRequest(entries(1, 200, 1)...), WriteRequest{LocalSnapshot: &old})
			path := filepath.Join(dir, fileName)
			checker := &crashChecker{t: t, path: path, old: old, new: test.want, random: rand.New(rand.NewSource(7)), before: mustReadFile(t, path)}
			store.commit = func(transaction func(*bolt.Tx) error) error {
				if err := store.db.Update(transaction); err != nil {
					return err
				}
				checker.checkTransaction()
				return nil
			}
			mustWrite(t, store, test.requests...)
			if !checker.switched {
				t.Fatal("the new snapshot was never active")
			}
			if limit := len(test.want.Data)/(snapshotFrameBytes*snapshotFramesPerTransaction) + 7; checker.steps > limit {
				t.Errorf("%d transactions, want %d at most", checker.steps, limit)
			}
			store, recovered := reopen(t, store, dir)
			requireSnapshot(t, recovered, test.want, test.entries)
			// The next snapshot removes the incomplete generation that a crash left.
			next := raft.Snapshot{Index: 900, Term: 9, Data: randomBytes(4, 100)}
			mustWrite(t, store, WriteRequest{Ready: raft.Ready{Snapshot: &next}})
			_, recovered = reopen(t, store, dir)
			requireSnapshot(t, recovered, next, 0)
		})
	}
}

func TestCorruptSnapshotFrameGetsNewIdentity(t *testing.T) {
	for name, edit := range map[string]func(frames *bolt.Bucket) error{
		"changed": func(frames *bolt.Bucket) error {
			raw := bytes.Clone(frames.Get(encodeKey(2)))
			raw[500] ^= 4
			return frames.Put(encodeKey(2), raw)
		},
		"lost":      func(frames *bolt.Bucket) error { return frames.Delete(encodeKey(2)) },
		"last lost": func(frames *bolt.Bucket) error { return frames.Delete(encodeKey(4)) },
		"swapped": func(frames *bolt.Bucket) error {
			return frames.Put(encodeKey(2), bytes.Clone(frames.Get(encodeKey(1))))
		},
		"one too many": func(frames *bolt.Bucket) error {
			return frames.Put(encodeKey(5), withChecksum(encodeKey(5), []byte("more")))
		},
		"of another snapshot": func(frames *bolt.Bucket) error {
			return frames.Put(encodeKey(2), withChecksum(encodeKey(2), randomBytes(9, snapshotFrameBytes)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			store, first := reopen(t, nil, dir)
			mustWrite(t, store, receivedSnapshot(7, 1, randomBytes(1, 300<<10)))
			if err := store.db.Update(func(tx *bolt.Tx) error {
				return edit(tx.Bucket(bucketSnapshots).Bucket(encodeKey(store.snapshotGeneration)))
			}); err != nil {
				t.Fatal(err)
			}
			_ = store.Close()
			store, recovered, err := Open(dir)
			reason := recovered.QuarantineReason
			if err != nil || reason == "" || recovered.ID == first.ID || recovered.Snapshot.Index != 0 {
				t.Fatalf("%v %q %d", err, reason, recovered.Snapshot.Index)
			}
			_ = store.Close()
		})
	}
}

// TestFileStaysBoundedOverManySnapshots checks that the file does not grow with the number of
// snapshots, since freed pages are reused.
func TestFileStaysBoundedOverManySnapshots(t *testing.T) {
	const size, rounds, each = 1 << 20, 300, 300
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	store, _ := reopen(t, nil, dir)
	random := rand.New(rand.NewSource(3))
	sizes, last := map[int]int{}, uint64(0)
	store.db.NoSync, store.db.NoGrowSync = true, false
	for round := 1; round <= rounds; round++ {
		batch := entries(last+1, last+each, 1)
		for i := range batch {
			batch[i].Data = make([]byte, random.Intn(1500))
		}
		last += each
		mustWrite(t, store, entriesRequest(batch[:each/2]...))
		data := randomBytes(int64(round), size+random.Intn(size/2))
		mustWrite(t, store, localSnapshot(last-each/2, data), entriesRequest(batch[each/2:]...))
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		sizes[round] = int(info.Size())
	}
	t.Logf("file of snapshots of 1 to 1.5 MB and 300 entries: %d KB after 10, %d KB after 100, %d KB after %d",
		sizes[10]>>10, sizes[100]>>10, sizes[rounds]>>10, rounds)
	if sizes[rounds] > 16<<20 || sizes[rounds] > 2*sizes[10] {
		t.Errorf("the file grew from %d to %d bytes", sizes[10], sizes[rounds])
	}
	if _, recovered := reopen(t, store, dir); recovered.Snapshot.Index != last-each/2 || len(recovered.Entries) != each/2 {
		t.Fatalf("%d, %d entries", recovered.Snapshot.Index, len(recovered.Entries))
	}
}
