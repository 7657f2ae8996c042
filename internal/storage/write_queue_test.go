package storage

import (
	"bytes"
	"syscall"
	"testing"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
)

// logIndexes lists the entries that stand in the file.
func (s *Store) logIndexes(t *testing.T) (out []uint64) {
	t.Helper()
	err := s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketLog).ForEach(func(k, _ []byte) error {
			out = append(out, decodeKey(k))
			return nil
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Thousands of entries over many pages: each deletion takes exactly its range.
// A cursor that deletes and goes on may pass over the key that moved up.
func TestLogDeletionsAreExact(t *testing.T) {
	const most = 6000
	for _, c := range []struct {
		name     string
		job      WriteRequest
		from, to uint64
	}{
		{"snapshot of one's own", WriteRequest{LocalSnapshot: &raft.Snapshot{Index: 4321, Term: 1}}, 4322, most},
		{"of almost all", WriteRequest{LocalSnapshot: &raft.Snapshot{Index: most - 1, Term: 1}}, most, most},
		{"of all", WriteRequest{LocalSnapshot: &raft.Snapshot{Index: most, Term: 1}}, most + 1, most},
		{"received snapshot", WriteRequest{Ready: raft.Ready{Snapshot: &raft.Snapshot{Index: 3000, Term: 1}}}, 1, 0},
		{"received snapshot and entries", WriteRequest{Ready: raft.Ready{Snapshot: &raft.Snapshot{Index: 3000, Term: 1}, Entries: entries(3001, 3005, 1)}}, 3001, 3005},
		{"entries and received snapshot in one write", WriteRequest{Ready: raft.Ready{Entries: entries(most+1, most+900, 1)}, LocalSnapshot: &raft.Snapshot{Index: 7000, Term: 2}}, 7001, 7000},
		{"entries and snapshot in one write", WriteRequest{Ready: raft.Ready{Entries: entries(most+1, most+900, 1)}, LocalSnapshot: &raft.Snapshot{Index: most + 500, Term: 1}}, most + 501, most + 900},
		{"overwritten from", WriteRequest{Ready: raft.Ready{Entries: entries(17, 18, 2)}}, 1, 18},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			d, _ := reopen(t, nil, dir)
			for i := uint64(1); i <= most; i += 1000 {
				es := entries(i, i+999, 1)
				for k := range es {
					// Sizes differ, so that pages hold from few to many entries.
					es[k].Data = make([]byte, int(es[k].Index*37%900))
				}
				mustWrite(t, d, WriteRequest{Ready: raft.Ready{Entries: es}})
			}
			if p := c.job.LocalSnapshot; p != nil && p.Term == 2 {
				mustWrite(t, d, WriteRequest{Ready: c.job.Ready}, WriteRequest{Ready: raft.Ready{Snapshot: p}})
			} else if p != nil && c.job.Ready.Entries != nil {
				mustWrite(t, d, WriteRequest{Ready: c.job.Ready}, WriteRequest{LocalSnapshot: p})
			} else {
				mustWrite(t, d, c.job)
			}
			got := d.logIndexes(t)
			if uint64(len(got)) != c.to+1-c.from {
				t.Fatalf("%d entries left, want %d to %d", len(got), c.from, c.to)
			}
			for i, g := range got {
				if g != c.from+uint64(i) {
					t.Fatalf("place %d holds %d, want %d", i, g, c.from+uint64(i))
				}
			}
			reopen(t, d, dir)
		})
	}
}

// A sync may fail though the write was made: the transaction is then there, and
// is done again on top of itself. The outcome is the same as of doing it once.
func TestRepeatedTransactionsAreIdempotent(t *testing.T) {
	dir := t.TempDir()
	d, _ := reopen(t, nil, dir)
	odd := false
	d.commit = func(f func(*bolt.Tx) error) error {
		if err := d.db.Update(f); err != nil {
			return err
		}
		if odd = !odd; odd {
			return syscall.EIO
		}
		return nil
	}
	var q writeQueue
	q.add(WriteRequest{Ready: raft.Ready{HardState: &raft.HardState{Term: 2}, Entries: entries(1, 90, 1)}}, WriteRequest{LocalSnapshot: &raft.Snapshot{Index: 50, Term: 1, Data: randomBytes(1, 5<<20)}},
		WriteRequest{Ready: raft.Ready{Entries: entries(80, 85, 2)}}, WriteRequest{LocalSnapshot: &raft.Snapshot{Index: 60, Term: 1, Data: randomBytes(2, 100)}},
		WriteRequest{Ready: raft.Ready{Snapshot: &raft.Snapshot{Index: 200, Term: 2, Data: randomBytes(3, 3<<20)}, Entries: entries(201, 210, 2)}}, WriteRequest{Ready: raft.Ready{Entries: entries(211, 212, 2)}})
	done := 0
	for !q.empty() {
		js, err := d.commitNext(&q)
		if err != nil && len(js) > 0 {
			t.Fatal("given back though refused")
		}
		done += len(js)
	}
	d, h := reopen(t, d, dir)
	if done != 6 || h.HardState.Term != 2 || h.Snapshot.Index != 200 || !bytes.Equal(h.Snapshot.Data, randomBytes(3, 3<<20)) || len(h.Entries) != 12 {
		t.Fatalf("%d jobs done, %+v, snapshot of %d, %d entries", done, h.HardState, h.Snapshot.Index, len(h.Entries))
	}
	_ = d.Close()
}
