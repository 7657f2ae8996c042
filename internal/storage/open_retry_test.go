package storage

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

func TestOpenWithRetryUntilDiskRecovers(t *testing.T) {
	dir, _, id := newStoreFile(t)
	synctest.Test(t, func(t *testing.T) {
		fs, opened := osFileSystem, 0
		fs.openFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
			opened++
			if opened == 3 {
				time.Sleep(2500 * time.Millisecond) // a stalled disk, in synctest's virtual time
			}
			if opened < 20 {
				return nil, syscall.EIO
			}
			return os.OpenFile(name, flag, mode)
		}
		reports, last, longestGap := 0, time.Now(), time.Duration(0)
		store, recovered, err := fs.openWithRetry(t.Context(), dir, func(err error) {
			reports++
			longestGap = max(longestGap, time.Since(last))
			last = time.Now()
		})
		reason := recovered.QuarantineReason
		if err != nil || reason != "" || recovered.ID != id {
			t.Fatalf("%v %q %+v", err, reason, recovered)
		}
		if reports < 19+2 || longestGap > WarningInterval+maxStorageRetryBackoff {
			t.Errorf("reported %d times, with a longest gap of %v", reports, longestGap)
		}
		_ = store.Close()
	})
}

func TestOpenWithRetryEndsWithContext(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		fs := osFileSystem
		fs.openFile = func(string, int, os.FileMode) (*os.File, error) { return nil, syscall.ENOSPC }
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if store, _, err := fs.openWithRetry(ctx, dir, func(error) {}); store != nil || !errors.Is(err, context.DeadlineExceeded) {
			t.Fatal(err)
		}
	})
}
