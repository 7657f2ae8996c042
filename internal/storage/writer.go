package storage

import (
	"context"
	"sync"
	"time"
)

const (
	// QueueLength is the number of writes that may wait for the storage goroutine.
	QueueLength = 8192
	// RetryBackoff is the first pause before a failed operation of the storage is retried; each
	// further pause is longer.
	RetryBackoff = 50 * time.Millisecond
)

// inbox accepts requests at any time, so that a disk that stalls or fails never
// blocks the sender. It has no bound of its own: what it holds are mostly entries
// that the Raft node holds in memory anyway, and the sender sees from WriteLag when
// to send less.
type inbox struct {
	mu       sync.Mutex
	requests []WriteRequest
	ready    chan struct{}
}

// receive moves requests into the inbox until ctx ends.
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

// drain returns all requests in the inbox and empties it.
func (b *inbox) drain() []WriteRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.requests
	b.requests = nil
	return taken
}

// WriteLag returns for how long requests have waited without any transaction being
// synced, or 0 while none wait. It stays low on a disk that is slow, and rises on one
// that hangs or fails. It is safe for concurrent use.
func (s *Store) WriteLag(now time.Time) time.Duration {
	if since := s.lastProgress.Load(); since != nil {
		return now.Sub(*since)
	}
	return 0
}

// Run writes requests, all that wait with one sync, until ctx ends; it then closes
// the store. It calls report with the requests that are synced. Those of a Ready are
// reported in order; a local snapshot is written in frames between them, and is
// reported once it is in force.
//
// A write that fails is repeated, with a backoff that grows to a bound, since nothing
// may rely on it before. Run calls report with an *UnavailableError after the first
// failure, and then at regular intervals.
func (s *Store) Run(ctx context.Context, requests <-chan WriteRequest, report func([]WriteRequest, error)) {
	// All that was reported is synced, so an error of closing has no consequence.
	defer func() { _ = s.db.Close() }()
	var queue writeQueue
	received := inbox{ready: make(chan struct{}, 1)}
	go received.receive(ctx, requests)
	backoff, lastReport := RetryBackoff, time.Time{}
	for ctx.Err() == nil {
		if queue.empty() {
			select {
			case <-ctx.Done():
				return
			case <-received.ready:
			}
		}
		queue.add(received.drain()...)
		if queue.empty() {
			continue
		}
		if s.lastProgress.Load() == nil {
			s.markProgress()
		}
		done, err := s.commitNext(&queue)
		if err != nil {
			if now := time.Now(); now.Sub(lastReport) >= WarningInterval {
				lastReport = now
				report(nil, unavailable("write", err))
			}
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxStorageRetryBackoff)
			continue
		}
		backoff, lastReport = RetryBackoff, time.Time{}
		s.markProgress()
		if queue.empty() {
			s.lastProgress.Store(nil)
		}
		if len(done) > 0 {
			report(done, nil)
		}
	}
}

// markProgress records that a transaction was synced, or that requests begin to
// wait.
func (s *Store) markProgress() {
	now := time.Now()
	s.lastProgress.Store(&now)
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
