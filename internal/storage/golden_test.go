package storage

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/golden"
	"tealpond/internal/raft"
)

// recordsOf returns the codec of records that are stored under a key.
func recordsOf(key []byte) golden.Codec {
	return golden.Codec{
		Encode: func(value any) ([]byte, error) { return encodeRecord(key, value) },
		Decode: func(raw []byte, into any) error { return decodeRecord(key, raw, into) },
	}
}

// TestRecordBytes compares the encoding of the records of the file, with their checksums, with
// the golden files.
func TestRecordBytes(t *testing.T) {
	voters := []raft.Member{{Node: "node", ID: "disk", Addr: "address"}, {Node: "other-node", ID: "other-disk", Addr: "other-address"}}
	snapshot := raft.Snapshot{Index: 11, Term: 12, Voters: voters[:1], Data: []byte("snapshot"), OutgoingVoters: voters[1:]}
	inFrames := snapshot
	inFrames.Data = []byte{}
	for file, record := range map[string]struct {
		key   []byte
		value any
	}{
		"hard-state":    {keyHardState, &raft.HardState{Term: 1, Vote: "vote"}},
		"founders":      {keyFounders, &voters},
		"founding":      {keyLegacySnapshot, &snapshot},
		"snapshot-head": {keySnapshotHeader, &snapshotHeader{Snapshot: inFrames, Generation: 21, FrameCount: 22, Size: 23, Checksum: 24}},
		"entry":         {encodeKey(31), &raft.Entry{Index: 31, Term: 32, Kind: raft.EntryConfChange, Data: []byte("entry")}},
	} {
		golden.Check(t, "records/"+file+".txt", recordsOf(record.key), []golden.Case{{Name: file, Value: record.value}})
	}
	identity, frame := withChecksum(keyIdentity, []byte("identity")), withChecksum(encodeKey(41), []byte("frame"))
	golden.Text(t, "records/sealed.txt", fmt.Sprintf("identity %x\nframe %x\n", identity, frame))
	for _, record := range []struct {
		key, raw []byte
		want     string
	}{{keyIdentity, identity, "identity"}, {encodeKey(41), frame, "frame"}} {
		if body, summed, err := verifyChecksum(record.key, record.raw); string(body) != record.want || !summed || err != nil {
			t.Errorf("%q is read as %q, %v, %v", record.want, body, summed, err)
		}
	}
}

// TestLayout compares the names of the file, its buckets and its keys with the
// golden file, for a file with a log and a snapshot.
func TestLayout(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	voters := []raft.Member{{Node: "node", ID: "disk", Addr: "address"}}
	if err := store.Bootstrap(voters, raft.Snapshot{Index: 1, Term: 1, Voters: voters}); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	list := func(when string) {
		fmt.Fprintf(&text, "%s\n", when)
		err := store.db.View(func(tx *bolt.Tx) error { return listBuckets(&text, tx.Cursor().Bucket(), " ") })
		if err != nil {
			t.Fatal(err)
		}
	}
	list("after founding")
	entries := []raft.Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}}
	if err := store.writeAll([]WriteRequest{{Ready: raft.Ready{HardState: &raft.HardState{Term: 1}, Entries: entries}}}); err != nil {
		t.Fatal(err)
	}
	snapshot := raft.Snapshot{Index: 2, Term: 1, Voters: voters, Data: []byte("snapshot")}
	if err := store.writeAll([]WriteRequest{{LocalSnapshot: &snapshot}}); err != nil {
		t.Fatal(err)
	}
	list("after a snapshot")
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		fmt.Fprintf(&text, "file %s\n", filepath.Base(file))
	}
	golden.Text(t, "layout.txt", text.String())
}

// listBuckets writes the names of the keys and nested buckets of a bucket, recursively.
func listBuckets(text *strings.Builder, bucket *bolt.Bucket, indent string) error {
	return bucket.ForEach(func(name, value []byte) error {
		if value != nil {
			fmt.Fprintf(text, "%skey %q\n", indent, name)
			return nil
		}
		fmt.Fprintf(text, "%sbucket %q\n", indent, name)
		return listBuckets(text, bucket.Bucket(name), indent+" ")
	})
}
