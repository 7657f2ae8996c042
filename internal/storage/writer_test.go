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
	"tealpond/internal/tuning"
)

// runningStore starts Run on a disk whose transactions end with fault while it is
// set, and hang while stall is open.
type runningStore struct {
	mu             sync.Mutex
	in             chan WriteRequest
	completed      []uint64
	localSnapshots int
	reported       []error
	fault          error
	stalled        chan struct{}
	attempts       int
	store          *Store
	stop           context.CancelFunc
}

func startStore(t *testing.T, d *Store) *runningStore {
	r := &runningStore{in: make(chan WriteRequest, tuning.StorageQueueLength), store: d}
	d.commit = func(f func(*bolt.Tx) error) error {
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
		return d.db.Update(f)
	}
	ctx, stop := context.WithCancel(t.Context())
	r.stop = stop
	go func() {
		d.Run(ctx, r.in, func(js []WriteRequest, err error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if err != nil {
				r.reported = append(r.reported, err)
			}
			for _, j := range js {
				if j.LocalSnapshot != nil {
					r.localSnapshots++
				} else {
					r.completed = append(r.completed, j.Ready.WriteToken.LastIndex)
				}
			}
		})
	}()
	return r
}

// failWith has all later transactions end with err.
func (r *runningStore) failWith(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = err
}

// quiesce waits until nothing moves and holds the counts still.
func (r *runningStore) quiesce() (release func()) {
	synctest.Wait()
	r.mu.Lock()
	return r.mu.Unlock
}

func (r *runningStore) sendEntries(t *testing.T, from, to uint64) {
	t.Helper()
	for i := from; i <= to; i++ {
		select {
		case r.in <- WriteRequest{Ready: raft.Ready{Entries: entries(i, i, 1), WriteToken: raft.WriteToken{LastIndex: i, LastTerm: 1}}}:
		case <-time.After(time.Second):
			t.Fatalf("the caller is held up at write %d", i)
		}
	}
}

func (r *runningStore) checkAndStop(t *testing.T, want uint64) {
	t.Helper()
	release := r.quiesce()
	defer release()
	for i, m := range r.completed {
		if m != uint64(i+1) {
			t.Fatalf("place %d holds %d", i, m)
		}
	}
	if uint64(len(r.completed)) != want || r.store.WriteLag(time.Now()) != 0 {
		t.Fatalf("%d of %d came back, %v behind", len(r.completed), want, r.store.WriteLag(time.Now()))
	}
	r.stop()
}

// A full disk is tried again at a bounded rate, said once a second, and never
// holds up the caller; what waited is written in order once there is room.
func TestFailedWritesDoNotBlockCallers(t *testing.T) {
	d, _ := reopen(t, nil, t.TempDir())
	synctest.Test(t, func(t *testing.T) {
		r := startStore(t, d)
		r.sendEntries(t, 1, 10)
		synctest.Wait()
		r.failWith(syscall.ENOSPC)
		const most = tuning.StorageQueueLength * 5 / 2
		r.sendEntries(t, 11, most)
		time.Sleep(9*time.Second + 900*time.Millisecond)
		release := r.quiesce()
		if len(r.completed) != 10 || len(r.reported) < 9 || len(r.reported) > 10 || !errors.Is(r.reported[0], syscall.ENOSPC) {
			t.Errorf("%d written, said %d times", len(r.completed), len(r.reported))
		}
		if r.attempts > 30 {
			t.Errorf("tried %d times", r.attempts)
		}
		if b := d.WriteLag(time.Now()); b < 9*time.Second || b > 10*time.Second {
			t.Errorf("%v behind", b)
		}
		release()
		r.failWith(nil)
		time.Sleep(tuning.MaxStorageRetryBackoff)
		r.checkAndStop(t, most)
	})
}

// A hanging call is seen from outside.
func TestStalledWriteIsReported(t *testing.T) {
	d, _ := reopen(t, nil, t.TempDir())
	synctest.Test(t, func(t *testing.T) {
		r := startStore(t, d)
		r.stalled = make(chan struct{})
		r.sendEntries(t, 1, 3*tuning.StorageQueueLength)
		time.Sleep(4 * time.Second)
		release := r.quiesce()
		if b := d.WriteLag(time.Now()); b < 4*time.Second || len(r.completed) != 0 {
			t.Errorf("%v behind, %d written", b, len(r.completed))
		}
		release()
		close(r.stalled)
		r.checkAndStop(t, 3*tuning.StorageQueueLength)
	})
}

// Entries that come while a large snapshot is written don't wait for its end.
func TestEntriesAreNotBlockedByLargeSnapshot(t *testing.T) {
	dir := t.TempDir()
	d, _ := reopen(t, nil, dir)
	synctest.Test(t, func(t *testing.T) {
		r := startStore(t, d)
		r.sendEntries(t, 1, 100)
		synctest.Wait()
		r.stalled = make(chan struct{})
		r.in <- WriteRequest{LocalSnapshot: &raft.Snapshot{Index: 100, Term: 1, Data: randomBytes(1, 8<<20)}}
		synctest.Wait() // the first part is under way
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
			t.Error("the snapshot did not come back")
		}
		release()
		r.checkAndStop(t, 110)
	})
	if _, h := reopen(t, nil, dir); h.Snapshot.Index != 100 || len(h.Entries) != 10 {
		t.Fatalf("%d, %d entries", h.Snapshot.Index, len(h.Entries))
	}
}
