package storage

import (
	"context"
	"sync"
	"time"
)

const (
	// QueueLength is the capacity of the channel of writes to the storage goroutine.
	QueueLength = 8192
	// RetryBackoff is the first pause before a failed storage operation is retried. Each
	// further pause is longer, up to a limit.
	RetryBackoff = 50 * time.Millisecond
)

// inbox always accepts requests, so that a disk that stalls or fails never
// blocks the sender. It is unbounded: it mostly holds entries
// that the Raft node keeps in memory anyway, and the sender uses WriteLag to decide when
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
	drained := b.requests
	b.requests = nil
	return drained
}

// WriteLag returns how long requests have waited without any transaction being
// synced, or 0 while no request waits. It stays low on a slow disk, and rises on one
// that hangs or fails. It is safe for concurrent use.
func (s *Store) WriteLag(now time.Time) time.Duration {
	if since := s.lastProgress.Load(); since != nil {
		return now.Sub(*since)
	}
	return 0
}

// Run writes requests until ctx ends, and then closes the store. It writes all waiting requests
// with one sync where possible, and calls report with the requests that are synced. Requests with
// a Ready are reported in order. A local snapshot is written in frames between them, and is
// reported once it is active.
//
// A failed write is retried with a bounded exponential backoff, since nothing
// may rely on it before it is synced. Run calls report with an *UnavailableError after the first
// failure, and then at regular intervals.
func (s *Store) Run(ctx context.Context, requests <-chan WriteRequest, report func([]WriteRequest, error)) {
	// Everything that was reported is synced, so an error from Close has no consequence.
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

// markProgress records that a transaction was synced, or that requests have started to
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
