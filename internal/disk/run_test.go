package disk

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
	"tealpond/internal/tune"
)

// running starts Run on a disk whose transactions end with fault while it is
// set, and hang while stall is open.
type running struct {
	mu      sync.Mutex
	in      chan Job
	marks   []uint64
	own     int
	refused []error
	fault   error
	stall   chan struct{}
	tries   int
	d       *Disk
	stop    context.CancelFunc
}

func run(t *testing.T, d *Disk) *running {
	r := &running{in: make(chan Job, tune.DiskInbox), d: d}
	d.update = func(f func(*bolt.Tx) error) error {
		r.mu.Lock()
		r.tries++
		r.mu.Unlock()
		if r.stall != nil {
			<-r.stall
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
		d.Run(ctx, r.in, func(js []Job, err error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if err != nil {
				r.refused = append(r.refused, err)
			}
			for _, j := range js {
				if j.Point != nil {
					r.own++
				} else {
					r.marks = append(r.marks, j.Out.Mark.Index)
				}
			}
		})
	}()
	return r
}

// fail has all later transactions end with err.
func (r *running) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = err
}

// settled waits until nothing moves and holds the counts still.
func (r *running) settled() (release func()) {
	synctest.Wait()
	r.mu.Lock()
	return r.mu.Unlock
}

func (r *running) send(t *testing.T, from, to uint64) {
	t.Helper()
	for i := from; i <= to; i++ {
		select {
		case r.in <- Job{Out: raft.Out{Entries: entries(i, i, 1), Mark: raft.Mark{Index: i, Term: 1}}}:
		case <-time.After(time.Second):
			t.Fatalf("the caller is held up at write %d", i)
		}
	}
}

func (r *running) end(t *testing.T, want uint64) {
	t.Helper()
	release := r.settled()
	defer release()
	for i, m := range r.marks {
		if m != uint64(i+1) {
			t.Fatalf("place %d holds %d", i, m)
		}
	}
	if uint64(len(r.marks)) != want || r.d.Behind(time.Now()) != 0 {
		t.Fatalf("%d of %d came back, %v behind", len(r.marks), want, r.d.Behind(time.Now()))
	}
	r.stop()
}

// A full disk is tried again at a bounded rate, said once a second, and never
// holds up the caller; what waited is written in order once there is room.
func TestRefusedWritesHoldNobodyUp(t *testing.T) {
	d, _ := reopen(t, nil, t.TempDir())
	synctest.Test(t, func(t *testing.T) {
		r := run(t, d)
		r.send(t, 1, 10)
		synctest.Wait()
		r.fail(syscall.ENOSPC)
		const most = tune.DiskInbox * 5 / 2
		r.send(t, 11, most)
		time.Sleep(9*time.Second + 900*time.Millisecond)
		release := r.settled()
		if len(r.marks) != 10 || len(r.refused) < 9 || len(r.refused) > 10 || !errors.Is(r.refused[0], syscall.ENOSPC) {
			t.Errorf("%d written, said %d times", len(r.marks), len(r.refused))
		}
		if r.tries > 30 {
			t.Errorf("tried %d times", r.tries)
		}
		if b := d.Behind(time.Now()); b < 9*time.Second || b > 10*time.Second {
			t.Errorf("%v behind", b)
		}
		release()
		r.fail(nil)
		time.Sleep(tune.DiskRetryMost)
		r.end(t, most)
	})
}

// A hanging call is seen from outside.
func TestStalledWriteIsSeen(t *testing.T) {
	d, _ := reopen(t, nil, t.TempDir())
	synctest.Test(t, func(t *testing.T) {
		r := run(t, d)
		r.stall = make(chan struct{})
		r.send(t, 1, 3*tune.DiskInbox)
		time.Sleep(4 * time.Second)
		release := r.settled()
		if b := d.Behind(time.Now()); b < 4*time.Second || len(r.marks) != 0 {
			t.Errorf("%v behind, %d written", b, len(r.marks))
		}
		release()
		close(r.stall)
		r.end(t, 3*tune.DiskInbox)
	})
}

// Entries that come while a large snapshot is written don't wait for its end.
func TestEntriesPassALargeSnapshot(t *testing.T) {
	dir := t.TempDir()
	d, _ := reopen(t, nil, dir)
	synctest.Test(t, func(t *testing.T) {
		r := run(t, d)
		r.send(t, 1, 100)
		synctest.Wait()
		r.stall = make(chan struct{})
		r.in <- Job{Point: &raft.Point{Index: 100, Term: 1, Data: state(1, 8<<20)}}
		synctest.Wait() // the first part is under way
		r.send(t, 101, 110)
		synctest.Wait()
		r.stall <- struct{}{}
		r.stall <- struct{}{}
		release := r.settled()
		if len(r.marks) != 110 || r.own != 0 {
			t.Errorf("%d entries and %d snapshots after two transactions", len(r.marks), r.own)
		}
		release()
		close(r.stall)
		release = r.settled()
		if r.own != 1 {
			t.Error("the snapshot did not come back")
		}
		release()
		r.end(t, 110)
	})
	if _, h := reopen(t, nil, dir); h.Point.Index != 100 || len(h.Log) != 10 {
		t.Fatalf("%d, %d entries", h.Point.Index, len(h.Log))
	}
}
