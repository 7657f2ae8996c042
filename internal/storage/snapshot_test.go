package storage

import (
	"bytes"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
	"tealpond/internal/tuning"
)

func randomBytes(seed int64, size int) []byte {
	out := make([]byte, size)
	_, _ = rand.New(rand.NewSource(seed)).Read(out)
	return out
}

// openBytes opens bytes as the file of a daemon that starts.
func openBytes(t *testing.T, b []byte) Recovered {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "tealpond.db"), b, 0o600); err != nil {
		t.Fatal(err)
	}
	d, h, why, err := Open(dir)
	if err != nil || why != "" {
		t.Fatalf("%v %q", err, why)
	}
	_ = d.Close()
	return h
}

// After each transaction of a snapshot, and with any part of the next one
// written but not synced, the old snapshot or the new one is whole, each with
// the log that follows it.
func TestCrashDuringSnapshotLeavesOldOrNewOne(t *testing.T) {
	old := raft.Snapshot{Index: 100, Term: 1, Data: randomBytes(1, 3<<20)}
	for name, c := range map[string]struct {
		jobs    []WriteRequest
		point   raft.Snapshot
		entries int
	}{
		"of one's own": {[]WriteRequest{{LocalSnapshot: &raft.Snapshot{Index: 150, Term: 1, Data: randomBytes(2, 5<<20)}}, {Ready: raft.Ready{Entries: entries(201, 220, 1)}}},
			raft.Snapshot{Index: 150, Data: randomBytes(2, 5<<20)}, 70},
		"received": {[]WriteRequest{{Ready: raft.Ready{Entries: entries(201, 210, 1)}}, {Ready: raft.Ready{Snapshot: &raft.Snapshot{Index: 500, Term: 4, Data: randomBytes(3, 4<<20)}, Entries: entries(501, 503, 4)}}},
			raft.Snapshot{Index: 500, Data: randomBytes(3, 4<<20)}, 3},
		"received during one of one's own": {[]WriteRequest{{LocalSnapshot: &raft.Snapshot{Index: 150, Term: 1, Data: randomBytes(2, 5<<20)}}, {Ready: raft.Ready{Snapshot: &raft.Snapshot{Index: 500, Term: 4, Data: randomBytes(3, 4<<20)}}}},
			raft.Snapshot{Index: 500, Data: randomBytes(3, 4<<20)}, 0},
		"small": {[]WriteRequest{{LocalSnapshot: &raft.Snapshot{Index: 200, Term: 1, Data: []byte("state")}}}, raft.Snapshot{Index: 200, Data: []byte("state")}, 0},
		"empty": {[]WriteRequest{{LocalSnapshot: &raft.Snapshot{Index: 200, Term: 1}}}, raft.Snapshot{Index: 200}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "tealpond.db")
			d, _ := reopen(t, nil, dir)
			mustWrite(t, d, WriteRequest{Ready: raft.Ready{Entries: entries(1, 200, 1)}}, WriteRequest{LocalSnapshot: &old})
			rnd := rand.New(rand.NewSource(7))
			before, switched, steps := mustReadFile(t, path), false, 0
			look := func(b []byte, may bool) bool {
				h := openBytes(t, b)
				isNew := h.Snapshot.Index == c.point.Index && bytes.Equal(h.Snapshot.Data, c.point.Data)
				isOld := h.Snapshot.Index == old.Index && bytes.Equal(h.Snapshot.Data, old.Data) && len(h.Entries) >= 100
				if !isOld && !(may && isNew) {
					t.Fatalf("step %d: snapshot of %d with %d bytes, %d entries", steps, h.Snapshot.Index, len(h.Snapshot.Data), len(h.Entries))
				}
				return isNew
			}
			d.commit = func(f func(*bolt.Tx) error) error {
				if err := d.db.Update(f); err != nil {
					return err
				}
				steps++
				after := mustReadFile(t, path)
				torn := append([]byte(nil), after...)
				copy(torn[:8192], before[:8192]) // the meta page is written last
				look(torn, switched)
				for at := 8192; at < len(before); at += 4096 {
					if rnd.Intn(2) == 0 {
						copy(torn[at:at+4096], before[at:])
					}
				}
				look(torn, switched)
				isNew := look(after, true)
				if switched && !isNew {
					t.Fatal("the old snapshot is back")
				}
				before, switched = after, isNew
				return nil
			}
			mustWrite(t, d, c.jobs...)
			if !switched {
				t.Fatal("the new snapshot was never in force")
			}
			if most := len(c.point.Data)/(tuning.SnapshotFrameBytes*tuning.SnapshotFramesPerTransaction) + 7; steps > most {
				t.Errorf("%d transactions, want %d at most", steps, most)
			}
			d, h := reopen(t, d, dir)
			if h.Snapshot.Index != c.point.Index || !bytes.Equal(h.Snapshot.Data, c.point.Data) || len(h.Entries) != c.entries {
				t.Fatalf("%d, %d entries", h.Snapshot.Index, len(h.Entries))
			}
			// A generation that a crash left half written is gone with the next.
			mustWrite(t, d, WriteRequest{Ready: raft.Ready{Snapshot: &raft.Snapshot{Index: 900, Term: 9, Data: randomBytes(4, 100)}}})
			_, h = reopen(t, d, dir)
			if h.Snapshot.Index != 900 || !bytes.Equal(h.Snapshot.Data, randomBytes(4, 100)) || len(h.Entries) != 0 {
				t.Fatalf("%d, %d entries", h.Snapshot.Index, len(h.Entries))
			}
		})
	}
}

