package storage

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"os"

	bolt "go.etcd.io/bbolt"
)

// Names of files, which operators know.
const (
	fileName         = "tealpond.db"
	tempSuffix       = ".new"     // of a file that is not complete yet
	corruptSuffix    = ".foreign" // of a file that could not be used
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
// A file that is provably corrupt or of another program is quarantined under another
// name (only the newest of them is kept) and the daemon goes on under a new identity;
// Recovered.QuarantineReason tells why, also beside an error. What can still be read of such a file is
// not used, since an entry or a vote that this identity acknowledged may be in the other
// part, and the cluster relies on it. Under a new identity the daemon is another member,
// which neither votes nor counts until the leader has brought it up to date.
//
// Any other fault is an *UnavailableError or a *VersionError, and leaves all files
// as they are.
func Open(dir string) (*Store, Recovered, error) {
	return osFileSystem.open(dir)
}

func (fs fileSystem) open(dir string) (*Store, Recovered, error) {
	content := &storeContent{}
	opened, err := fs.openChecked(dir, fileName, content)
	if err != nil {
		return nil, Recovered{QuarantineReason: opened.quarantineReason}, err
	}
	content.recovered.NewIdentity, content.recovered.QuarantineReason = opened.created, opened.quarantineReason
	return content.newStore(opened.db), content.recovered, nil
}

// storeContent is the content of the file of a Store.
type storeContent struct {
	recovered  Recovered
	generation uint64 // of the snapshot
}

func (c *storeContent) newStore(db *bolt.DB) *Store {
	return &Store{db: db, commit: db.Update, snapshotGeneration: c.generation}
}

// read checks and reads a whole file.
func (c *storeContent) read(reader io.ReaderAt, size int64) (meta boltMeta, err error) {
	c.recovered, meta, c.generation, err = recoverFile(reader, size)
	return meta, err
}

// isUnused reports whether nothing but an identity was ever written.
func (c *storeContent) isUnused() bool { return c.recovered.isUnused() }

// initialize writes a new identity.
func (c *storeContent) initialize(tx *bolt.Tx) error {
	meta, err := tx.CreateBucket(bucketMeta)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucket(bucketLog); err != nil {
		return err
	}
	return meta.Put(keyIdentity, withChecksum(keyIdentity, []byte(newIdentity())))
}
