package disk

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

	"tealpond/internal/tune"
)

const (
	fileName  = "tealpond.db"
	newSuffix = ".new"
	asideName = ".foreign"
	fileMode  = 0o600
)

// files are the calls to the system that opening makes; tests have them fail.
type files struct {
	open    func(name string, flag int, mode os.FileMode) (*os.File, error)
	rename  func(from, to string) error
	syncDir func(dir string) error
}

var system = files{open: os.OpenFile, rename: os.Rename, syncDir: syncDir}

// syncDir makes names that were added, changed or removed in dir durable.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

func mint() string {
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
func Open(dir string) (*Disk, Held, string, error) { return system.open1(dir) }

func (s files) open1(dir string) (*Disk, Held, string, error) {
	path := filepath.Join(dir, fileName)
	d, h, err := s.load(path)
	var t *Torn
	why := ""
	switch {
	case err == nil:
		if err := s.syncDir(dir); err != nil && h.unused() {
			_ = d.Close()
			return nil, Held{}, "", unavailable("sync folder", err)
		}
		return d, h, "", nil
	case errors.Is(err, errUnborn):
	case errors.As(err, &t):
		why = t.Error()
		if err := s.rename(path, path+asideName); err != nil {
			return nil, Held{}, why, unavailable("put aside", err)
		}
		if err := s.syncDir(dir); err != nil {
			return nil, Held{}, why, unavailable("sync folder", err)
		}
	default:
		return nil, Held{}, "", err
	}
	if err := s.create(dir, path); err != nil {
		return nil, Held{}, why, err
	}
	if d, h, err = s.load(path); err != nil {
		if errors.As(err, &t) || errors.Is(err, errUnborn) {
			err = unavailable("read what was just written", err)
		}
		return nil, Held{}, why, err
	}
	h.Fresh = true
	return d, h, why, nil
}

// errUnborn means that there is no file, or one that never got an identity:
// the daemon ended between making it and the first sync. Nothing was promised
// from it, so it is replaced without a word.
var errUnborn = errors.New("no identity yet")

// create makes the file under another name, and gives it its own one once its
// content is synced; the folder is synced before the identity is used. Why: a
// name that was not synced may be lost with the power, and the votes and
// entries that others were promised from it would be lost with it.
func (s files) create(dir, path string) error {
	temp := path + newSuffix
	if err := os.Remove(temp); err != nil && !errors.Is(err, os.ErrNotExist) {
		return unavailable("remove", err)
	}
	db, err := s.bolt(temp)
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bolt.Tx) error {
		m, err := tx.CreateBucket(bMeta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucket(bLog); err != nil {
			return err
		}
		return m.Put(kID, seal(kID, []byte(mint())))
	})
	if e := db.Close(); err == nil {
		err = e
	}
	if err != nil {
		return unavailable("create", err)
	}
	if err := s.rename(temp, path); err != nil {
		return unavailable("rename", err)
	}
	if err := s.syncDir(dir); err != nil {
		return unavailable("sync folder", err)
	}
	return nil
}

// bolt opens a file that was checked. NoFreelistSync leaves the list of free
// pages out of the file: it is found anew from the tree when opening, so that
// no page of it can be torn, and opening writes nothing. The order of bbolt's
// writes stays: new pages, sync, meta page, sync; pages of the older meta are
// not written again before the newer one is synced.
func (s files) bolt(path string) (db *bolt.DB, err error) {
	defer func() {
		if r := recover(); r != nil {
			db, err = nil, torn("file", "%v", r)
		}
	}()
	db, err = bolt.Open(path, fileMode, &bolt.Options{Timeout: tune.DiskLock, NoFreelistSync: true, FreelistType: bolt.FreelistMapType, OpenFile: s.open})
	if err != nil {
		return nil, unavailable("open", err)
	}
	return db, nil
}

