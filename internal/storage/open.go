package storage

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"tealpond/internal/tuning"
)

const (
	fileName      = "tealpond.db"
	tempSuffix    = ".new"
	corruptSuffix = ".foreign"
	fileMode      = 0o600
)

// fileSystem are the calls to the system that opening makes; tests have them fail.
type fileSystem struct {
	openFile      func(name string, flag int, mode os.FileMode) (*os.File, error)
	rename        func(from, to string) error
	syncDirectory func(dir string) error
}

var osFileSystem = fileSystem{openFile: os.OpenFile, rename: os.Rename, syncDirectory: syncDirectory}

// syncDirectory makes names that were added, changed or removed in dir durable.
func syncDirectory(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

func newIdentity() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Open reads the folder once. An existing good file is read without any write,
// so that a full disk keeps nobody from its identity. Its folder is synced each
// time, as the daemon may have ended before it came to that; a fault of this
// counts only while nothing was promised from the file yet.
//
// A file that is provably torn or foreign is put aside (the newest one is
// kept) and the daemon goes on under a new identity; the string says why. Why
// wholly, and not with what still reads: an entry or a vote that this identity
// acknowledged may be in the part that does not, and the others count on it.
// Under a new identity it is a stranger, which neither votes nor counts until
// the leader has caught it up.
//
// Any other fault is *Unavailable and leaves all files as they are.
func Open(dir string) (*Store, Recovered, string, error) { return osFileSystem.open(dir) }

func (fs fileSystem) open(dir string) (*Store, Recovered, string, error) {
	path := filepath.Join(dir, fileName)
	store, recovered, err := fs.loadFile(path)
	var corruptErr *CorruptError
	reason := ""
	switch {
	case err == nil:
		if err := fs.syncDirectory(dir); err != nil && recovered.isUnused() {
			_ = store.Close()
			return nil, Recovered{}, "", unavailable("sync folder", err)
		}
		return store, recovered, "", nil
	case errors.Is(err, errUninitialized):
	case errors.As(err, &corruptErr):
		reason = corruptErr.Error()
		if err := fs.rename(path, path+corruptSuffix); err != nil {
			return nil, Recovered{}, reason, unavailable("put aside", err)
		}
		if err := fs.syncDirectory(dir); err != nil {
			return nil, Recovered{}, reason, unavailable("sync folder", err)
		}
	default:
		return nil, Recovered{}, "", err
	}
	if err := fs.create(dir, path); err != nil {
		return nil, Recovered{}, reason, err
	}
	if store, recovered, err = fs.loadFile(path); err != nil {
		if errors.As(err, &corruptErr) || errors.Is(err, errUninitialized) {
			err = unavailable("read what was just written", err)
		}
		return nil, Recovered{}, reason, err
	}
	recovered.NewIdentity = true
	return store, recovered, reason, nil
}

// errUninitialized means that there is no file, or one that never got an identity:
// the daemon ended between making it and the first sync. Nothing was promised
// from it, so it is replaced without a word.
var errUninitialized = errors.New("no identity yet")

// create makes the file under another name, and gives it its own one once its
// content is synced; the folder is synced before the identity is used. Why: a
// name that was not synced may be lost with the power, and the votes and
// entries that others were promised from it would be lost with it.
func (fs fileSystem) create(dir, path string) error {
	temp := path + tempSuffix
	if err := os.Remove(temp); err != nil && !errors.Is(err, os.ErrNotExist) {
		return unavailable("remove", err)
	}
	db, err := fs.openBolt(temp)
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucket(bucketMeta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucket(bucketLog); err != nil {
			return err
		}
		return meta.Put(keyIdentity, withChecksum(keyIdentity, []byte(newIdentity())))
	})
	if closeErr := db.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return unavailable("create", err)
	}
	if err := fs.rename(temp, path); err != nil {
		return unavailable("rename", err)
	}
	if err := fs.syncDirectory(dir); err != nil {
		return unavailable("sync folder", err)
	}
	return nil
}

// openBolt opens a file that was checked. NoFreelistSync leaves the list of free
// pages out of the file: it is found anew from the tree when opening, so that
// no page of it can be torn, and opening writes nothing. The order of bbolt's
// writes stays: new pages, sync, meta page, sync; pages of the older meta are
// not written again before the newer one is synced.
func (fs fileSystem) openBolt(path string) (db *bolt.DB, err error) {
	defer func() {
		if r := recover(); r != nil {
			db, err = nil, corrupt("file", "%v", r)
		}
	}()
	db, err = bolt.Open(path, fileMode, &bolt.Options{Timeout: tuning.StorageLockTimeout, NoFreelistSync: true, FreelistType: bolt.FreelistMapType, OpenFile: fs.openFile})
	if err != nil {
		return nil, unavailable("open", err)
	}
	return db, nil
}

