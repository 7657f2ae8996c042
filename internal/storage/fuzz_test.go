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
	f.Add(keySnapshotHeader, withChecksum(keySnapshotHeader, mustMarshal(snapshotHeader{Snapshot: raft.Snapshot{Index: 3}, Generation: 2, FrameCount: 1, Size: 9})))
	f.Add(keyLegacySnapshot, mustMarshal(raft.Snapshot{Index: 3, Data: []byte("x")}))
	f.Add([]byte{}, []byte{checksumMarker})
	f.Fuzz(func(t *testing.T, k, raw []byte) {
		for _, v := range []any{&raft.Entry{}, &raft.HardState{}, &raft.Snapshot{}, &snapshotHeader{}, &[]raft.Member{}} {
			_ = decodeRecord(k, raw, v)
		}
		body, summed, err := verifyChecksum(k, raw)
		if err == nil && summed && !bytes.Equal(withChecksum(k, body), raw) {
			t.Fatal("a record reads as what was not written")
		}
		in := &recordReader{meta: map[string][]byte{string(keySnapshotHeader): raw}}
		_ = in.readRecord("/meta", k, raw)
		_ = in.readRecord("/log", k, raw)
		if in.readRecord("/snapshots", nil, nil) == nil {
			_ = in.readRecord("/snapshots/"+string(encodeKey(in.snapshot.header.Generation)), k, raw)
		}
		_ = in.finish()
	})
}

// FuzzFile: any bytes as a file are read, torn or unborn; no panic, no endless
// walk, and what was read can be opened and read the same by bbolt.
func FuzzFile(f *testing.F) {
	dir := f.TempDir()
	path := filepath.Join(dir, "tealpond.db")
	d, _, _, err := Open(dir)
	if err != nil {
		f.Fatal(err)
	}
	if err := d.writeAll([]WriteRequest{{Ready: raft.Ready{HardState: &raft.HardState{Term: 1}, Entries: entries(1, 40, 1)}}, {LocalSnapshot: &raft.Snapshot{Index: 30, Term: 1, Data: []byte("state")}}}); err != nil {
		f.Fatal(err)
	}
	_ = d.Close()
	whole, err := os.ReadFile(path)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint32(0), byte(0), uint32(len(whole)))
	for at := 0; at < 8*4096; at += 4096 {
		f.Add(uint32(at), byte(0xff), uint32(len(whole)))
		f.Add(uint32(at+8), byte(3), uint32(len(whole)))
		f.Add(uint32(at+10), byte(7), uint32(len(whole)))
		f.Add(uint32(at+17), byte(0xff), uint32(at+64))
	}
	// A change of a byte and a cut: bytes at random would end at the magic.
	f.Fuzz(func(t *testing.T, at uint32, change byte, cut uint32) {
		b := bytes.Clone(whole[:min(int(cut), len(whole))])
		if int(at) < len(b) {
			b[at] ^= change
		}
		h, _, _, err := recoverFile(bytes.NewReader(b), int64(len(b)))
		var torn *CorruptError
		if err != nil && !errors.As(err, &torn) && !errors.Is(err, errUninitialized) {
			t.Fatal(err)
		}
		if err != nil {
			return
		}
		p := filepath.Join(t.TempDir(), "tealpond.db")
		if err := os.WriteFile(p, b, 0o600); err != nil {
			t.Fatal(err)
		}
		d, again, err := osFileSystem.loadFile(p)
		if err != nil || again.ID != h.ID || len(again.Entries) != len(h.Entries) {
			t.Fatalf("%v: %s with %d entries, was %s with %d", err, again.ID, len(again.Entries), h.ID, len(h.Entries))
		}
		if err := d.writeAll([]WriteRequest{{Ready: raft.Ready{Entries: entries(h.Snapshot.Index+uint64(len(h.Entries))+1, h.Snapshot.Index+uint64(len(h.Entries))+1, 9)}}}); err != nil {
			t.Fatal(err)
		}
		_ = d.Close()
	})
}