func TestCorruptSnapshotFrameGetsNewIdentity(t *testing.T) {
	for name, f := range map[string]func(frames *bolt.Bucket) error{
		"changed": func(b *bolt.Bucket) error {
			raw := bytes.Clone(b.Get(encodeKey(2)))
			raw[500] ^= 4
			return b.Put(encodeKey(2), raw)
		},
		"lost":      func(b *bolt.Bucket) error { return b.Delete(encodeKey(2)) },
		"last lost": func(b *bolt.Bucket) error { return b.Delete(encodeKey(4)) },
		"swapped":   func(b *bolt.Bucket) error { return b.Put(encodeKey(2), bytes.Clone(b.Get(encodeKey(1)))) },
		"one too many": func(b *bolt.Bucket) error {
			return b.Put(encodeKey(5), withChecksum(encodeKey(5), []byte("more")))
		},
		"of another snapshot": func(b *bolt.Bucket) error {
			return b.Put(encodeKey(2), withChecksum(encodeKey(2), randomBytes(9, tuning.SnapshotFrameBytes)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			d, first := reopen(t, nil, dir)
			mustWrite(t, d, WriteRequest{Ready: raft.Ready{Snapshot: &raft.Snapshot{Index: 7, Term: 1, Data: randomBytes(1, 300<<10)}}})
			if err := d.db.Update(func(tx *bolt.Tx) error { return f(tx.Bucket(bucketSnapshots).Bucket(encodeKey(d.snapshotGeneration))) }); err != nil {
				t.Fatal(err)
			}
			_ = d.Close()
			d, h, why, err := Open(dir)
			if err != nil || why == "" || h.ID == first.ID || h.Snapshot.Index != 0 {
				t.Fatalf("%v %q %d", err, why, h.Snapshot.Index)
			}
			_ = d.Close()
		})
	}
}

// The file must not grow with the number of snapshots: what is freed is used
// again.
func TestFileStaysBoundedOverManySnapshots(t *testing.T) {
	const size, rounds, each = 1 << 20, 300, 300
	dir := t.TempDir()
	path := filepath.Join(dir, "tealpond.db")
	d, _ := reopen(t, nil, dir)
	rnd := rand.New(rand.NewSource(3))
	sizes, last := map[int]int{}, uint64(0)
	d.db.NoSync, d.db.NoGrowSync = true, false
	for round := 1; round <= rounds; round++ {
		es := entries(last+1, last+each, 1)
		for i := range es {
			es[i].Data = make([]byte, rnd.Intn(1500))
		}
		last += each
		mustWrite(t, d, WriteRequest{Ready: raft.Ready{Entries: es[:each/2]}})
		mustWrite(t, d, WriteRequest{LocalSnapshot: &raft.Snapshot{Index: last - each/2, Term: 1, Data: randomBytes(int64(round), size+rnd.Intn(size/2))}}, WriteRequest{Ready: raft.Ready{Entries: es[each/2:]}})
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		sizes[round] = int(info.Size())
	}
	t.Logf("file of snapshots of 1 to 1.5 MB and 300 entries: %d KB after 10, %d KB after 100, %d KB after %d", sizes[10]>>10, sizes[100]>>10, sizes[rounds]>>10, rounds)
	if sizes[rounds] > 16<<20 || sizes[rounds] > 2*sizes[10] {
		t.Errorf("it grew from %d to %d bytes", sizes[10], sizes[rounds])
	}
	if _, h := reopen(t, d, dir); h.Snapshot.Index != last-each/2 || len(h.Entries) != each/2 {
		t.Fatalf("%d, %d entries", h.Snapshot.Index, len(h.Entries))
	}
}
