package disk

import (
	"context"
	"sync"
	"time"

	"tealpond/internal/tune"
)

// intake takes jobs from the caller at any time, so that a disk that stalls or
// refuses never holds up the caller's loop. It has no bound of its own: what it
// holds are mostly entries that the node holds in memory anyway, and the caller
// sees by Behind when to bring less.
type intake struct {
	mu    sync.Mutex
	jobs  []Job
	ready chan struct{}
}

func (i *intake) run(ctx context.Context, in <-chan Job) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-in:
			i.mu.Lock()
			i.jobs = append(i.jobs, j)
			i.mu.Unlock()
			select {
			case i.ready <- struct{}{}:
			default:
			}
		}
	}
}

func (i *intake) take() []Job {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := i.jobs
	i.jobs = nil
	return out
}

// Behind tells for how long work has waited without any transaction being
// synced: 0 while nothing waits. A disk that is slow stays low, one that hangs
// or refuses does not. Safe for several tasks.
func (d *Disk) Behind(now time.Time) time.Duration {
	if at := d.since.Load(); at != nil {
		return now.Sub(*at)
	}
	return 0
}

// Run writes what comes in, as many jobs as wait in one sync, and gives each
// back. What the node put out comes back in order; a snapshot of one's own is
// written beside it, in frames, and comes back when it is in force.
//
// A refused write is tried again, with a pause that grows to a bound: nothing
// may rest on it. give hears of the first refusal, and then once a second.
func (d *Disk) Run(ctx context.Context, in <-chan Job, give func([]Job, error)) {
	defer func() { _ = d.db.Close() }()
	var q queue
	i := intake{ready: make(chan struct{}, 1)}
	go i.run(ctx, in)
	pause, said := tune.DiskRetry, time.Time{}
	for ctx.Err() == nil {
		if q.empty() {
			select {
			case <-ctx.Done():
				return
			case <-i.ready:
			}
		}
		q.add(i.take()...)
		if q.empty() {
			continue
		}
		if d.since.Load() == nil {
			d.progress()
		}
		done, err := d.step(&q)
		if err != nil {
			if now := time.Now(); now.Sub(said) >= tune.DiskSay {
				said = now
				give(nil, unavailable("write", err))
			}
			sleep(ctx, pause)
			pause = min(2*pause, tune.DiskRetryMost)
			continue
		}
		pause, said = tune.DiskRetry, time.Time{}
		d.progress()
		if q.empty() {
			d.since.Store(nil)
		}
		if len(done) > 0 {
			give(done, nil)
		}
	}
}

// progress notes that a transaction was synced, or the first one begins.
func (d *Disk) progress() {
	now := time.Now()
	d.since.Store(&now)
}

// sleep waits for a while, or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
