package disk

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"tealpond/internal/raft"
)

func write(t *testing.T, d *Disk, jobs ...Job) {
	t.Helper()
	if err := d.write(jobs); err != nil {
		t.Fatal(err)
	}
}

func reopen(t *testing.T, d *Disk, dir string) (*Disk, Held) {
	t.Helper()
	if d != nil {
		_ = d.db.Close()
	}
	n, h, why, err := Open(dir)
	if err != nil || why != "" {
		t.Fatal(err, why)
	}
	return n, h
}

func entries(from, to, term uint64) (out []raft.Entry) {
	for i := from; i <= to; i++ {
		out = append(out, raft.Entry{Index: i, Term: term, Data: []byte{byte(i)}})
	}
	return out
}

func TestLogIsKeptOverwrittenAndCut(t *testing.T) {
	dir := t.TempDir()
	d, h := reopen(t, nil, dir)
	id := h.ID
	if !h.Fresh {
		t.Fatal("an empty disk isn't fresh")
	}
	write(t, d, Job{Out: raft.Out{Hard: &raft.Hard{Term: 2, Vote: "x"}, Entries: entries(1, 9, 1)}})
	write(t, d, Job{Out: raft.Out{Entries: entries(5, 6, 2)}})
	d, h = reopen(t, d, dir)
	if h.ID != id || h.Fresh || h.Hard.Vote != "x" || len(h.Log) != 6 || h.Log[5].Term != 2 {
		t.Fatalf("%+v", h)
	}
	write(t, d, Job{Point: &raft.Point{Index: 4, Term: 1}})
	d, h = reopen(t, d, dir)
	if h.Point.Index != 4 || len(h.Log) != 2 || h.Log[0].Index != 5 {
		t.Fatalf("%+v", h)
	}
	write(t, d, Job{Out: raft.Out{Point: &raft.Point{Index: 50, Term: 3}}}, Job{Out: raft.Out{Entries: entries(51, 52, 3)}})
	_, h = reopen(t, d, dir)
	if h.Point.Index != 50 || len(h.Log) != 2 {
		t.Fatalf("%+v", h)
	}
}

func TestFoundersAreBoundOnce(t *testing.T) {
	dir := t.TempDir()
	d, _ := reopen(t, nil, dir)
	set := []raft.Voter{{Node: "a", Disk: "1"}}
	if err := d.Bind(set, raft.Point{Index: 1, Conf: set}); err != nil {
		t.Fatal(err)
	}
	if d.Bind([]raft.Voter{{Node: "b"}}, raft.Point{}) == nil {
		t.Fatal("bound twice")
	}
	_, h := reopen(t, d, dir)
	if len(h.Bound) != 1 || h.Bound[0].Node != "a" {
		t.Fatalf("%+v", h.Bound)
	}
}

func TestForeignFileMakesAStranger(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "tealpond.db"), []byte("not ours at all, but long enough to be looked at"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, h, why, err := Open(dir)
	if err != nil || why == "" || !h.Fresh {
		t.Fatalf("%v %q %+v", err, why, h)
	}
	if _, err := os.Stat(filepath.Join(dir, "tealpond.db.foreign")); err != nil {
		t.Error("it was not put aside")
	}
}

func TestRunGivesJobsBackInOrder(t *testing.T) {
	d, _ := reopen(t, nil, t.TempDir())
	ctx, stop := context.WithCancel(context.Background())
	in, out := make(chan Job, 100), make(chan uint64, 100)
	done := make(chan struct{})
	go func() {
		d.Run(ctx, in, func(js []Job, err error) {
			for _, j := range js {
				out <- j.Out.Mark.Index
			}
		})
		close(done)
	}()
	for i := uint64(1); i <= 50; i++ {
		in <- Job{Out: raft.Out{Entries: entries(i, i, 1), Mark: raft.Mark{Index: i, Term: 1}}}
	}
	for i := uint64(1); i <= 50; i++ {
		if got := <-out; got != i {
			t.Fatalf("%d came back, want %d", got, i)
		}
	}
	stop()
	<-done
}
