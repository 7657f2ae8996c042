package storage

import (
	"syscall"
	"testing"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
)

// logIndexes returns the indexes of the entries in the file.
func (s *Store) logIndexes(t *testing.T) (indexes []uint64) {
	t.Helper()
	err := s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketLog).ForEach(func(key, _ []byte) error {
			indexes = append(indexes, decodeKey(key))
			return nil
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return indexes
}

// TestLogDeletionsAreExact checks that deletions from a log of thousands of entries on many pages remove
// exactly their range. A bbolt cursor that deletes and then advances may skip the key that
// moved into the freed position.
func TestLogDeletionsAreExact(t *testing.T) {
	const lastIndex = 6000
	for _, test := range []struct {
		name     string
		requests []WriteRequest
		from, to uint64 // indexes that remain
	}{
		{"local snapshot", []WriteRequest{localSnapshot(4321, nil)}, 4322, lastIndex},
		{"local snapshot of almost all", []WriteRequest{localSnapshot(lastIndex-1, nil)}, lastIndex, lastIndex},
		{"local snapshot of all", []WriteRequest{localSnapshot(lastIndex, nil)}, lastIndex + 1, lastIndex},
		{"received snapshot", []WriteRequest{receivedSnapshot(3000, 1, nil)}, 1, 0},
		{"received snapshot and entries", []WriteRequest{receivedSnapshot(3000, 1, nil, entries(3001, 3005, 1)...)}, 3001, 3005},
		{"entries and received snapshot in one write",
			[]WriteRequest{entriesRequest(entries(lastIndex+1, lastIndex+900, 1)...), receivedSnapshot(7000, 2, nil)},
			7001, 7000},
		{"entries and local snapshot in one write",
			[]WriteRequest{entriesRequest(entries(lastIndex+1, lastIndex+900, 1)...), localSnapshot(lastIndex+500, nil)},
			lastIndex + 501, lastIndex + 900},
		{"overwritten suffix", []WriteRequest{entriesRequest(entries(17, 18, 2)...)}, 1, 18},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			store, _ := reopen(t, nil, dir)
			for i := uint64(1); i <= lastIndex; i += 1000 {
				batch := entries(i, i+999, 1)
				for j := range batch {
					// Sizes differ, so that pages hold from few to many entries.
					batch[j].Data = make([]byte, int(batch[j].Index*37%900))
				}
				mustWrite(t, store, entriesRequest(batch...))
			}
			mustWrite(t, store, test.requests...)
			indexes := store.logIndexes(t)
			if uint64(len(indexes)) != test.to+1-test.from {
				t.Fatalf("%d entries remain, want indexes %d to %d", len(indexes), test.from, test.to)
			}
			for i, index := range indexes {
				if index != test.from+uint64(i) {
					t.Fatalf("entry at position %d has index %d, want %d", i, index, test.from+uint64(i))
				}
			}
			reopen(t, store, dir)
		})
	}
}

// TestRepeatedTransactionsAreIdempotent checks that applying a transaction twice has the same effect as once:
// a sync may fail although the data was written, and the transaction is then retried.
func TestRepeatedTransactionsAreIdempotent(t *testing.T) {
	dir := t.TempDir()
	store, _ := reopen(t, nil, dir)
	failing := false
	store.commit = func(f func(*bolt.Tx) error) error {
		if err := store.db.Update(f); err != nil {
			return err
		}
		if failing = !failing; failing {
			return syscall.EIO
		}
		return nil
	}
	var queue writeQueue
	queue.add(
		WriteRequest{Ready: raft.Ready{HardState: &raft.HardState{Term: 2}, Entries: entries(1, 90, 1)}},
		localSnapshot(50, randomBytes(1, 5<<20)),
		entriesRequest(entries(80, 85, 2)...),
		localSnapshot(60, randomBytes(2, 100)),
		receivedSnapshot(200, 2, randomBytes(3, 3<<20), entries(201, 210, 2)...),
		entriesRequest(entries(211, 212, 2)...),
	)
	done := 0
	for !queue.empty() {
		completed, err := store.commitNext(&queue)
		if err != nil && len(completed) > 0 {
			t.Fatal("a failed transaction completed requests")
		}
		done += len(completed)
	}
	store, recovered := reopen(t, store, dir)
	if done != 6 || recovered.HardState.Term != 2 {
		t.Fatalf("%d requests done, %+v", done, recovered.HardState)
	}
	requireSnapshot(t, recovered, raft.Snapshot{Index: 200, Data: randomBytes(3, 3<<20)}, 12)
	_ = store.Close()
}

// TestBatchesOfQueue checks that a transaction contains the requests up to the next received
// snapshot, and frames of at most one snapshot.
func TestBatchesOfQueue(t *testing.T) {
	large := make([]byte, snapshotFrameBytes*(snapshotFramesPerTransaction+1))
	ready := entriesRequest(entries(1, 1, 1)...)
	local := localSnapshot(1, large)
	received := receivedSnapshot(9, 1, large)
	type outcome struct {
		requests  int // in the transaction
		received  bool
		activates bool
		completed int
	}
	for _, test := range []struct {
		name  string
		queue []WriteRequest
		want  []outcome
	}{
		{"entries", []WriteRequest{ready, ready}, []outcome{{requests: 2, completed: 2}}},
		{"local snapshot between entries", []WriteRequest{ready, local, ready}, []outcome{
			{requests: 2, completed: 2},
			{activates: true, completed: 1},
		}},
		{"received snapshot", []WriteRequest{received, ready, ready}, []outcome{
			{received: true},
			{requests: 3, received: true, activates: true, completed: 3},
		}},
		{"entries before a received snapshot", []WriteRequest{ready, received, ready}, []outcome{
			{requests: 1, completed: 1},
			{received: true},
			{requests: 2, received: true, activates: true, completed: 2},
		}},
		{"received snapshot replaces local ones", []WriteRequest{local, received, local}, []outcome{
			{received: true},
			{requests: 1, received: true, activates: true, completed: 3},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var queue writeQueue
			queue.add(test.queue...)
			for i, want := range test.want {
				b := queue.nextBatch(7)
				got := outcome{len(b.requests), b.received, b.activates, len(queue.complete(b))}
				if got != want {
					t.Errorf("transaction %d: %+v, want %+v", i, got, want)
				}
			}
			if !queue.empty() {
				t.Errorf("%d requests and %d local snapshots remain", len(queue.requests), len(queue.localSnapshots))
			}
		})
	}
}
