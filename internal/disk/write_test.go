package disk

import (
	"bytes"
	"syscall"
	"testing"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
)

// indexes lists the entries that stand in the file.
func (d *Disk) indexes(t *testing.T) (out []uint64) {
	t.Helper()
	err := d.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bLog).ForEach(func(k, _ []byte) error {
			out = append(out, index(k))
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
func TestDeletionsAreExact(t *testing.T) {
	const most = 6000
	for _, c := range []struct {
		name     string
		job      Job
		from, to uint64
	}{
		{"snapshot of one's own", Job{Point: &raft.Point{Index: 4321, Term: 1}}, 4322, most},
		{"of almost all", Job{Point: &raft.Point{Index: most - 1, Term: 1}}, most, most},
		{"of all", Job{Point: &raft.Point{Index: most, Term: 1}}, most + 1, most},
		{"received snapshot", Job{Out: raft.Out{Point: &raft.Point{Index: 3000, Term: 1}}}, 1, 0},
		{"received snapshot and entries", Job{Out: raft.Out{Point: &raft.Point{Index: 3000, Term: 1}, Entries: entries(3001, 3005, 1)}}, 3001, 3005},
		{"entries and received snapshot in one write", Job{Out: raft.Out{Entries: entries(most+1, most+900, 1)}, Point: &raft.Point{Index: 7000, Term: 2}}, 7001, 7000},
		{"entries and snapshot in one write", Job{Out: raft.Out{Entries: entries(most+1, most+900, 1)}, Point: &raft.Point{Index: most + 500, Term: 1}}, most + 501, most + 900},
		{"overwritten from", Job{Out: raft.Out{Entries: entries(17, 18, 2)}}, 1, 18},
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
				write(t, d, Job{Out: raft.Out{Entries: es}})
			}
			if p := c.job.Point; p != nil && p.Term == 2 {
				write(t, d, Job{Out: c.job.Out}, Job{Out: raft.Out{Point: p}})
			} else if p != nil && c.job.Out.Entries != nil {
				write(t, d, Job{Out: c.job.Out}, Job{Point: p})
			} else {
				write(t, d, c.job)
			}
			got := d.indexes(t)
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
func TestTransactionsThatAreDoneTwice(t *testing.T) {
	dir := t.TempDir()
	d, _ := reopen(t, nil, dir)
	odd := false
	d.update = func(f func(*bolt.Tx) error) error {
		if err := d.db.Update(f); err != nil {
			return err
		}
		if odd = !odd; odd {
			return syscall.EIO
		}
		return nil
	}
	var q queue
	q.add(Job{Out: raft.Out{Hard: &raft.Hard{Term: 2}, Entries: entries(1, 90, 1)}}, Job{Point: &raft.Point{Index: 50, Term: 1, Data: state(1, 5<<20)}},
		Job{Out: raft.Out{Entries: entries(80, 85, 2)}}, Job{Point: &raft.Point{Index: 60, Term: 1, Data: state(2, 100)}},
		Job{Out: raft.Out{Point: &raft.Point{Index: 200, Term: 2, Data: state(3, 3<<20)}, Entries: entries(201, 210, 2)}}, Job{Out: raft.Out{Entries: entries(211, 212, 2)}})
	done := 0
	for !q.empty() {
		js, err := d.step(&q)
		if err != nil && len(js) > 0 {
			t.Fatal("given back though refused")
		}
		done += len(js)
	}
	d, h := reopen(t, d, dir)
	if done != 6 || h.Hard.Term != 2 || h.Point.Index != 200 || !bytes.Equal(h.Point.Data, state(3, 3<<20)) || len(h.Log) != 12 {
		t.Fatalf("%d jobs done, %+v, snapshot of %d, %d entries", done, h.Hard, h.Point.Index, len(h.Log))
	}
	_ = d.Close()
}
