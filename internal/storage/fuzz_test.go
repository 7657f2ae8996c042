package storage

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"tealpond/internal/raft"
)

// FuzzRecord: a record is read or refused; one whose checksum holds is the one
// that was written.
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
			t.Fatal("a record reads as what was not written")
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

// FuzzFile: any bytes as a file are read, corrupt or uninitialized; no panic, no endless
// walk, and what was read can be opened and read the same by bbolt.
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
	// A change of a byte and a cut: bytes at random would end at the magic.
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
		held := &storeContent{}
		db, err := osFileSystem.loadChecked(copied, held)
		if err != nil {
			t.Fatal(err)
		}
		store, reopened := held.newStore(db), held.recovered
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
