package storage

import (
	"context"
	"sync"
	"time"

	"tealpond/internal/tuning"
)

// inbox takes jobs from the caller at any time, so that a disk that stalls or
// refuses never holds up the caller's loop. It has no bound of its own: what it
// holds are mostly entries that the node holds in memory anyway, and the caller
// sees by Behind when to bring less.
type inbox struct {
	mu       sync.Mutex
	requests []WriteRequest
	ready    chan struct{}
}

func (b *inbox) receive(ctx context.Context, requests <-chan WriteRequest) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-requests:
			b.mu.Lock()
			b.requests = append(b.requests, request)
			b.mu.Unlock()
			select {
			case b.ready <- struct{}{}:
			default:
			}
		}
	}
}

func (b *inbox) drain() []WriteRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.requests
	b.requests = nil
	return taken
}

// WriteLag tells for how long work has waited without any transaction being
// synced: 0 while nothing waits. A disk that is slow stays low, one that hangs
// or refuses does not. Safe for several tasks.
func (s *Store) WriteLag(now time.Time) time.Duration {
	if since := s.lastProgress.Load(); since != nil {
		return now.Sub(*since)
	}
	return 0
}

// Run writes what comes in, as many jobs as wait in one sync, and gives each
// back. What the node put out comes back in order; a snapshot of one's own is
// written beside it, in frames, and comes back when it is in force.
//
// A refused write is tried again, with a pause that grows to a bound: nothing
// may rest on it. give hears of the first refusal, and then once a second.
func (s *Store) Run(ctx context.Context, requests <-chan WriteRequest, report func([]WriteRequest, error)) {
	defer func() { _ = s.db.Close() }()
	var queue writeQueue
	pending := inbox{ready: make(chan struct{}, 1)}
	go pending.receive(ctx, requests)
	pause, lastReport := tuning.StorageRetryBackoff, time.Time{}
	for ctx.Err() == nil {
		if queue.empty() {
			select {
			case <-ctx.Done():
				return
			case <-pending.ready:
			}
		}
		queue.add(pending.drain()...)
		if queue.empty() {
			continue
		}
		if s.lastProgress.Load() == nil {
			s.markProgress()
		}
		done, err := s.commitNext(&queue)
		if err != nil {
			if now := time.Now(); now.Sub(lastReport) >= tuning.StorageWarningInterval {
				lastReport = now
				report(nil, unavailable("write", err))
			}
			sleep(ctx, pause)
			pause = min(2*pause, tuning.MaxStorageRetryBackoff)
			continue
		}
		pause, lastReport = tuning.StorageRetryBackoff, time.Time{}
		s.markProgress()
		if queue.empty() {
			s.lastProgress.Store(nil)
		}
		if len(done) > 0 {
			report(done, nil)
		}
	}
}

// markProgress notes that a transaction was synced, or the first one begins.
func (s *Store) markProgress() {
	now := time.Now()
	s.lastProgress.Store(&now)
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
