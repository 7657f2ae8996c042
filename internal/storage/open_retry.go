package storage

import (
	"context"
	"fmt"
	"time"
)

const (
	// maxStorageRetryBackoff is the longest pause before a failed storage operation is retried;
	// it is well below catchUpS.
	maxStorageRetryBackoff = 500 * time.Millisecond
	// WarningInterval is the interval between log lines about a disk that keeps failing.
	WarningInterval = time.Second
)

// OpenWithRetry calls Open until it succeeds, with a bounded exponential backoff.
// It calls onWait after each failure, and at regular intervals while a
// call hangs. The only error that it returns is that of ctx.
func OpenWithRetry(ctx context.Context, dir string, onWait func(error)) (*Store, Recovered, error) {
	return osFileSystem.openWithRetry(ctx, dir, onWait)
}

// openResult is the outcome of one call of Open.
type openResult struct {
	store     *Store
	recovered Recovered
	err       error
}

func (fs fileSystem) openWithRetry(ctx context.Context, dir string, onWait func(error)) (*Store, Recovered, error) {
	backoff := RetryBackoff
	quarantineReason := "" // of the last attempt that quarantined a file
	for {
		results := make(chan openResult, 1)
		go func() {
			var result openResult
			result.store, result.recovered, result.err = fs.open(dir)
			results <- result
		}()
		result, err := awaitOpen(ctx, results, onWait)
		if err != nil {
			return nil, Recovered{QuarantineReason: quarantineReason}, err
		}
		if result.recovered.QuarantineReason != "" {
			quarantineReason = result.recovered.QuarantineReason
		}
		if result.err == nil {
			result.recovered.QuarantineReason = quarantineReason
			return result.store, result.recovered, nil
		}
		onWait(result.err)
		if sleep(ctx, backoff); ctx.Err() != nil {
			return nil, Recovered{QuarantineReason: quarantineReason}, ctx.Err()
		}
		backoff = min(2*backoff, maxStorageRetryBackoff)
	}
}

// awaitOpen waits for the result of one attempt. If ctx ends first, a store that the attempt opens later is closed.
func awaitOpen(ctx context.Context, results chan openResult, onWait func(error)) (openResult, error) {
	ticker := time.NewTicker(WarningInterval)
	defer ticker.Stop()
	startedAt := time.Now()
	for {
		select {
		case result := <-results:
			return result, nil
		case <-ticker.C:
			onWait(unavailable("open", fmt.Errorf("no response from disk for %v", time.Since(startedAt).Round(time.Second))))
		case <-ctx.Done():
			go func() {
				if result := <-results; result.store != nil {
					_ = result.store.db.Close()
				}
			}()
			return openResult{}, ctx.Err()
		}
	}
}
