package storage

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"tealpond/internal/raft"
)

// writeAll writes all requests.
func (s *Store) writeAll(requests []WriteRequest) error {
	var queue writeQueue
	queue.add(requests...)
	for !queue.empty() {
		if _, err := s.commitNext(&queue); err != nil {
			return err
		}
	}
	return nil
}

func mustWrite(t *testing.T, d *Store, jobs ...WriteRequest) {
	t.Helper()
	if err := d.writeAll(jobs); err != nil {
		t.Fatal(err)
	}
}

func reopen(t *testing.T, d *Store, dir string) (*Store, Recovered) {
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

func TestLogSurvivesReopenOverwriteAndCompaction(t *testing.T) {
	dir := t.TempDir()
	d, h := reopen(t, nil, dir)
	id := h.ID
	if !h.NewIdentity {
		t.Fatal("an empty disk isn't fresh")
	}
	mustWrite(t, d, WriteRequest{Ready: raft.Ready{HardState: &raft.HardState{Term: 2, Vote: "x"}, Entries: entries(1, 9, 1)}})
	mustWrite(t, d, WriteRequest{Ready: raft.Ready{Entries: entries(5, 6, 2)}})
	d, h = reopen(t, d, dir)
	if h.ID != id || h.NewIdentity || h.HardState.Vote != "x" || len(h.Entries) != 6 || h.Entries[5].Term != 2 {
		t.Fatalf("%+v", h)
	}
	mustWrite(t, d, WriteRequest{LocalSnapshot: &raft.Snapshot{Index: 4, Term: 1}})
	d, h = reopen(t, d, dir)
	if h.Snapshot.Index != 4 || len(h.Entries) != 2 || h.Entries[0].Index != 5 {
		t.Fatalf("%+v", h)
	}
	mustWrite(t, d, WriteRequest{Ready: raft.Ready{Snapshot: &raft.Snapshot{Index: 50, Term: 3}}}, WriteRequest{Ready: raft.Ready{Entries: entries(51, 52, 3)}})
	_, h = reopen(t, d, dir)
	if h.Snapshot.Index != 50 || len(h.Entries) != 2 {
		t.Fatalf("%+v", h)
	}
}

func TestBootstrapIsAcceptedOnce(t *testing.T) {
	dir := t.TempDir()
	d, _ := reopen(t, nil, dir)
	set := []raft.Member{{Node: "a", ID: "1"}}
	if err := d.Bootstrap(set, raft.Snapshot{Index: 1, Voters: set}); err != nil {
		t.Fatal(err)
	}
	if d.Bootstrap([]raft.Member{{Node: "b"}}, raft.Snapshot{}) == nil {
		t.Fatal("bound twice")
	}
	_, h := reopen(t, d, dir)
	if len(h.Founders) != 1 || h.Founders[0].Node != "a" {
		t.Fatalf("%+v", h.Founders)
	}
}

func TestForeignFileGetsNewIdentity(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "tealpond.db"), []byte("not ours at all, but long enough to be looked at"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, h, why, err := Open(dir)
	if err != nil || why == "" || !h.NewIdentity {
		t.Fatalf("%v %q %+v", err, why, h)
	}
	if _, err := os.Stat(filepath.Join(dir, "tealpond.db.foreign")); err != nil {
		t.Error("it was not put aside")
	}
}

func TestRunCompletesRequestsInOrder(t *testing.T) {
	d, _ := reopen(t, nil, t.TempDir())
	ctx, stop := context.WithCancel(context.Background())
	in, out := make(chan WriteRequest, 100), make(chan uint64, 100)
	done := make(chan struct{})
	go func() {
		d.Run(ctx, in, func(js []WriteRequest, err error) {
			for _, j := range js {
				out <- j.Ready.WriteToken.LastIndex
			}
		})
		close(done)
	}()
	for i := uint64(1); i <= 50; i++ {
		in <- WriteRequest{Ready: raft.Ready{Entries: entries(i, i, 1), WriteToken: raft.WriteToken{LastIndex: i, LastTerm: 1}}}
	}
	for i := uint64(1); i <= 50; i++ {
		if got := <-out; got != i {
			t.Fatalf("%d came back, want %d", got, i)
		}
	}
	stop()
	<-done
}
