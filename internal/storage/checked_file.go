package storage

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
)

// lockTimeout is how long one attempt to open the file waits for its lock.
const lockTimeout = 100 * time.Millisecond

// fileContent is the content of one kind of file of this package. Each attempt to open the file reads it again.
type fileContent interface {
	// read verifies and reads a whole file without bbolt, and returns its newest meta page.
	read(reader io.ReaderAt, size int64) (boltMeta, error)
	// isUnused reports whether the file holds no state that another component relies on.
	isUnused() bool
	// initialize writes the initial content of a new file.
	initialize(tx *bolt.Tx) error
}

// openedFile is the outcome of opening a file.
type openedFile struct {
	db               *bolt.DB
	created          bool
	quarantineReason string // why an earlier file was quarantined; empty if none was
}

// openChecked opens or creates the named file of a directory, with the guarantees described at Open.
func (fs fileSystem) openChecked(dir, name string, content fileContent) (opened openedFile, err error) {
	path := filepath.Join(dir, name)
	opened.db, err = fs.loadChecked(path, content)
	var corruptErr *CorruptError
	switch {
	case err == nil:
		if err := fs.syncDirectory(dir); err != nil && content.isUnused() {
			_ = opened.db.Close()
			return opened, unavailable("sync directory", err)
		}
		return opened, nil
	case errors.Is(err, errUninitialized):
	case errors.As(err, &corruptErr):
		opened.quarantineReason = corruptErr.Error()
		if err := fs.rename(path, path+corruptSuffix); err != nil {
			return opened, unavailable("quarantine corrupt file", err)
		}
		if err := fs.syncDirectory(dir); err != nil {
			return opened, unavailable("sync directory", err)
		}
	default:
		return opened, err
	}
	if err := fs.create(dir, path, content.initialize); err != nil {
		return opened, err
	}
	if opened.db, err = fs.loadChecked(path, content); err != nil {
		if errors.As(err, &corruptErr) || errors.Is(err, errUninitialized) {
			err = unavailable("read newly created file", err)
		}
		return opened, err
	}
	opened.created = true
	return opened, nil
}

// errUninitialized means that the file does not exist, or that it never received an identity
// because the daemon ended between creating it and the first sync. No member relies on
// such a file, so it is replaced without a report.
var errUninitialized = errors.New("file has no identity yet")

// create writes the file under a temporary name, renames it once its content is
// synced, and syncs the directory before the identity is used. A directory entry that
// was not synced may be lost in a power failure, together with the votes and entries
// that this member acknowledged.
func (fs fileSystem) create(dir, path string, initialize func(*bolt.Tx) error) error {
	temp := path + tempSuffix
	if err := os.Remove(temp); err != nil && !errors.Is(err, os.ErrNotExist) {
		return unavailable("remove", err)
	}
	db, err := fs.openBolt(temp)
	if err != nil {
		return err
	}
	err = db.Update(initialize)
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
		return unavailable("sync directory", err)
	}
	return nil
}

// openBolt opens a verified file, or creates a new one. NoFreelistSync keeps the list of
// free pages out of the file: bbolt rebuilds it from the tree when it opens the file, so
// that no freelist page can be torn, and opening an existing file writes nothing. The order of bbolt's
// writes is unaffected: new pages, sync, meta page, sync. Pages that the older meta page
// refers to are not overwritten before the newer meta page is synced.
func (fs fileSystem) openBolt(path string) (db *bolt.DB, err error) {
	defer func() {
		if r := recover(); r != nil {
			db, err = nil, corrupt("file", "%v", r)
		}
	}()
	db, err = bolt.Open(path, fileMode, &bolt.Options{
		Timeout:        lockTimeout,
		NoFreelistSync: true,
		FreelistType:   bolt.FreelistMapType,
		OpenFile:       fs.openFile,
	})
	if err != nil {
		return nil, unavailable("open", err)
	}
	return db, nil
}

// loadChecked verifies and reads an existing file and opens it for writing.
func (fs fileSystem) loadChecked(path string, content fileContent) (*bolt.DB, error) {
	f, err := fs.openFile(path, os.O_RDWR, fileMode)
	if errors.Is(err, os.ErrNotExist) {
		return nil, errUninitialized
	}
	if err != nil {
		return nil, unavailable("open", err)
	}
	meta, err := checkFile(f, content)
	// Close releases the lock, so that bbolt can take its own. Nothing was written,
	// so an error from Close has no consequence.
	_ = f.Close()
	if err != nil {
		return nil, err
	}
	db, err := fs.openBolt(path)
	if err != nil {
		return nil, err
	}
	unchanged := false
	_ = db.View(func(tx *bolt.Tx) error {
		unchanged = uint64(tx.ID()) == meta.txid
		return nil
	})
	if !unchanged {
		_ = db.Close()
		return nil, unavailable("open", errors.New("another process changed the file after it was verified"))
	}
	return db, nil
}

// checkFile locks, verifies and reads a file that no other process has locked. It
// returns the meta page.
func checkFile(f *os.File, content fileContent) (boltMeta, error) {
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return boltMeta{}, unavailable("lock", err)
	}
	info, err := f.Stat()
	if err != nil {
		return boltMeta{}, unavailable("stat", err)
	}
	if !info.Mode().IsRegular() {
		return boltMeta{}, unavailable("open", fmt.Errorf("%s is not a regular file", info.Name()))
	}
	meta, err := content.read(f, info.Size())
	var corruptErr *CorruptError
	if errors.As(err, &corruptErr) {
		uninitialized, readErr := isUninitialized(f, info.Size())
		if readErr != nil {
			return boltMeta{}, readErr
		}
		if uninitialized {
			err = errUninitialized
		}
	}
	return meta, err
}

// isUninitialized reports whether a corrupt file can never have held an identity: it
// is all zeros, or it has no more pages than a new bbolt file and starts with a valid meta page
// of one. The first transaction of this package grows the file before it writes.
func isUninitialized(reader io.ReaderAt, size int64) (bool, error) {
	buffer := make([]byte, initialPageSize)
	fewPages, validMeta := size <= initialPages*initialPageSize, false
	for offset := int64(0); offset < size; offset += initialPageSize {
		n := min(int64(len(buffer)), size-offset)
		if err := readAt(reader, buffer[:n], offset); err != nil {
			return false, err
		}
		blank := true
		for _, c := range buffer[:n] {
			blank = blank && c == 0
		}
		if offset == 0 && n >= pageHeaderSize+metaSize {
			meta, ok := parseMeta(buffer[pageHeaderSize:])
			validMeta = ok && meta.highWaterMark <= initialPages
		}
		isNewBolt := fewPages && validMeta
		if !blank && !isNewBolt {
			return false, nil
		}
	}
	return true, nil
}
