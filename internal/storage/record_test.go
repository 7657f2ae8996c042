package storage

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

// editRecords changes records of a closed file as no write of ours would.
func editRecords(t *testing.T, path string, f func(meta, log *bolt.Bucket) error) {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{NoFreelistSync: true})
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bolt.Tx) error { return f(tx.Bucket(bucketMeta), tx.Bucket(bucketLog)) }); err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
}

func mustMarshal(v any) []byte {
	raw, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// What the disk no longer holds as it was acknowledged must not be believed,
// in part or whole: the log was trusted as read.
func TestInvalidLogGetsNewIdentity(t *testing.T) {
	sealed := func(e raft.Entry) []byte { return withChecksum(encodeKey(e.Index), mustMarshal(e)) }
	for name, f := range map[string]func(meta, log *bolt.Bucket) error{
		"gap":           func(_, l *bolt.Bucket) error { return l.Delete(encodeKey(150)) },
		"first is lost": func(_, l *bolt.Bucket) error { return l.Delete(encodeKey(1)) },
		"term falls": func(_, l *bolt.Bucket) error {
			return l.Put(encodeKey(151), sealed(raft.Entry{Index: 151, Term: 2}))
		},
		"term below the snapshot's": func(m, l *bolt.Bucket) error {
			return m.Put(keyLegacySnapshot, mustMarshal(raft.Snapshot{Index: 100, Term: 4}))
		},
		"gap after the snapshot": func(m, l *bolt.Bucket) error {
			if err := l.Delete(encodeKey(101)); err != nil {
				return err
			}
			return m.Put(keyLegacySnapshot, mustMarshal(raft.Snapshot{Index: 100, Term: 3}))
		},
		"entry in another's place": func(_, l *bolt.Bucket) error { return l.Put(encodeKey(150), slices.Clone(l.Get(encodeKey(149)))) },
		"old entry in another's place": func(_, l *bolt.Bucket) error {
			return l.Put(encodeKey(150), mustMarshal(raft.Entry{Index: 149, Term: 3}))
		},
		"old entry unreadable": func(_, l *bolt.Bucket) error { return l.Put(encodeKey(150), []byte{0x84, 1}) },
		"changed entry": func(_, l *bolt.Bucket) error {
			raw := slices.Clone(l.Get(encodeKey(150)))
			raw[len(raw)-1] ^= 1
			return l.Put(encodeKey(150), raw)
		},
		"changed vote": func(m, _ *bolt.Bucket) error {
			raw := slices.Clone(m.Get(keyHardState))
			raw[len(raw)-1] ^= 1
			return m.Put(keyHardState, raw)
		},
		"cut record": func(m, _ *bolt.Bucket) error { return m.Put(keyHardState, []byte{checksumMarker, 0}) },
		"odd key":    func(_, l *bolt.Bucket) error { return l.Put([]byte("x"), []byte("y")) },
	} {
		t.Run(name, func(t *testing.T) {
			dir, path, id := newStoreFile(t)
			editRecords(t, path, f)
			d, h, why, err := Open(dir)
			if err != nil || why == "" || h.ID == id || !h.NewIdentity || len(h.Entries) > 0 {
				t.Fatalf("%v %q %s, %d entries", err, why, h.ID, len(h.Entries))
			}
			_ = d.Close()
		})
	}
}

func TestRecordsWithoutChecksumAreRead(t *testing.T) {
	dir, path, _ := newStoreFile(t)
	set := []raft.Member{{Node: "a", ID: "1"}}
	editRecords(t, path, func(m, l *bolt.Bucket) error {
		for _, e := range entries(1, 300, 3) {
			if err := l.Put(encodeKey(e.Index), mustMarshal([]any{e.Index, e.Term, e.Kind, e.Data})); err != nil {
				return err
			}
		}
		return errors.Join(m.Put(keyIdentity, []byte("0123456789abcdef01234567")), m.Put(keyHardState, mustMarshal([]any{7, "y"})),
			m.Put(keyFounders, mustMarshal(set)), m.Put(keyLegacySnapshot, mustMarshal([]any{10, 3, set, []byte("state")})))
	})
	d, h := reopen(t, nil, dir)
	if h.ID != "0123456789abcdef01234567" || h.HardState.Vote != "y" || len(h.Entries) != 290 || string(h.Snapshot.Data) != "state" || len(h.Founders) != 1 {
		t.Fatalf("%+v", h)
	}
	mustWrite(t, d, WriteRequest{Ready: raft.Ready{Entries: entries(301, 301, 7)}})
	if _, h = reopen(t, d, dir); len(h.Entries) != 291 {
		t.Fatalf("%d entries", len(h.Entries))
	}
}

// A record that is whole and can't be read is left to the program that wrote it.
func TestRecordOfAnotherVersionIsLeftAlone(t *testing.T) {
	dir, path, _ := newStoreFile(t)
	editRecords(t, path, func(m, _ *bolt.Bucket) error {
		return m.Put(keyHardState, withChecksum(keyHardState, mustMarshal("newer")))
	})
	_, _, why, err := Open(dir)
	var u *VersionError
	if !errors.As(err, &u) || why != "" || !strings.Contains(err.Error(), "hard") {
		t.Fatalf("%v %q", err, why)
	}
	if _, err := os.Stat(filepath.Join(dir, "tealpond.db")); err != nil {
		t.Fatal(err)
	}
}
