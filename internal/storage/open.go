package storage

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"tealpond/internal/tuning"
)

// Names of files, which operators know.
const (
	fileName         = "tealpond.db"
	tempSuffix       = ".new"     // of a file that is not complete yet
	corruptSuffix    = ".foreign" // of a file that Open could not use
	wrongStateSuffix = ".differs" // of a file that ResetIdentity replaced
	fileMode         = 0o600
)

// fileSystem holds the system calls that opening makes; tests let them fail.
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

// newIdentity draws the random ID of a new file.
func newIdentity() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails, as its documentation says
	return hex.EncodeToString(b[:])
}

// Open opens the file of a directory once, and creates it if there is none. A good
// file is read without any write, so that a full disk keeps no daemon from its
// identity. The directory is synced each time, since the daemon may have ended
// before it came to that; a failure of this sync counts only while the file holds
// nothing but an identity.
//
// A file that is provably corrupt or of another program is set aside under another
// name (only the newest of them is kept) and the daemon goes on under a new identity;
// setAsideReason tells why, and is else empty. What can still be read of such a file is
// not used, since an entry or a vote that this identity acknowledged may be in the other
// part, and the cluster relies on it. Under a new identity the daemon is another member,
// which neither votes nor counts until the leader has brought it up to date.
//
// Any other fault is an *UnavailableError or a *VersionError, and leaves all files
// as they are.
func Open(dir string) (store *Store, recovered Recovered, setAsideReason string, err error) {
	return osFileSystem.open(dir)
}

func (fs fileSystem) open(dir string) (*Store, Recovered, string, error) {
	path := filepath.Join(dir, fileName)
	store, recovered, err := fs.loadFile(path)
	var corruptErr *CorruptError
	setAsideReason := ""
	switch {
	case err == nil:
		if err := fs.syncDirectory(dir); err != nil && recovered.isUnused() {
			_ = store.Close()
			return nil, Recovered{}, "", unavailable("sync folder", err)
		}
		return store, recovered, "", nil
	case errors.Is(err, errUninitialized):
	case errors.As(err, &corruptErr):
		setAsideReason = corruptErr.Error()
		if err := fs.rename(path, path+corruptSuffix); err != nil {
			return nil, Recovered{}, setAsideReason, unavailable("put aside", err)
		}
		if err := fs.syncDirectory(dir); err != nil {
			return nil, Recovered{}, setAsideReason, unavailable("sync folder", err)
		}
	default:
		return nil, Recovered{}, "", err
	}
	if err := fs.create(dir, path); err != nil {
		return nil, Recovered{}, setAsideReason, err
	}
	if store, recovered, err = fs.loadFile(path); err != nil {
		if errors.As(err, &corruptErr) || errors.Is(err, errUninitialized) {
			err = unavailable("read what was just written", err)
		}
		return nil, Recovered{}, setAsideReason, err
	}
	recovered.NewIdentity = true
	return store, recovered, setAsideReason, nil
}

// errUninitialized means that there is no file, or one that never got an identity,
// since the daemon ended between creating it and the first sync. Nobody relies on
// such a file, so it is replaced without notice.
var errUninitialized = errors.New("no identity yet")

// create makes the file under a temporary name, renames it once its content is
// synced, and syncs the directory before the identity is used: a name that was not
// synced may be lost with the power, and with it the votes and entries that this
// member acknowledged.
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

// openBolt opens a file that was checked. NoFreelistSync keeps the list of free
// pages out of the file: bbolt finds it from the tree when it opens the file, so
// that no page of it can be torn, and opening writes nothing. The order of bbolt's
// writes stays: new pages, sync, meta page, sync; pages of the older meta are not
// written again before the newer one is synced.
func (fs fileSystem) openBolt(path string) (db *bolt.DB, err error) {
	defer func() {
		if r := recover(); r != nil {
			db, err = nil, corrupt("file", "%v", r)
		}
	}()
	db, err = bolt.Open(path, fileMode, &bolt.Options{
		Timeout:        tuning.StorageLockTimeout,
		NoFreelistSync: true,
		FreelistType:   bolt.FreelistMapType,
		OpenFile:       fs.openFile,
	})
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
	// Closing releases the lock, which bbolt takes for itself. Nothing was written,
	// so an error of it has no consequence.
	_ = f.Close()
	if err != nil {
		return nil, Recovered{}, err
	}
	db, err := fs.openBolt(path)
	if err != nil {
		return nil, Recovered{}, err
	}
	unchanged := false
	_ = db.View(func(tx *bolt.Tx) error {
		unchanged = uint64(tx.ID()) == meta.txid
		return nil
	})
	if !unchanged {
		_ = db.Close()
		return nil, Recovered{}, unavailable("open", errors.New("another process wrote to it"))
	}
	return &Store{db: db, commit: db.Update, snapshotGeneration: generation}, recovered, nil
}

// checkFile checks and reads a file that no other process has open. It returns the
// contents, the meta page and the generation of the snapshot.
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
		uninitialized, readErr := isUninitialized(f, info.Size())
		if readErr != nil {
			return Recovered{}, boltMeta{}, 0, readErr
		}
		if uninitialized {
			err = errUninitialized
		}
	}
	return recovered, meta, generation, err
}

// isUninitialized tells whether a corrupt file can never have held an identity: it
// is blank, or it has no more pages than a new file of bbolt and starts like one. The
// first transaction of this package grows the file before it writes.
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
		asCreated := fewPages && validMeta
		if !blank && !asCreated {
			return false, nil
		}
	}
	return true, nil
}
