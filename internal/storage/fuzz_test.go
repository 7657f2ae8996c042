package storage

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"tealpond/internal/raft"
)

// FuzzRecord checks that arbitrary bytes either decode or return an error, and that a record with a
// valid checksum encodes to the same bytes again.
func FuzzRecord(f *testing.F) {
	f.Add(encodeKey(7), withChecksum(encodeKey(7), mustMarshal(raft.Entry{Index: 7, Term: 1, Data: []byte("x")})))
	f.Add(keyHardState, withChecksum(keyHardState, mustMarshal(raft.HardState{Term: 3, Vote: "a"})))
	f.Add(keyHardState, mustMarshal(raft.HardState{Term: 3, Vote: "a"}))
	header := snapshotHeader{Snapshot: raft.Snapshot{Index: 3}, Generation: 2, FrameCount: 1, Size: 9}
	f.Add(keySnapshotHeader, withChecksum(keySnapshotHeader, mustMarshal(header)))
	f.Add(keyLegacySnapshot, mustMarshal(raft.Snapshot{Index: 3, Data: []byte("x")}))
	f.Add([]byte{}, []byte{checksumMarker})
	f.Fuzz(func(t *testing.T, key, raw []byte) {
		for _, v := range []any{&raft.Entry{}, &raft.HardState{}, &raft.Snapshot{}, &snapshotHeader{}, &[]raft.Member{}} {
			_ = decodeRecord(key, raw, v)
		}
		body, summed, err := verifyChecksum(key, raw)
		if err == nil && summed && !bytes.Equal(withChecksum(key, body), raw) {
			t.Fatal("encoding the body of a valid record gives other bytes")
		}
		reader := &recordReader{meta: map[string][]byte{string(keySnapshotHeader): raw}}
		_ = reader.readRecord("/meta", key, raw)
		_ = reader.readRecord("/log", key, raw)
		if reader.readRecord("/snapshots", nil, nil) == nil {
			_ = reader.readRecord("/snapshots/"+string(encodeKey(reader.snapshot.header.Generation)), key, raw)
		}
		_ = reader.finish()
	})
}

// FuzzFile checks that any file content is either read, or reported as corrupt or uninitialized, without a
// panic or an endless traversal, and that a file that was read has the same content when it is opened
// with bbolt, and can be written.
func FuzzFile(f *testing.F) {
	dir := f.TempDir()
	path := filepath.Join(dir, fileName)
	store, _, err := Open(dir)
	if err != nil {
		f.Fatal(err)
	}
	ready := WriteRequest{Ready: raft.Ready{HardState: &raft.HardState{Term: 1}, Entries: entries(1, 40, 1)}}
	if err := store.writeAll([]WriteRequest{ready, localSnapshot(30, []byte("state"))}); err != nil {
		f.Fatal(err)
	}
	_ = store.Close()
	original, err := os.ReadFile(path)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint32(0), byte(0), uint32(len(original)))
	for offset := 0; offset < 8*4096; offset += 4096 {
		f.Add(uint32(offset), byte(0xff), uint32(len(original)))
		f.Add(uint32(offset+8), byte(3), uint32(len(original)))
		f.Add(uint32(offset+10), byte(7), uint32(len(original)))
		f.Add(uint32(offset+17), byte(0xff), uint32(offset+64))
	}
	// The input changes one byte and truncates the file, since random content would be rejected at the magic number.
	f.Fuzz(func(t *testing.T, offset uint32, change byte, cut uint32) {
		content := bytes.Clone(original[:min(int(cut), len(original))])
		if int(offset) < len(content) {
			content[offset] ^= change
		}
		recovered, _, _, err := recoverFile(bytes.NewReader(content), int64(len(content)))
		var corruptErr *CorruptError
		if err != nil && !errors.As(err, &corruptErr) && !errors.Is(err, errUninitialized) {
			t.Fatal(err)
		}
		if err != nil {
			return
		}
		copied := filepath.Join(t.TempDir(), fileName)
		if err := os.WriteFile(copied, content, 0o600); err != nil {
			t.Fatal(err)
		}
		reopenedContent := &storeContent{}
		db, err := osFileSystem.loadChecked(copied, reopenedContent)
		if err != nil {
			t.Fatal(err)
		}
		store, reopened := reopenedContent.newStore(db), reopenedContent.recovered
		if reopened.ID != recovered.ID || len(reopened.Entries) != len(recovered.Entries) {
			t.Fatalf("%s with %d entries, was %s with %d", reopened.ID, len(reopened.Entries), recovered.ID, len(recovered.Entries))
		}
		next := recovered.Snapshot.Index + uint64(len(recovered.Entries)) + 1
		if err := store.writeAll([]WriteRequest{entriesRequest(entries(next, next, 9)...)}); err != nil {
			t.Fatal(err)
		}
		_ = store.Close()
	})
}
