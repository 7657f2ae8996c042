package storage

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"os"

	bolt "go.etcd.io/bbolt"
)

// File names and suffixes. Operators rely on them.
const (
	fileName         = "tealpond.db"
	tempSuffix       = ".new"     // of a file that is still being created
	corruptSuffix    = ".foreign" // of a corrupt or foreign file that was quarantined
	wrongStateSuffix = ".differs" // of a file that ResetIdentity replaced
	fileMode         = 0o600
)

// fileSystem holds the system calls made while a file is opened, so that tests can inject failures.
type fileSystem struct {
	openFile      func(name string, flag int, mode os.FileMode) (*os.File, error)
	rename        func(from, to string) error
	syncDirectory func(dir string) error
}

var osFileSystem = fileSystem{openFile: os.OpenFile, rename: os.Rename, syncDirectory: syncDirectory}

// syncDirectory makes created, renamed and removed directory entries of dir durable.
func syncDirectory(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// newIdentity returns a random ID for a new file.
func newIdentity() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // documented never to return an error
	return hex.EncodeToString(b[:])
}

// Open makes one attempt to open the file of a directory, and creates the file if there is none. A
// valid file is read without any write, so that a daemon keeps its identity even if the disk
// is full. The directory is synced each time, since an earlier run of the daemon may have ended
// before that sync. A failure of this sync is an error only while the file holds no Raft state and no
// founders.
//
// A file that is provably corrupt, or belongs to another program, is quarantined by renaming it
// (only the newest one is kept), and the daemon continues under a new identity.
// Recovered.QuarantineReason holds the reason, also when an error is returned. The readable part of
// such a file is not used: the unreadable part may hold an entry or a vote that this identity
// acknowledged and that the cluster relies on. Under a new identity the daemon is another member,
// which neither votes nor counts towards a quorum until the leader has brought it up to date.
//
// Any other failure is an *UnavailableError or a *VersionError. It never changes a file that has an
// identity; a new file, or one with the suffix ".new", may be left behind.
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

// read verifies and reads a whole file.
func (c *storeContent) read(reader io.ReaderAt, size int64) (meta boltMeta, err error) {
	c.recovered, meta, c.generation, err = recoverFile(reader, size)
	return meta, err
}

// isUnused reports whether the file holds no Raft state and no founders.
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
