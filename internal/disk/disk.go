// Package disk keeps a core daemon's identity, log and checkpoint in bbolt,
// written by one task.
package disk

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
	"tealpond/internal/tune"
)

// Error is the class of faults of the disk.
var Error = errs.Class("disk")

var (
	bMeta = []byte("meta")
	bLog  = []byte("log")
	kID   = []byte("disk")
	kHard = []byte("hard")
	kConf = []byte("founders")
	kPt   = []byte("point")
)

// Disk is an open store of one daemon.
type Disk struct {
	db *bolt.DB
	id string
}

// Held is what was found on disk.
type Held struct {
	ID    string
	Hard  raft.Hard
	Point raft.Point
	Log   []raft.Entry
	Bound []raft.Voter
	Fresh bool
}

func mint() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Open reads the folder. A file that isn't ours or is torn is put aside, and
// the daemon goes on as a stranger: why is the second value.
func Open(dir string) (*Disk, Held, string, error) {
	path := filepath.Join(dir, "tealpond.db")
	why := ""
	d, h, err := open(path)
	if err != nil {
		why = err.Error()
		// Why renamed and not mended: what it held can't be trusted, and a
		// new identity is the only honest one.
		if e := os.Rename(path, path+".foreign"); e != nil {
			return nil, Held{}, why, Error.Wrap(e)
		}
		if d, h, err = open(path); err != nil {
			return nil, Held{}, why, Error.Wrap(err)
		}
	}
	return d, h, why, nil
}

func open(path string) (*Disk, Held, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, NoFreelistSync: true, FreelistType: bolt.FreelistMapType})
	if err != nil {
		return nil, Held{}, err
	}
	var h Held
	err = db.Update(func(tx *bolt.Tx) error {
		m, err := tx.CreateBucketIfNotExists(bMeta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(bLog); err != nil {
			return err
		}
		if id := m.Get(kID); id != nil {
			h.ID = string(id)
			return nil
		}
		h.ID, h.Fresh = mint(), true
		return m.Put(kID, []byte(h.ID))
	})
	if err == nil {
		err = db.View(func(tx *bolt.Tx) error { return read(tx, &h) })
	}
	if err != nil {
		_ = db.Close()
		return nil, Held{}, err
	}
	return &Disk{db: db, id: h.ID}, h, nil
}

func read(tx *bolt.Tx, h *Held) error {
	m := tx.Bucket(bMeta)
	for _, f := range []struct {
		key []byte
		to  any
	}{{kHard, &h.Hard}, {kPt, &h.Point}, {kConf, &h.Bound}} {
		if raw := m.Get(f.key); raw != nil {
			if err := cbor.Unmarshal(raw, f.to); err != nil {
				return err
			}
		}
	}
	return tx.Bucket(bLog).ForEach(func(k, v []byte) error {
		var e raft.Entry
		if err := cbor.Unmarshal(v, &e); err != nil {
			return err
		}
		if e.Index <= h.Point.Index {
			// Why kept too: members that lag a little are served from it.
			return nil
		}
		h.Log = append(h.Log, e)
		return nil
	})
}

// Bind keeps the founders' set; a second, other one is refused.
func (d *Disk) Bind(set []raft.Voter, point raft.Point) error {
	raw, err := cbor.Marshal(set)
	if err != nil {
		return Error.Wrap(err)
	}
	pt, err := cbor.Marshal(point)
	if err != nil {
		return Error.Wrap(err)
	}
	return d.db.Update(func(tx *bolt.Tx) error {
		m := tx.Bucket(bMeta)
		if m.Get(kConf) != nil {
			return Error.New("already bound")
		}
		if err := m.Put(kConf, raw); err != nil {
			return err
		}
		return m.Put(kPt, pt)
	})
}

// Job is one write. Point with Keep replaces the log up to Keep; Restore
// drops the whole log.
type Job struct {
	Out     raft.Out
	Point   *raft.Point
	Keep    uint64
	Restore bool
}

func key(i uint64) []byte {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], i)
	return b[:]
}

func (d *Disk) write(jobs []Job) error {
	return d.db.Update(func(tx *bolt.Tx) error {
		m, l := tx.Bucket(bMeta), tx.Bucket(bLog)
		l.FillPercent = 0.95
		var last uint64
		if k, _ := l.Cursor().Last(); k != nil {
			last = binary.BigEndian.Uint64(k)
		}
		for _, j := range jobs {
			if j.Out.Hard != nil {
				raw, err := cbor.Marshal(j.Out.Hard)
				if err != nil {
					return err
				}
				if err := m.Put(kHard, raw); err != nil {
					return err
				}
			}
			pt := j.Point
			if j.Out.Point != nil {
				pt = j.Out.Point
			}
			if pt != nil {
				raw, err := cbor.Marshal(pt)
				if err != nil {
					return err
				}
				if err := m.Put(kPt, raw); err != nil {
					return err
				}
				c := l.Cursor()
				for k, _ := c.First(); k != nil; k, _ = c.Next() {
					if j.Out.Point == nil && binary.BigEndian.Uint64(k) > pt.Index {
						break
					}
					if err := c.Delete(); err != nil {
						return err
					}
				}
				if j.Out.Point != nil {
					last = 0
				}
			}
			for _, e := range j.Out.Entries {
				for ; last >= e.Index; last-- {
					if err := l.Delete(key(last)); err != nil {
						return err
					}
				}
				raw, err := cbor.Marshal(e)
				if err != nil {
					return err
				}
				if err := l.Put(key(e.Index), raw); err != nil {
					return err
				}
				last = e.Index
			}
		}
		return nil
	})
}

// Run writes what comes in, as many jobs as wait in one sync, and gives each
// back in order. A refused write is tried again: nothing may rest on it.
func (d *Disk) Run(ctx context.Context, in <-chan Job, give func([]Job, error)) {
	for {
		var jobs []Job
		select {
		case <-ctx.Done():
			_ = d.db.Close()
			return
		case j := <-in:
			jobs = append(jobs, j)
		}
		for more := true; more && len(jobs) < tune.DiskInbox; {
			select {
			case j := <-in:
				jobs = append(jobs, j)
			default:
				more = false
			}
		}
		for {
			err := d.write(jobs)
			if err == nil {
				give(jobs, nil)
				break
			}
			give(nil, err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
}
