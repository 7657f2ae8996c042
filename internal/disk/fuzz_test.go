package disk

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
	f.Add(key(7), seal(key(7), plain(raft.Entry{Index: 7, Term: 1, Data: []byte("x")})))
	f.Add(kHard, seal(kHard, plain(raft.Hard{Term: 3, Vote: "a"})))
	f.Add(kHard, plain(raft.Hard{Term: 3, Vote: "a"}))
	f.Add(kSnap, seal(kSnap, plain(head{Point: raft.Point{Index: 3}, Generation: 2, Frames: 1, Size: 9})))
	f.Add(kPt, plain(raft.Point{Index: 3, Data: []byte("x")}))
	f.Add([]byte{}, []byte{sealMark})
	f.Fuzz(func(t *testing.T, k, raw []byte) {
		for _, v := range []any{&raft.Entry{}, &raft.Hard{}, &raft.Point{}, &head{}, &[]raft.Voter{}} {
			_ = decode(k, raw, v)
		}
		body, summed, err := unseal(k, raw)
		if err == nil && summed && !bytes.Equal(seal(k, body), raw) {
			t.Fatal("a record reads as what was not written")
		}
		in := &reader{meta: map[string][]byte{string(kSnap): raw}}
		_ = in.take("/meta", k, raw)
		_ = in.take("/log", k, raw)
		if in.take("/snapshots", nil, nil) == nil {
			_ = in.take("/snapshots/"+string(key(in.snapshot.head.Generation)), k, raw)
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
	if err := d.write([]Job{{Out: raft.Out{Hard: &raft.Hard{Term: 1}, Entries: entries(1, 40, 1)}}, {Point: &raft.Point{Index: 30, Term: 1, Data: []byte("state")}}}); err != nil {
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
		h, _, _, err := readHeld(bytes.NewReader(b), int64(len(b)))
		var torn *Torn
		if err != nil && !errors.As(err, &torn) && !errors.Is(err, errUnborn) {
			t.Fatal(err)
		}
		if err != nil {
			return
		}
		p := filepath.Join(t.TempDir(), "tealpond.db")
		if err := os.WriteFile(p, b, 0o600); err != nil {
			t.Fatal(err)
		}
		d, again, err := system.load(p)
		if err != nil || again.ID != h.ID || len(again.Log) != len(h.Log) {
			t.Fatalf("%v: %s with %d entries, was %s with %d", err, again.ID, len(again.Log), h.ID, len(h.Log))
		}
		if err := d.write([]Job{{Out: raft.Out{Entries: entries(h.Point.Index+uint64(len(h.Log))+1, h.Point.Index+uint64(len(h.Log))+1, 9)}}}); err != nil {
			t.Fatal(err)
		}
		_ = d.Close()
	})
}
