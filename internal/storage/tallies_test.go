package storage

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/tally"
)

// TestTalliesAreReadAgain: what was appended is there after the file is opened again, in
// order, and twice the same is there once.
func TestTalliesAreReadAgain(t *testing.T) {
	dir := t.TempDir()
	open := func() (*Tallies, []tally.Run) {
		t.Helper()
		file, runs, err := OpenTallies(dir)
		if err != nil {
			t.Fatal(err)
		}
		return file, runs
	}
	file, runs := open()
	if len(runs) != 0 {
		t.Errorf("a new file has %v", runs)
	}
	a := tally.Run{Origin: "a", First: 1, Adds: []tally.Add{{Tally: "t", ID: "1", Amount: 5}, {Tally: "u", ID: "2", Amount: -3}}}
	b := tally.Run{Origin: "b", First: 1, Adds: []tally.Add{{Tally: "t", ID: "3", Amount: 1}}}
	more := tally.Run{Origin: "a", First: 3, Adds: []tally.Add{{Tally: "t", ID: "4", Amount: 2}}}
	for _, written := range [][]tally.Run{{b, a}, {a}, {more}} {
		if err := file.Append(written); err != nil {
			t.Fatal(err)
		}
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	file, runs = open()
	a.Adds = append(a.Adds, more.Adds...)
	if want := []tally.Run{a, b}; !reflect.DeepEqual(runs, want) {
		t.Errorf("read %v, want %v", runs, want)
	}
	_ = file.Close()
}

// TestDamagedTalliesAreNotUsed: a record that isn't what was written is an error, and the
// file stays as it is.
func TestDamagedTalliesAreNotUsed(t *testing.T) {
	dir := t.TempDir()
	file, _, err := OpenTallies(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := file.Append([]tally.Run{{Origin: "a", First: 1, Adds: []tally.Add{{Tally: "t", ID: "1", Amount: 5}}}}); err != nil {
		t.Fatal(err)
	}
	if err := file.db.Update(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(bucketAdds)
		record := append([]byte(nil), bucket.Get(addKey("a", 1))...)
		record[len(record)-1] ^= 1
		return bucket.Put(addKey("a", 1), record)
	}); err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	if _, _, err := OpenTallies(dir); err == nil {
		t.Error("a damaged record was read")
	}
	if _, err := os.Stat(filepath.Join(dir, talliesFileName)); err != nil {
		t.Error(err)
	}
}
