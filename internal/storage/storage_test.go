package storage

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"tealpond/internal/raft"
)

// writeAll writes all requests with the transactions that Run would use.
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

// entriesRequest returns a request to write entries.
func entriesRequest(entries ...raft.Entry) WriteRequest {
	return WriteRequest{Ready: raft.Ready{Entries: entries}}
}

// localSnapshot returns a request to write a snapshot of term 1 that this member took.
func localSnapshot(index uint64, data []byte) WriteRequest {
	return WriteRequest{LocalSnapshot: &raft.Snapshot{Index: index, Term: 1, Data: data}}
}

// receivedSnapshot returns a request to write a received snapshot and the entries after it.
func receivedSnapshot(index, term uint64, data []byte, entries ...raft.Entry) WriteRequest {
	return WriteRequest{Ready: raft.Ready{Snapshot: &raft.Snapshot{Index: index, Term: term, Data: data}, Entries: entries}}
}

func mustWrite(t *testing.T, store *Store, requests ...WriteRequest) {
	t.Helper()
	if err := store.writeAll(requests); err != nil {
		t.Fatal(err)
	}
}

// reopen closes a store, unless it is nil, and opens the directory, which must hold a
// valid file or none.
func reopen(t *testing.T, open *Store, dir string) (*Store, Recovered) {
	t.Helper()
	if open != nil {
		_ = open.db.Close()
	}
	store, recovered, err := Open(dir)
	reason := recovered.QuarantineReason
	if err != nil || reason != "" {
		t.Fatal(err, reason)
	}
	return store, recovered
}

// entries returns entries of one term, each with a byte of data.
func entries(from, to, term uint64) (out []raft.Entry) {
	for i := from; i <= to; i++ {
		out = append(out, raft.Entry{Index: i, Term: term, Data: []byte{byte(i)}})
	}
	return out
}

func TestLogSurvivesReopenOverwriteAndCompaction(t *testing.T) {
	dir := t.TempDir()
	store, recovered := reopen(t, nil, dir)
	id := recovered.ID
	if !recovered.NewIdentity {
		t.Fatal("a new file does not report a new identity")
	}
	mustWrite(t, store, WriteRequest{Ready: raft.Ready{HardState: &raft.HardState{Term: 2, Vote: "x"}, Entries: entries(1, 9, 1)}})
	mustWrite(t, store, entriesRequest(entries(5, 6, 2)...))
	store, recovered = reopen(t, store, dir)
	if recovered.ID != id || recovered.NewIdentity || recovered.HardState.Vote != "x" {
		t.Fatalf("%+v", recovered)
	}
	if len(recovered.Entries) != 6 || recovered.Entries[5].Term != 2 {
		t.Fatalf("%+v", recovered)
	}
	mustWrite(t, store, localSnapshot(4, nil))
	store, recovered = reopen(t, store, dir)
	if recovered.Snapshot.Index != 4 || len(recovered.Entries) != 2 || recovered.Entries[0].Index != 5 {
		t.Fatalf("%+v", recovered)
	}
	mustWrite(t, store, receivedSnapshot(50, 3, nil), entriesRequest(entries(51, 52, 3)...))
	_, recovered = reopen(t, store, dir)
	if recovered.Snapshot.Index != 50 || len(recovered.Entries) != 2 {
		t.Fatalf("%+v", recovered)
	}
}

func TestBootstrapIsAcceptedOnce(t *testing.T) {
	dir := t.TempDir()
	store, _ := reopen(t, nil, dir)
	founders := []raft.Member{{Node: "a", ID: "1"}}
	if err := store.Bootstrap(founders, raft.Snapshot{Index: 1, Voters: founders}); err != nil {
		t.Fatal(err)
	}
	if store.Bootstrap([]raft.Member{{Node: "b"}}, raft.Snapshot{}) == nil {
		t.Fatal("bootstrapped twice")
	}
	_, recovered := reopen(t, store, dir)
	if len(recovered.Founders) != 1 || recovered.Founders[0].Node != "a" {
		t.Fatalf("%+v", recovered.Founders)
	}
}

func TestForeignFileGetsNewIdentity(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName), []byte("not ours at all, but long enough to be looked at"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, recovered, err := Open(dir)
	reason := recovered.QuarantineReason
	if err != nil || reason == "" || !recovered.NewIdentity {
		t.Fatalf("%v %q %+v", err, reason, recovered)
	}
	if _, err := os.Stat(filepath.Join(dir, "tealpond.db.foreign")); err != nil {
		t.Error("it was not renamed")
	}
}

func TestRunCompletesRequestsInOrder(t *testing.T) {
	store, _ := reopen(t, nil, t.TempDir())
	ctx, cancel := context.WithCancel(context.Background())
	requests, indexes := make(chan WriteRequest, 100), make(chan uint64, 100)
	done := make(chan struct{})
	go func() {
		store.Run(ctx, requests, func(completed []WriteRequest, err error) {
			for _, request := range completed {
				indexes <- request.Ready.WriteToken.LastIndex
			}
		})
		close(done)
	}()
	for i := uint64(1); i <= 50; i++ {
		requests <- WriteRequest{Ready: raft.Ready{Entries: entries(i, i, 1), WriteToken: raft.WriteToken{LastIndex: i, LastTerm: 1}}}
	}
	for i := uint64(1); i <= 50; i++ {
		if got := <-indexes; got != i {
			t.Fatalf("%d was completed, want %d", got, i)
		}
	}
	cancel()
	<-done
}

// TestCommitIndexSurvivesReopen checks that a restart restores the newest commit index that was stored with
// entries or a vote, and that a new file has none.
func TestCommitIndexSurvivesReopen(t *testing.T) {
	dir := t.TempDir()
	store, recovered := reopen(t, nil, dir)
	if recovered.Commit != 0 {
		t.Fatalf("commit index of a new file is %d, want 0", recovered.Commit)
	}
	mustWrite(t, store,
		WriteRequest{Ready: raft.Ready{Entries: entries(1, 5, 1), CommitIndex: 2}},
		WriteRequest{Ready: raft.Ready{HardState: &raft.HardState{Term: 2}, CommitIndex: 4}},
		entriesRequest(entries(6, 6, 2)...))
	store, recovered = reopen(t, store, dir)
	if recovered.Commit != 4 || len(recovered.Entries) != 6 {
		t.Errorf("after a restart: commit index %d, %d entries, want 4 and 6", recovered.Commit, len(recovered.Entries))
	}
	mustWrite(t, store, localSnapshot(5, []byte("x")))
	if _, recovered = reopen(t, store, dir); recovered.Commit != 4 || recovered.Snapshot.Index != 5 {
		t.Errorf("after a snapshot: commit index %d, snapshot index %d", recovered.Commit, recovered.Snapshot.Index)
	}
}

// TestFirstStartMarkSurvivesReopen checks that the mark of the first start is durable, and that a file
// without it is not reported as marked.
func TestFirstStartMarkSurvivesReopen(t *testing.T) {
	dir := t.TempDir()
	store, _ := reopen(t, nil, dir)
	store, recovered := reopen(t, store, dir)
	if recovered.FirstStart {
		t.Error("a file without the mark is reported as marked")
	}
	if err := store.MarkFirstStart(); err != nil {
		t.Fatal(err)
	}
	if _, recovered = reopen(t, store, dir); !recovered.FirstStart || recovered.NewIdentity {
		t.Errorf("after a restart: %+v", recovered)
	}
}
