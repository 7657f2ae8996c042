package storage

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
	"tealpond/internal/tuning"
)

// newStoreFile makes a folder with a file that holds a vote and entries.
func newStoreFile(t *testing.T) (dir, path, id string) {
	t.Helper()
	dir = t.TempDir()
	d, h := reopen(t, nil, dir)
	mustWrite(t, d, WriteRequest{Ready: raft.Ready{HardState: &raft.HardState{Term: 3, Vote: "x"}, Entries: entries(1, 300, 3)}})
	if err := d.db.Close(); err != nil {
		t.Fatal(err)
	}
	return dir, filepath.Join(dir, "tealpond.db"), h.ID
}

func mustReadFile(t *testing.T, path string) []byte {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func requireAbsent(t *testing.T, path string) {
	t.Helper()
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("%s is there: %v", path, err)
	}
}

// A lock that another holds stands for all that passes by itself: before, the
// good file was renamed and a new identity taken.
func TestLockedFileIsLeftAlone(t *testing.T) {
	dir, path, id := newStoreFile(t)
	other, err := bolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if d, h, why, err := Open(dir); err == nil || d != nil || why != "" || h.ID != "" {
		t.Fatalf("%v %q %v", h, why, err)
	}
	requireAbsent(t, path+".foreign")
	_ = other.Close()
	if _, h := reopen(t, nil, dir); h.ID != id || h.HardState.Vote != "x" || len(h.Entries) != 300 {
		t.Fatalf("%s %+v %d", h.ID, h.HardState, len(h.Entries))
	}
}

func TestOpeningAGoodFileWritesNothing(t *testing.T) {
	dir, path, _ := newStoreFile(t)
	before := mustReadFile(t, path)
	d, _ := reopen(t, nil, dir)
	if !bytes.Equal(before, mustReadFile(t, path)) {
		t.Fatal("opening wrote to the file")
	}
	_ = d.db.Close()
}

func TestSystemErrorsLeaveTheFile(t *testing.T) {
	for _, fault := range []error{syscall.ENOSPC, syscall.EIO, syscall.EAGAIN, syscall.EACCES, syscall.EROFS, syscall.ETIMEDOUT, syscall.EMFILE, syscall.ENOMEM} {
		dir, path, id := newStoreFile(t)
		before := mustReadFile(t, path)
		for calls := range 2 { // the check's own call, then bbolt's
			s, n := osFileSystem, 0
			s.openFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
				if n++; n > calls {
					return nil, &os.PathError{Op: "open", Path: name, Err: fault}
				}
				return os.OpenFile(name, flag, mode)
			}
			_, _, why, err := s.open(dir)
			var u *UnavailableError
			if !errors.As(err, &u) || !errors.Is(err, fault) || why != "" {
				t.Fatalf("%v, call %d: %v %q", fault, calls, err, why)
			}
			requireAbsent(t, path+".foreign")
			if !bytes.Equal(before, mustReadFile(t, path)) {
				t.Fatalf("%v: the file changed", fault)
			}
		}
		if _, h := reopen(t, nil, dir); h.ID != id {
			t.Fatalf("%v: a new identity", fault)
		}
	}
}

