package disk

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"

	"tealpond/internal/raft"
)

// edit changes records of a closed file as no write of ours would.
func edit(t *testing.T, path string, f func(meta, log *bolt.Bucket) error) {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{NoFreelistSync: true})
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bolt.Tx) error { return f(tx.Bucket(bMeta), tx.Bucket(bLog)) }); err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
}

func plain(v any) []byte {
	raw, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// What the disk no longer holds as it was acknowledged must not be believed,
// in part or whole: the log was trusted as read.
func TestLogThatBreaksItsRulesMakesAStranger(t *testing.T) {
	sealed := func(e raft.Entry) []byte { return seal(key(e.Index), plain(e)) }
	for name, f := range map[string]func(meta, log *bolt.Bucket) error{
		"gap":           func(_, l *bolt.Bucket) error { return l.Delete(key(150)) },
		"first is lost": func(_, l *bolt.Bucket) error { return l.Delete(key(1)) },
		"term falls": func(_, l *bolt.Bucket) error {
			return l.Put(key(151), sealed(raft.Entry{Index: 151, Term: 2}))
		},
		"term below the snapshot's": func(m, l *bolt.Bucket) error {
			return m.Put(kPt, plain(raft.Point{Index: 100, Term: 4}))
		},
		"gap after the snapshot": func(m, l *bolt.Bucket) error {
			if err := l.Delete(key(101)); err != nil {
				return err
			}
			return m.Put(kPt, plain(raft.Point{Index: 100, Term: 3}))
		},
		"entry in another's place": func(_, l *bolt.Bucket) error { return l.Put(key(150), slices.Clone(l.Get(key(149)))) },
		"old entry in another's place": func(_, l *bolt.Bucket) error {
			return l.Put(key(150), plain(raft.Entry{Index: 149, Term: 3}))
		},
		"old entry unreadable": func(_, l *bolt.Bucket) error { return l.Put(key(150), []byte{0x84, 1}) },
		"changed entry": func(_, l *bolt.Bucket) error {
			raw := slices.Clone(l.Get(key(150)))
			raw[len(raw)-1] ^= 1
			return l.Put(key(150), raw)
		},
		"changed vote": func(m, _ *bolt.Bucket) error {
			raw := slices.Clone(m.Get(kHard))
			raw[len(raw)-1] ^= 1
			return m.Put(kHard, raw)
		},
		"cut record": func(m, _ *bolt.Bucket) error { return m.Put(kHard, []byte{sealMark, 0}) },
		"odd key":    func(_, l *bolt.Bucket) error { return l.Put([]byte("x"), []byte("y")) },
	} {
		t.Run(name, func(t *testing.T) {
			dir, path, id := good(t)
			edit(t, path, f)
			d, h, why, err := Open(dir)
			if err != nil || why == "" || h.ID == id || !h.Fresh || len(h.Log) > 0 {
				t.Fatalf("%v %q %s, %d entries", err, why, h.ID, len(h.Log))
			}
			_ = d.Close()
		})
	}
}

func TestRecordsWithoutChecksumAreRead(t *testing.T) {
	dir, path, _ := good(t)
	set := []raft.Voter{{Node: "a", Disk: "1"}}
	edit(t, path, func(m, l *bolt.Bucket) error {
		for _, e := range entries(1, 300, 3) {
			if err := l.Put(key(e.Index), plain([]any{e.Index, e.Term, e.Kind, e.Data})); err != nil {
				return err
			}
		}
		return errors.Join(m.Put(kID, []byte("0123456789abcdef01234567")), m.Put(kHard, plain([]any{7, "y"})),
			m.Put(kConf, plain(set)), m.Put(kPt, plain([]any{10, 3, set, []byte("state")})))
	})
	d, h := reopen(t, nil, dir)
	if h.ID != "0123456789abcdef01234567" || h.Hard.Vote != "y" || len(h.Log) != 290 || string(h.Point.Data) != "state" || len(h.Bound) != 1 {
		t.Fatalf("%+v", h)
	}
	write(t, d, Job{Out: raft.Out{Entries: entries(301, 301, 7)}})
	if _, h = reopen(t, d, dir); len(h.Log) != 291 {
		t.Fatalf("%d entries", len(h.Log))
	}
}

// A record that is whole and can't be read is left to the program that wrote it.
func TestRecordOfAnotherVersionIsLeftAlone(t *testing.T) {
	dir, path, _ := good(t)
	edit(t, path, func(m, _ *bolt.Bucket) error { return m.Put(kHard, seal(kHard, plain("newer"))) })
	_, _, why, err := Open(dir)
	var u *Unknown
	if !errors.As(err, &u) || why != "" || !strings.Contains(err.Error(), "hard") {
		t.Fatalf("%v %q", err, why)
	}
	if _, err := os.Stat(filepath.Join(dir, "tealpond.db")); err != nil {
		t.Fatal(err)
	}
}