// loadFile checks and reads an existing file and opens it for writing.
func (fs fileSystem) loadFile(path string) (*Store, Recovered, error) {
	f, err := fs.openFile(path, os.O_RDWR, fileMode)
	if errors.Is(err, os.ErrNotExist) {
		return nil, Recovered{}, errUninitialized
	}
	if err != nil {
		return nil, Recovered{}, unavailable("open", err)
	}
	recovered, meta, generation, err := checkFile(f)
	// Closing gives the lock back, which bbolt takes for itself.
	_ = f.Close()
	if err != nil {
		return nil, Recovered{}, err
	}
	db, err := fs.openBolt(path)
	if err != nil {
		return nil, Recovered{}, err
	}
	same := false
	_ = db.View(func(tx *bolt.Tx) error {
		same = uint64(tx.ID()) == meta.txid
		return nil
	})
	if !same {
		_ = db.Close()
		return nil, Recovered{}, unavailable("open", errors.New("another process wrote to it"))
	}
	return &Store{db: db, commit: db.Update, snapshotGeneration: generation}, recovered, nil
}

// checkFile reads a file that no other process has open, and the generation of its
// snapshot.
func checkFile(f *os.File) (Recovered, boltMeta, uint64, error) {
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return Recovered{}, boltMeta{}, 0, unavailable("lock", err)
	}
	info, err := f.Stat()
	if err != nil {
		return Recovered{}, boltMeta{}, 0, unavailable("stat", err)
	}
	if !info.Mode().IsRegular() {
		return Recovered{}, boltMeta{}, 0, unavailable("open", fmt.Errorf("%s is no file", info.Name()))
	}
	recovered, meta, generation, err := recoverFile(f, info.Size())
	var corruptErr *CorruptError
	if errors.As(err, &corruptErr) {
		blank, e := isUninitialized(f, info.Size())
		if e != nil {
			return Recovered{}, boltMeta{}, 0, e
		}
		if blank {
			err = errUninitialized
		}
	}
	return recovered, meta, generation, err
}

// isUninitialized tells whether a torn file can't ever have held an identity: it is
// blank, or it has no more pages than bbolt makes a new file from and starts
// like them. The first transaction of ours grows the file before it writes.
func isUninitialized(reader io.ReaderAt, size int64) (bool, error) {
	page := make([]byte, initialPageSize)
	fewPages, validMeta := size <= initialPages*initialPageSize, false
	for offset := int64(0); offset < size; offset += initialPageSize {
		n := min(int64(len(page)), size-offset)
		if err := readAt(reader, page[:n], offset); err != nil {
			return false, err
		}
		blank := true
		for _, c := range page[:n] {
			blank = blank && c == 0
		}
		if offset == 0 && n >= pageHeaderSize+metaSize {
			meta, ok := parseMeta(page[pageHeaderSize:])
			validMeta = ok && meta.highWaterMark <= initialPages
		}
		if !blank && !(fewPages && validMeta) {
			return false, nil
		}
	}
	return true, nil
}

// OpenWithRetry opens the folder, and tries again for as long as it is unavailable,
// with a pause that grows to a bound. It says so by waits at each fault, and
// once a second while a call hangs. The only error is that of ctx.
func OpenWithRetry(ctx context.Context, dir string, onWait func(error)) (*Store, Recovered, string, error) {
	return osFileSystem.openWithRetry(ctx, dir, onWait)
}

type openResult struct {
	store     *Store
	recovered Recovered
	reason    string
	err       error
}

func (fs fileSystem) openWithRetry(ctx context.Context, dir string, onWait func(error)) (*Store, Recovered, string, error) {
	pause := tuning.StorageRetryBackoff
	reason := ""
	for {
		results := make(chan openResult, 1)
		go func() {
			var result openResult
			result.store, result.recovered, result.reason, result.err = fs.open(dir)
			results <- result
		}()
		result, err := awaitOpen(ctx, results, onWait)
		if err != nil {
			return nil, Recovered{}, reason, err
		}
		if result.reason != "" {
			reason = result.reason
		}
		if result.err == nil {
			return result.store, result.recovered, reason, nil
		}
		onWait(result.err)
		if sleep(ctx, pause); ctx.Err() != nil {
			return nil, Recovered{}, reason, ctx.Err()
		}
		pause = min(2*pause, tuning.MaxStorageRetryBackoff)
	}
}

// awaitOpen waits for one attempt. An attempt that outlives ctx closes what it got.
func awaitOpen(ctx context.Context, results chan openResult, onWait func(error)) (openResult, error) {
	ticker := time.NewTicker(tuning.StorageWarningInterval)
	defer ticker.Stop()
	startedAt := time.Now()
	for {
		select {
		case result := <-results:
			return result, nil
		case <-ticker.C:
			onWait(unavailable("open", fmt.Errorf("no answer from the disk for %v", time.Since(startedAt).Round(time.Second))))
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
