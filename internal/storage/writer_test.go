package storage

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
)

// runningStore is a store on which Run was called. Its transactions fail with fault
// while that is set. If stalled is set, each waits to receive from it or until it is closed.
type runningStore struct {
	mu             sync.Mutex
	requests       chan WriteRequest
	completed      []uint64
	localSnapshots int
	reported       []error
	fault          error
	stalled        chan struct{}
	attempts       int
	store          *Store
	cancel         context.CancelFunc
}

// startStore calls Run on a store in a goroutine that ends with the test.
func startStore(t *testing.T, store *Store) *runningStore {
	t.Helper()
	r := &runningStore{requests: make(chan WriteRequest, QueueLength), store: store}
	store.commit = func(transaction func(*bolt.Tx) error) error {
		r.mu.Lock()
		r.attempts++
		r.mu.Unlock()
		if r.stalled != nil {
			<-r.stalled
		}
		r.mu.Lock()
		fault := r.fault
		r.mu.Unlock()
		if fault != nil {
			return fault
		}
		return store.db.Update(transaction)
	}
	ctx, cancel := context.WithCancel(t.Context())
	r.cancel = cancel
	go func() {
		store.Run(ctx, r.requests, func(requests []WriteRequest, err error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if err != nil {
				r.reported = append(r.reported, err)
			}
			for _, request := range requests {
				if request.LocalSnapshot != nil {
					r.localSnapshots++
				} else {
					r.completed = append(r.completed, request.Ready.WriteToken.LastIndex)
				}
			}
		})
	}()
	return r
}

// failWith makes all later transactions fail with err, or succeed if it is nil.
func (r *runningStore) failWith(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = err
}

// quiesce waits until all goroutines are blocked, and locks the counters until release is called.
func (r *runningStore) quiesce() (release func()) {
	synctest.Wait()
	r.mu.Lock()
	return r.mu.Unlock
}

// sendEntries sends one request for each entry. The store must accept each within a second.
func (r *runningStore) sendEntries(t *testing.T, from, to uint64) {
	t.Helper()
	for i := from; i <= to; i++ {
		select {
		case r.requests <- WriteRequest{Ready: raft.Ready{Entries: entries(i, i, 1), WriteToken: raft.WriteToken{LastIndex: i, LastTerm: 1}}}:
		case <-time.After(time.Second):
			t.Fatalf("the sender is blocked at entry %d", i)
		}
	}
}

// checkAndStop fails the test unless exactly the first want requests were completed in order, and stops the store.
func (r *runningStore) checkAndStop(t *testing.T, want uint64) {
	t.Helper()
	release := r.quiesce()
	defer release()
	for i, index := range r.completed {
		if index != uint64(i+1) {
			t.Fatalf("completion %d has index %d", i, index)
		}
	}
	if uint64(len(r.completed)) != want || r.store.WriteLag(time.Now()) != 0 {
		t.Fatalf("%d of %d completed, lag %v", len(r.completed), want, r.store.WriteLag(time.Now()))
	}
	r.cancel()
}

// TestFailedWritesDoNotBlockCallers checks that writes to a full disk are retried at a bounded
// rate, reported once a second, and never block the caller, and that waiting requests are written in
// order once there is space.
func TestFailedWritesDoNotBlockCallers(t *testing.T) {
	store, _ := reopen(t, nil, t.TempDir())
	synctest.Test(t, func(t *testing.T) {
		r := startStore(t, store)
		r.sendEntries(t, 1, 10)
		synctest.Wait()
		r.failWith(syscall.ENOSPC)
		const lastIndex = QueueLength * 5 / 2
		r.sendEntries(t, 11, lastIndex)
		time.Sleep(9*time.Second + 900*time.Millisecond)
		release := r.quiesce()
		if len(r.completed) != 10 || len(r.reported) < 9 || len(r.reported) > 10 || !errors.Is(r.reported[0], syscall.ENOSPC) {
			t.Errorf("%d completed, reported %d times", len(r.completed), len(r.reported))
		}
		if r.attempts > 30 {
			t.Errorf("too many attempts: %d", r.attempts)
		}
		if lag := store.WriteLag(time.Now()); lag < 9*time.Second || lag > 10*time.Second {
			t.Errorf("lag %v", lag)
		}
		release()
		r.failWith(nil)
		time.Sleep(maxStorageRetryBackoff)
		r.checkAndStop(t, lastIndex)
	})
}

// TestStalledWriteIsReported checks that WriteLag grows while a write hangs.
func TestStalledWriteIsReported(t *testing.T) {
	store, _ := reopen(t, nil, t.TempDir())
	synctest.Test(t, func(t *testing.T) {
		r := startStore(t, store)
		r.stalled = make(chan struct{})
		r.sendEntries(t, 1, 3*QueueLength)
		time.Sleep(4 * time.Second)
		release := r.quiesce()
		if lag := store.WriteLag(time.Now()); lag < 4*time.Second || len(r.completed) != 0 {
			t.Errorf("lag %v, %d completed", lag, len(r.completed))
		}
		release()
		close(r.stalled)
		r.checkAndStop(t, 3*QueueLength)
	})
}

// TestEntriesAreNotBlockedByLargeSnapshot checks that entries that arrive while a large snapshot is being
// written do not wait until it is complete.
func TestEntriesAreNotBlockedByLargeSnapshot(t *testing.T) {
	dir := t.TempDir()
	store, _ := reopen(t, nil, dir)
	synctest.Test(t, func(t *testing.T) {
		r := startStore(t, store)
		r.sendEntries(t, 1, 100)
		synctest.Wait()
		r.stalled = make(chan struct{})
		r.requests <- localSnapshot(100, randomBytes(1, 8<<20))
		synctest.Wait() // the transaction of the first frames is in progress
		r.sendEntries(t, 101, 110)
		synctest.Wait()
		r.stalled <- struct{}{}
		r.stalled <- struct{}{}
		release := r.quiesce()
		if len(r.completed) != 110 || r.localSnapshots != 0 {
			t.Errorf("%d entries and %d snapshots after two transactions", len(r.completed), r.localSnapshots)
		}
		release()
		close(r.stalled)
		release = r.quiesce()
		if r.localSnapshots != 1 {
			t.Error("the snapshot was not completed")
		}
		release()
		r.checkAndStop(t, 110)
	})
	if _, recovered := reopen(t, nil, dir); recovered.Snapshot.Index != 100 || len(recovered.Entries) != 10 {
		t.Fatalf("snapshot index %d, %d entries", recovered.Snapshot.Index, len(recovered.Entries))
	}
}
