package storage

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"testing"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
)

// newStoreFile creates a directory with a file that holds a vote and entries.
func newStoreFile(t *testing.T) (dir, path, id string) {
	t.Helper()
	dir = t.TempDir()
	store, recovered := reopen(t, nil, dir)
	mustWrite(t, store, WriteRequest{Ready: raft.Ready{HardState: &raft.HardState{Term: 3, Vote: "x"}, Entries: entries(1, 300, 3)}})
	if err := store.db.Close(); err != nil {
		t.Fatal(err)
	}
	return dir, filepath.Join(dir, fileName), recovered.ID
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
		t.Fatalf("%s exists, want no such file: %v", path, err)
	}
}

// TestLockedFileIsNotQuarantined guards against an earlier bug in which a locked file was renamed and
// replaced by one with a new identity. The lock represents all transient faults.
func TestLockedFileIsNotQuarantined(t *testing.T) {
	dir, path, id := newStoreFile(t)
	other, err := bolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if store, recovered, err := Open(dir); err == nil || store != nil || recovered.QuarantineReason != "" || recovered.ID != "" {
		t.Fatalf("%v %q %v", recovered, recovered.QuarantineReason, err)
	}
	requireAbsent(t, path+".foreign")
	_ = other.Close()
	if _, recovered := reopen(t, nil, dir); recovered.ID != id || recovered.HardState.Vote != "x" || len(recovered.Entries) != 300 {
		t.Fatalf("%s %+v %d", recovered.ID, recovered.HardState, len(recovered.Entries))
	}
}

func TestOpeningValidFileWritesNothing(t *testing.T) {
	dir, path, _ := newStoreFile(t)
	before := mustReadFile(t, path)
	store, _ := reopen(t, nil, dir)
	if !bytes.Equal(before, mustReadFile(t, path)) {
		t.Fatal("opening wrote to the file")
	}
	_ = store.db.Close()
}

func TestSystemErrorsLeaveFileUnchanged(t *testing.T) {
	for _, fault := range []error{
		syscall.ENOSPC, syscall.EIO, syscall.EAGAIN, syscall.EACCES, syscall.EROFS, syscall.ETIMEDOUT, syscall.EMFILE, syscall.ENOMEM,
	} {
		dir, path, id := newStoreFile(t)
		before := mustReadFile(t, path)
		for succeeding := range 2 { // the call for the verification, then that of bbolt
			fs, opened := osFileSystem, 0
			fs.openFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
				if opened++; opened > succeeding {
					return nil, &os.PathError{Op: "open", Path: name, Err: fault}
				}
				return os.OpenFile(name, flag, mode)
			}
			_, recovered, err := fs.open(dir)
			reason := recovered.QuarantineReason
			var unavailableErr *UnavailableError
			if !errors.As(err, &unavailableErr) || !errors.Is(err, fault) || reason != "" {
				t.Fatalf("%v, call %d: %v %q", fault, succeeding, err, reason)
			}
			requireAbsent(t, path+".foreign")
			if !bytes.Equal(before, mustReadFile(t, path)) {
				t.Fatalf("%v: the file changed", fault)
			}
		}
		if _, recovered := reopen(t, nil, dir); recovered.ID != id {
			t.Fatalf("%v: opened with a new identity", fault)
		}
	}
}