// load checks and reads an existing file and opens it for writing.
func (s files) load(path string) (*Disk, Held, error) {
	f, err := s.open(path, os.O_RDWR, fileMode)
	if errors.Is(err, os.ErrNotExist) {
		return nil, Held{}, errUnborn
	}
	if err != nil {
		return nil, Held{}, unavailable("open", err)
	}
	h, m, g, err := check(f)
	// Closing gives the lock back, which bbolt takes for itself.
	_ = f.Close()
	if err != nil {
		return nil, Held{}, err
	}
	db, err := s.bolt(path)
	if err != nil {
		return nil, Held{}, err
	}
	same := false
	_ = db.View(func(tx *bolt.Tx) error {
		same = uint64(tx.ID()) == m.txid
		return nil
	})
	if !same {
		_ = db.Close()
		return nil, Held{}, unavailable("open", errors.New("another process wrote to it"))
	}
	return &Disk{db: db, update: db.Update, generation: g}, h, nil
}

// check reads a file that no other process has open, and the generation of its
// snapshot.
func check(f *os.File) (Held, boltMeta, uint64, error) {
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return Held{}, boltMeta{}, 0, unavailable("lock", err)
	}
	info, err := f.Stat()
	if err != nil {
		return Held{}, boltMeta{}, 0, unavailable("stat", err)
	}
	if !info.Mode().IsRegular() {
		return Held{}, boltMeta{}, 0, unavailable("open", fmt.Errorf("%s is no file", info.Name()))
	}
	h, m, g, err := readHeld(f, info.Size())
	var t *Torn
	if errors.As(err, &t) {
		blank, e := unborn(f, info.Size())
		if e != nil {
			return Held{}, boltMeta{}, 0, e
		}
		if blank {
			err = errUnborn
		}
	}
	return h, m, g, err
}

// unborn tells whether a torn file can't ever have held an identity: it is
// blank, or it has no more pages than bbolt makes a new file from and starts
// like them. The first transaction of ours grows the file before it writes.
func unborn(r io.ReaderAt, size int64) (bool, error) {
	b := make([]byte, birthPageSize)
	short, magic := size <= birthPages*birthPageSize, false
	for at := int64(0); at < size; at += birthPageSize {
		n := min(int64(len(b)), size-at)
		if err := readAt(r, b[:n], at); err != nil {
			return false, err
		}
		blank := true
		for _, c := range b[:n] {
			blank = blank && c == 0
		}
		if at == 0 && n >= pageHeader+metaSize {
			m, ok := parseMeta(b[pageHeader:])
			magic = ok && m.high <= birthPages
		}
		if !blank && !(short && magic) {
			return false, nil
		}
	}
	return true, nil
}

// Await opens the folder, and tries again for as long as it is unavailable,
// with a pause that grows to a bound. It says so by waits at each fault, and
// once a second while a call hangs. The only error is that of ctx.
func Await(ctx context.Context, dir string, waits func(error)) (*Disk, Held, string, error) {
	return system.await(ctx, dir, waits)
}

type opened struct {
	disk *Disk
	held Held
	why  string
	err  error
}

func (s files) await(ctx context.Context, dir string, waits func(error)) (*Disk, Held, string, error) {
	pause := tune.DiskRetry
	why := ""
	for {
		got := make(chan opened, 1)
		go func() {
			var o opened
			o.disk, o.held, o.why, o.err = s.open1(dir)
			got <- o
		}()
		o, err := hear(ctx, got, waits)
		if err != nil {
			return nil, Held{}, why, err
		}
		if o.why != "" {
			why = o.why
		}
		if o.err == nil {
			return o.disk, o.held, why, nil
		}
		waits(o.err)
		if sleep(ctx, pause); ctx.Err() != nil {
			return nil, Held{}, why, ctx.Err()
		}
		pause = min(2*pause, tune.DiskRetryMost)
	}
}

// hear waits for one attempt. An attempt that outlives ctx closes what it got.
func hear(ctx context.Context, got chan opened, waits func(error)) (opened, error) {
	t := time.NewTicker(tune.DiskSay)
	defer t.Stop()
	since := time.Now()
	for {
		select {
		case o := <-got:
			return o, nil
		case <-t.C:
			waits(unavailable("open", fmt.Errorf("no answer from the disk for %v", time.Since(since).Round(time.Second))))
		case <-ctx.Done():
			go func() {
				if o := <-got; o.disk != nil {
					_ = o.disk.db.Close()
				}
			}()
			return opened{}, ctx.Err()
		}
	}
}
