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

// editRecords applies changes to a closed file that the package itself never makes.
func editRecords(t *testing.T, path string, edit func(meta, log *bolt.Bucket) error) {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{NoFreelistSync: true})
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Update(func(tx *bolt.Tx) error { return edit(tx.Bucket(bucketMeta), tx.Bucket(bucketLog)) }); err != nil {
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

// TestInvalidLogGetsNewIdentity checks that no part of a log is used if the log differs from
// what was acknowledged.
func TestInvalidLogGetsNewIdentity(t *testing.T) {
	encode := func(entry raft.Entry) []byte { return withChecksum(encodeKey(entry.Index), mustMarshal(entry)) }
	for name, edit := range map[string]func(meta, log *bolt.Bucket) error{
		"gap":           func(_, log *bolt.Bucket) error { return log.Delete(encodeKey(150)) },
		"first is lost": func(_, log *bolt.Bucket) error { return log.Delete(encodeKey(1)) },
		"term falls": func(_, log *bolt.Bucket) error {
			return log.Put(encodeKey(151), encode(raft.Entry{Index: 151, Term: 2}))
		},
		"term below the snapshot's": func(meta, _ *bolt.Bucket) error {
			return meta.Put(keyLegacySnapshot, mustMarshal(raft.Snapshot{Index: 100, Term: 4}))
		},
		"gap after the snapshot": func(meta, log *bolt.Bucket) error {
			if err := log.Delete(encodeKey(101)); err != nil {
				return err
			}
			return meta.Put(keyLegacySnapshot, mustMarshal(raft.Snapshot{Index: 100, Term: 3}))
		},
		"entry in another's place": func(_, log *bolt.Bucket) error { return log.Put(encodeKey(150), slices.Clone(log.Get(encodeKey(149)))) },
		"old entry in another's place": func(_, log *bolt.Bucket) error {
			return log.Put(encodeKey(150), mustMarshal(raft.Entry{Index: 149, Term: 3}))
		},
		"old entry unreadable": func(_, log *bolt.Bucket) error { return log.Put(encodeKey(150), []byte{0x84, 1}) },
		"changed entry": func(_, log *bolt.Bucket) error {
			raw := slices.Clone(log.Get(encodeKey(150)))
			raw[len(raw)-1] ^= 1
			return log.Put(encodeKey(150), raw)
		},
		"changed vote": func(meta, _ *bolt.Bucket) error {
			raw := slices.Clone(meta.Get(keyHardState))
			raw[len(raw)-1] ^= 1
			return meta.Put(keyHardState, raw)
		},
		"cut record": func(meta, _ *bolt.Bucket) error { return meta.Put(keyHardState, []byte{checksumMarker, 0}) },
		"odd key":    func(_, log *bolt.Bucket) error { return log.Put([]byte("x"), []byte("y")) },
	} {
		t.Run(name, func(t *testing.T) {
			dir, path, id := newStoreFile(t)
			editRecords(t, path, edit)
			store, recovered, err := Open(dir)
			reason := recovered.QuarantineReason
			if err != nil || reason == "" || recovered.ID == id || !recovered.NewIdentity || len(recovered.Entries) > 0 {
				t.Fatalf("%v %q %s, %d entries", err, reason, recovered.ID, len(recovered.Entries))
			}
			_ = store.Close()
		})
	}
}

func TestRecordsWithoutChecksumAreRead(t *testing.T) {
	dir, path, _ := newStoreFile(t)
	founders := []raft.Member{{Node: "a", ID: "1"}}
	editRecords(t, path, func(meta, log *bolt.Bucket) error {
		for _, entry := range entries(1, 300, 3) {
			if err := log.Put(encodeKey(entry.Index), mustMarshal([]any{entry.Index, entry.Term, entry.Kind, entry.Data})); err != nil {
				return err
			}
		}
		return errors.Join(meta.Put(keyIdentity, []byte("0123456789abcdef01234567")), meta.Put(keyHardState, mustMarshal([]any{7, "y"})),
			meta.Put(keyFounders, mustMarshal(founders)), meta.Put(keyLegacySnapshot, mustMarshal([]any{10, 3, founders, []byte("state")})))
	})
	store, recovered := reopen(t, nil, dir)
	if recovered.ID != "0123456789abcdef01234567" || recovered.HardState.Vote != "y" || len(recovered.Founders) != 1 {
		t.Fatalf("%+v", recovered)
	}
	if len(recovered.Entries) != 290 || string(recovered.Snapshot.Data) != "state" {
		t.Fatalf("%+v", recovered)
	}
	mustWrite(t, store, entriesRequest(entries(301, 301, 7)...))
	if _, recovered = reopen(t, store, dir); len(recovered.Entries) != 291 {
		t.Fatalf("%d entries", len(recovered.Entries))
	}
}

// TestRecordOfAnotherVersionIsNotQuarantined checks that a file with a record that has a valid checksum but
// cannot be decoded stays in place for the version that wrote it.
func TestRecordOfAnotherVersionIsNotQuarantined(t *testing.T) {
	dir, path, _ := newStoreFile(t)
	editRecords(t, path, func(meta, _ *bolt.Bucket) error {
		return meta.Put(keyHardState, withChecksum(keyHardState, mustMarshal("newer")))
	})
	_, recovered, err := Open(dir)
	reason := recovered.QuarantineReason
	var versionErr *VersionError
	if !errors.As(err, &versionErr) || reason != "" || !strings.Contains(err.Error(), "hard") {
		t.Fatalf("%v %q", err, reason)
	}
	if _, err := os.Stat(filepath.Join(dir, fileName)); err != nil {
		t.Fatal(err)
	}
}