// TestDirectoryIsSyncedBeforeIdentityIsUsed checks that Open fails until the directory is synced: a power
// failure before that may lose the directory entry of the file.
func TestDirectoryIsSyncedBeforeIdentityIsUsed(t *testing.T) {
	for _, foreign := range []string{"", "a file of another program, of some length at least"} {
		dir := t.TempDir()
		path := filepath.Join(dir, fileName)
		if foreign != "" {
			if err := os.WriteFile(path, []byte(foreign), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		var calls []string
		fs := osFileSystem
		fs.rename = func(from, to string) error {
			calls = append(calls, "rename "+filepath.Base(to))
			return os.Rename(from, to)
		}
		failing := true
		fs.syncDirectory = func(synced string) error {
			calls = append(calls, "sync")
			if synced != dir {
				t.Errorf("synced %s", synced)
			}
			if failing {
				return syscall.EIO
			}
			return syncDirectory(synced)
		}
		if store, _, err := fs.open(dir); err == nil || store != nil {
			t.Fatal("opened without a synced directory")
		}
		failing = false
		calls = nil
		_ = os.Remove(path)
		if foreign != "" {
			_ = os.WriteFile(path, []byte(foreign), 0o600)
		}
		store, recovered, err := fs.open(dir)
		if err != nil || !recovered.NewIdentity {
			t.Fatal(err)
		}
		_ = store.Close()
		want := []string{"rename tealpond.db", "sync"}
		if foreign != "" {
			want = append([]string{"rename tealpond.db.foreign", "sync"}, want...)
		}
		if !slices.Equal(calls, want) {
			t.Errorf("%v, want %v", calls, want)
		}
	}
}

// TestFileOfFailedFirstStartIsSyncedBeforeUse checks a start after a first one that created the file
// but could not sync its directory. The identity of the file must not be used before a sync
// succeeds, and no second identity may be created.
func TestFileOfFailedFirstStartIsSyncedBeforeUse(t *testing.T) {
	dir := t.TempDir()
	fs, synced := osFileSystem, 0
	fs.syncDirectory = func(string) error { synced++; return syscall.EIO }
	if _, _, err := fs.open(dir); err == nil {
		t.Fatal("opened")
	}
	if store, _, err := fs.open(dir); err == nil || store != nil || synced != 2 {
		t.Fatalf("the second attempt used a name that is not durable: %v, %d syncs", err, synced)
	}
	if _, recovered := reopen(t, nil, dir); recovered.NewIdentity || recovered.ID == "" {
		t.Fatalf("%+v", recovered)
	}
}

func TestUninitializedFileIsReplacedWithoutReport(t *testing.T) {
	createEmpty := func(path string) {
		db, err := bolt.Open(path, 0o600, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = db.Close()
	}
	for name, prepare := range map[string]func(path string){
		"empty":      func(p string) { _ = os.WriteFile(p, nil, 0o600) },
		"blank":      func(p string) { _ = os.WriteFile(p, make([]byte, 9000), 0o600) },
		"no buckets": createEmpty,
		"cut": func(p string) {
			createEmpty(p)
			_ = os.Truncate(p, 8192)
		},
		"left over": func(p string) { _ = os.WriteFile(p+".new", []byte("half a file"), 0o600) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, fileName)
			prepare(path)
			store, recovered := reopen(t, nil, dir)
			if !recovered.NewIdentity || recovered.ID == "" {
				t.Fatalf("%+v", recovered)
			}
			requireAbsent(t, path+".foreign")
			requireAbsent(t, path+".new")
			if _, again := reopen(t, store, dir); again.ID != recovered.ID || again.NewIdentity {
				t.Fatalf("%+v", again)
			}
		})
	}
}

// TestCorruptPagesGetNewIdentity zeroes each page, changes single bytes of its header, and truncates
// the file in each page. None of these may end the process, and
// a file that opens under the old identity must hold everything that was written.
func TestCorruptPagesGetNewIdentity(t *testing.T) {
	_, path, id := newStoreFile(t)
	original := mustReadFile(t, path)
	_, want, err := Open(filepath.Dir(path))
	if err != nil {
		t.Fatal(err)
	}
	try := func(what string, b []byte) (newIdentity bool) {
		dir := t.TempDir()
		copied := filepath.Join(dir, fileName)
		if err := os.WriteFile(copied, b, 0o600); err != nil {
			t.Fatal(err)
		}
		store, recovered, err := Open(dir)
		reason := recovered.QuarantineReason
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		_ = store.Close()
		if recovered.ID != id {
			if !recovered.NewIdentity || reason == "" || !bytes.Equal(mustReadFile(t, copied+".foreign"), b) {
				t.Fatalf("%s: %+v %q", what, recovered, reason)
			}
			return true
		}
		// A power failure during the last write, which was then never acknowledged, leaves
		// an invalid meta page as well, so the state before that write is correct.
		isBefore := what == "meta" && len(recovered.Entries) == 0 && recovered.HardState == (raft.HardState{})
		isWritten := reflect.DeepEqual(recovered.Entries, want.Entries) && recovered.HardState == want.HardState
		if !isBefore && !isWritten {
			t.Fatalf("%s: opened with %d entries, %+v", what, len(recovered.Entries), recovered.HardState)
		}
		return false
	}
	rejected := 0
	for offset := 0; offset < len(original); offset += 4096 {
		for name, change := range map[string]func([]byte) []byte{
			"blank": func(b []byte) []byte { clear(b[offset : offset+4096]); return b },
			"kind":  func(b []byte) []byte { b[offset+8] ^= 0xff; return b },
			"count": func(b []byte) []byte { b[offset+11] ^= 0x40; return b },
			"cut":   func(b []byte) []byte { return b[:offset+100] },
		} {
			if offset < 2*4096 && name != "cut" {
				name = "meta"
			}
			if try(name, change(slices.Clone(original))) {
				rejected++
			}
		}
	}
	if rejected < 10 {
		t.Errorf("only %d changes were detected", rejected)
	}
}

func TestOnlyNewestCorruptFileIsKept(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	for _, text := range []string{"first", "second"} {
		if err := os.WriteFile(path, []byte(strings.Repeat(text, 50)), 0o600); err != nil {
			t.Fatal(err)
		}
		store, recovered, err := Open(dir)
		reason := recovered.QuarantineReason
		if err != nil || reason == "" || !recovered.NewIdentity {
			t.Fatal(err, reason)
		}
		_ = store.Close()
	}
	all, _ := os.ReadDir(dir)
	if len(all) != 2 || !strings.HasPrefix(string(mustReadFile(t, path+".foreign")), "second") {
		t.Fatalf("%v", all)
	}
}