// A name that no sync of its folder covers may be lost with the power.
func TestDirectoryIsSyncedBeforeIdentityIsUsed(t *testing.T) {
	for _, old := range []string{"", "a file of another program, of some length at least"} {
		dir := t.TempDir()
		path := filepath.Join(dir, "tealpond.db")
		if old != "" {
			if err := os.WriteFile(path, []byte(old), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		var calls []string
		s := osFileSystem
		s.rename = func(from, to string) error {
			calls = append(calls, "rename "+filepath.Base(to))
			return os.Rename(from, to)
		}
		broken := true
		s.syncDirectory = func(d string) error {
			calls = append(calls, "sync")
			if d != dir {
				t.Errorf("synced %s", d)
			}
			if broken {
				return syscall.EIO
			}
			return syncDirectory(d)
		}
		if d, _, _, err := s.open(dir); err == nil || d != nil {
			t.Fatal("opened without a synced folder")
		}
		broken = false
		calls = nil
		_ = os.Remove(path)
		if old != "" {
			_ = os.WriteFile(path, []byte(old), 0o600)
		}
		d, h, _, err := s.open(dir)
		if err != nil || !h.NewIdentity {
			t.Fatal(err)
		}
		_ = d.Close()
		want := []string{"rename tealpond.db", "sync"}
		if old != "" {
			want = append([]string{"rename tealpond.db.foreign", "sync"}, want...)
		}
		if !slices.Equal(calls, want) {
			t.Errorf("%v, want %v", calls, want)
		}
	}
}

// A first start whose folder could not be synced left a whole file behind; its
// identity was not used, but another one must not be minted beside it either.
func TestFileOfFailedFirstStartIsSyncedBeforeUse(t *testing.T) {
	dir := t.TempDir()
	s, synced := osFileSystem, 0
	s.syncDirectory = func(string) error { synced++; return syscall.EIO }
	if _, _, _, err := s.open(dir); err == nil {
		t.Fatal("opened")
	}
	if d, _, _, err := s.open(dir); err == nil || d != nil || synced != 2 {
		t.Fatalf("the second attempt used a name that is not durable: %v, %d syncs", err, synced)
	}
	if _, h := reopen(t, nil, dir); !h.NewIdentity && h.ID == "" {
		t.Fatalf("%+v", h)
	}
}

func TestUninitializedFileIsReplacedSilently(t *testing.T) {
	initOnly := func(path string) {
		db, err := bolt.Open(path, 0o600, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = db.Close()
	}
	for name, make := range map[string]func(path string){
		"empty":      func(p string) { _ = os.WriteFile(p, nil, 0o600) },
		"blank":      func(p string) { _ = os.WriteFile(p, make([]byte, 9000), 0o600) },
		"no buckets": initOnly,
		"cut": func(p string) {
			initOnly(p)
			_ = os.Truncate(p, 8192)
		},
		"left over": func(p string) { _ = os.WriteFile(p+".new", []byte("half a file"), 0o600) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "tealpond.db")
			make(path)
			d, h := reopen(t, nil, dir)
			if !h.NewIdentity || h.ID == "" {
				t.Fatalf("%+v", h)
			}
			requireAbsent(t, path+".foreign")
			requireAbsent(t, path+".new")
			if _, again := reopen(t, d, dir); again.ID != h.ID || again.NewIdentity {
				t.Fatalf("%+v", again)
			}
		})
	}
}

// Each page that is in use is blanked, and one byte of each changed, and the
// file is cut at each page: none of it may end the process, and what opens
// under the old identity must hold all that was written.
func TestCorruptPagesGetNewIdentity(t *testing.T) {
	_, path, id := newStoreFile(t)
	whole := mustReadFile(t, path)
	_, want, _, err := Open(filepath.Dir(path))
	if err != nil {
		t.Fatal(err)
	}
	try := func(what string, b []byte) (stranger bool) {
		dir := t.TempDir()
		p := filepath.Join(dir, "tealpond.db")
		if err := os.WriteFile(p, b, 0o600); err != nil {
			t.Fatal(err)
		}
		d, h, why, err := Open(dir)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		_ = d.Close()
		if h.ID != id {
			if !h.NewIdentity || why == "" || !bytes.Equal(mustReadFile(t, p+".foreign"), b) {
				t.Fatalf("%s: %+v %q", what, h, why)
			}
			return true
		}
		// A bad meta page is what a loss of power in the last write leaves, which
		// nobody was told of: the state before it is the right one.
		if before := what == "meta" && len(h.Entries) == 0 && h.HardState == (raft.HardState{}); !before && (!reflect.DeepEqual(h.Entries, want.Entries) || h.HardState != want.HardState) {
			t.Fatalf("%s: opened with %d entries, %+v", what, len(h.Entries), h.HardState)
		}
		return false
	}
	strangers := 0
	for at := 0; at < len(whole); at += 4096 {
		for name, change := range map[string]func([]byte) []byte{
			"blank": func(b []byte) []byte { clear(b[at : at+4096]); return b },
			"kind":  func(b []byte) []byte { b[at+8] ^= 0xff; return b },
			"count": func(b []byte) []byte { b[at+11] ^= 0x40; return b },
			"cut":   func(b []byte) []byte { return b[:at+100] },
		} {
			if at < 2*4096 && name != "cut" {
				name = "meta"
			}
			if try(name, change(slices.Clone(whole))) {
				strangers++
			}
		}
	}
	if strangers < 10 {
		t.Errorf("only %d changes were noticed", strangers)
	}
}

func TestOnlyNewestCorruptFileIsKept(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "tealpond.db")
	for _, text := range []string{"first", "second"} {
		if err := os.WriteFile(path, []byte(strings.Repeat(text, 50)), 0o600); err != nil {
			t.Fatal(err)
		}
		d, h, why, err := Open(dir)
		if err != nil || why == "" || !h.NewIdentity {
			t.Fatal(err, why)
		}
		_ = d.Close()
	}
	all, _ := os.ReadDir(dir)
	if len(all) != 2 || !strings.HasPrefix(string(mustReadFile(t, path+".foreign")), "second") {
		t.Fatalf("%v", all)
	}
}

func TestOpenWithRetryUntilDiskServes(t *testing.T) {
	dir, _, id := newStoreFile(t)
	synctest.Test(t, func(t *testing.T) {
		s, n := osFileSystem, 0
		s.openFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
			n++
			if n == 3 {
				time.Sleep(2500 * time.Millisecond) // a stalled disk, in virtual time
			}
			if n < 20 {
				return nil, syscall.EIO
			}
			return os.OpenFile(name, flag, mode)
		}
		said, last, widest := 0, time.Now(), time.Duration(0)
		d, h, why, err := s.openWithRetry(t.Context(), dir, func(err error) {
			said++
			widest = max(widest, time.Since(last))
			last = time.Now()
		})
		if err != nil || why != "" || h.ID != id {
			t.Fatalf("%v %q %+v", err, why, h)
		}
		if said < 19+2 || widest > tuning.StorageWarningInterval+tuning.MaxStorageRetryBackoff {
			t.Errorf("said %d times, once %v apart", said, widest)
		}
		_ = d.Close()
	})
}

func TestOpenWithRetryEndsWithContext(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		s := osFileSystem
		s.openFile = func(string, int, os.FileMode) (*os.File, error) { return nil, syscall.ENOSPC }
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		if d, _, _, err := s.openWithRetry(ctx, dir, func(error) {}); d != nil || !errors.Is(err, context.DeadlineExceeded) {
			t.Fatal(err)
		}
	})
}
