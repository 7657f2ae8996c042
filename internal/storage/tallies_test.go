package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"syscall"
	"testing"

	bolt "go.etcd.io/bbolt"

	"tealpond/internal/tally"
)

// mustOpenTallies opens the tallies file in a directory.
func mustOpenTallies(t *testing.T, dir string) (*Tallies, RecoveredTallies) {
	t.Helper()
	file, recovered, err := OpenTallies(dir)
	if err != nil {
		t.Fatal(err)
	}
	return file, recovered
}

// mustAppend writes runs.
func mustAppend(t *testing.T, file *Tallies, runs ...tally.Run) (size int64) {
	t.Helper()
	size, err := file.Append(runs)
	if err != nil {
		t.Fatal(err)
	}
	return size
}

// testAdd returns an add whose ID is derived from that of the caller.
func testAdd(name, id string, amount int64) tally.Add {
	return tally.Add{Tally: name, ID: tally.NewID(name, id), Amount: amount}
}

// newTalliesFile creates a directory with a file that holds the given number of adds of three origins,
// written in batches of 50. It returns the runs in the file.
func newTalliesFile(t *testing.T, adds int) (dir string, want []tally.Run) {
	t.Helper()
	dir = t.TempDir()
	file, recovered := mustOpenTallies(t, dir)
	want = []tally.Run{{Origin: recovered.Origin, First: 1}, {Origin: "b", First: 1}, {Origin: "c", First: 1}}
	const batch = 50
	for n := 0; n < adds; n += batch {
		run := &want[n/batch%len(want)]
		more := tally.Run{Origin: run.Origin, First: run.Last() + 1}
		for i := range batch {
			more.Adds = append(more.Adds, testAdd(fmt.Sprint("t", i%5), fmt.Sprint(n+i), int64(i)))
		}
		run.Adds = append(run.Adds, more.Adds...)
		mustAppend(t, file, more)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	return dir, want
}

// TestTalliesSurviveReopen checks that appended adds are read in order after the file is reopened, and that
// an add that was appended twice is stored once.
func TestTalliesSurviveReopen(t *testing.T) {
	dir := t.TempDir()
	file, recovered := mustOpenTallies(t, dir)
	if len(recovered.Runs) != 0 || recovered.Origin == "" || recovered.QuarantineReason != "" || recovered.LastWriteLost {
		t.Errorf("unexpected content of a new file: %+v", recovered)
	}
	a := tally.Run{Origin: "a", First: 1, Adds: []tally.Add{testAdd("t", "1", 5), testAdd("u", "2", -3)}}
	b := tally.Run{Origin: "b", First: 1, Adds: []tally.Add{testAdd("t", "3", 1)}}
	more := tally.Run{Origin: "a", First: 3, Adds: []tally.Add{testAdd("t", "4", 2)}}
	for _, written := range [][]tally.Run{{b, a}, {a}, {more}} {
		mustAppend(t, file, written...)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	file, again := mustOpenTallies(t, dir)
	a.Adds = append(a.Adds, more.Adds...)
	if want := []tally.Run{a, b}; !reflect.DeepEqual(again.Runs, want) || again.Origin != recovered.Origin || again.Bytes == 0 {
		t.Errorf("read %+v, want %v of %s", again, want, recovered.Origin)
	}
	_ = file.Close()
}

// TestOpeningTalliesWritesNothing checks that a valid file can be opened even if the disk is full.
func TestOpeningTalliesWritesNothing(t *testing.T) {
	dir, _ := newTalliesFile(t, 500)
	path := filepath.Join(dir, talliesFileName)
	before := mustReadFile(t, path)
	file, _ := mustOpenTallies(t, dir)
	if !bytes.Equal(before, mustReadFile(t, path)) {
		t.Error("opening wrote to the file")
	}
	_ = file.Close()
}

// TestLegacyTalliesAreRead checks that a file of an earlier version, with callers' IDs and all
// adds in one bucket, is read, and that new adds are written in the new format under a new origin.
func TestLegacyTalliesAreRead(t *testing.T) {
	dir := t.TempDir()
	writeLegacyTallies(t, filepath.Join(dir, talliesFileName), 300)
	file, recovered := mustOpenTallies(t, dir)
	if len(recovered.Runs) != 1 || len(recovered.Runs[0].Adds) != 300 || recovered.Runs[0].Adds[7] != testAdd("t", "7", 7) {
		t.Fatalf("%d runs", len(recovered.Runs))
	}
	mustAppend(t, file, tally.Run{Origin: "process", First: 301, Adds: []tally.Add{testAdd("t", "x", 1)}},
		tally.Run{Origin: recovered.Origin, First: 1, Adds: []tally.Add{testAdd("t", "y", 1)}})
	_ = file.Close()
	file, again := mustOpenTallies(t, dir)
	if again.Origin != recovered.Origin || len(again.Runs) != 2 || len(again.Runs[0].Adds)+len(again.Runs[1].Adds) != 302 {
		t.Errorf("%s with %d runs", again.Origin, len(again.Runs))
	}
	_ = file.Close()
}

// TestAppendReplacesStoredAdds checks that an add replaces a stored add of the same number,
// also if the stored one is in the format of earlier versions.
func TestAppendReplacesStoredAdds(t *testing.T) {
	dir := t.TempDir()
	writeLegacyTallies(t, filepath.Join(dir, talliesFileName), 300)
	file, recovered := mustOpenTallies(t, dir)
	want := tally.Run{Origin: recovered.Runs[0].Origin, First: 1, Adds: slices.Clone(recovered.Runs[0].Adds)}
	for _, number := range []uint64{150, 300, 1, 150} {
		add := testAdd("t", fmt.Sprint("replaced", number), 9)
		mustAppend(t, file, tally.Run{Origin: want.Origin, First: number, Adds: []tally.Add{add}})
		want.Adds[number-1] = add
	}
	_ = file.Close()
	file, again := mustOpenTallies(t, dir)
	if again.QuarantineReason != "" || !reflect.DeepEqual(again.Runs, []tally.Run{want}) {
		t.Errorf("quarantine reason %q, runs %v", again.QuarantineReason, again.Runs)
	}
	_ = file.Close()
}

// writeLegacyTallies writes a file in the format of earlier versions.
func writeLegacyTallies(t *testing.T, path string, adds int) {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{NoFreelistSync: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	err = db.Update(func(tx *bolt.Tx) error {
		bucket, err := tx.CreateBucket(bucketLegacyAdds)
		if err != nil {
			return err
		}
		for i := range adds {
			key := binary.BigEndian.AppendUint64([]byte("process\x00"), uint64(i+1))
			record, err := encodeRecord(key, legacyAdd{Tally: "t", ID: fmt.Sprint(i), Amount: int64(i)})
			if err != nil {
				return err
			}
			if err := bucket.Put(key, record); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// fileCorruptions are the ways in which the tests corrupt a file.
var fileCorruptions = map[string]func(random *rand.Rand, content []byte) []byte{
	"cut":         func(random *rand.Rand, content []byte) []byte { return content[:random.Intn(len(content))] },
	"cut to half": func(_ *rand.Rand, content []byte) []byte { return content[:len(content)/2] },
	"page zeroed": func(random *rand.Rand, content []byte) []byte { clear(randomPage(random, content)); return content },
	"meta zeroed": func(random *rand.Rand, content []byte) []byte {
		offset := random.Intn(metaPages) * initialPageSize
		clear(content[offset : offset+initialPageSize])
		return content
	},
	"page repeated": func(random *rand.Rand, content []byte) []byte {
		copy(randomPage(random, content), randomPage(random, content))
		return content
	},
	"byte flipped":  func(random *rand.Rand, content []byte) []byte { return flipBytes(random, content, 1) },
	"bytes flipped": func(random *rand.Rand, content []byte) []byte { return flipBytes(random, content, 20) },
	"another program's": func(random *rand.Rand, content []byte) []byte {
		_, _ = random.Read(content)
		return content
	},
}

// randomPage returns a random page of a file.
func randomPage(random *rand.Rand, content []byte) []byte {
	offset := random.Intn(len(content)/initialPageSize) * initialPageSize
	return content[offset : offset+initialPageSize]
}

// flipBytes changes count random bytes.
func flipBytes(random *rand.Rand, content []byte, count int) []byte {
	for range count {
		content[random.Intn(len(content))] ^= byte(1 + random.Intn(255))
	}
	return content
}

// TestOpeningDamagedTalliesDoesNotCrash opens some 300 damaged files, 40 seeds for each kind of damage. None may
// end the process, as a panic in a goroutine of bbolt would, and none may silently lose adds.
func TestOpeningDamagedTalliesDoesNotCrash(t *testing.T) {
	dir, want := newTalliesFile(t, 2000)
	original := mustReadFile(t, filepath.Join(dir, talliesFileName))
	const seeds = 40
	outcomes := map[string]int{}
	for name, damage := range fileCorruptions {
		for seed := range int64(seeds) {
			what := fmt.Sprintf("%s, seed %d", name, seed)
			damaged := damage(rand.New(rand.NewSource(seed)), bytes.Clone(original))
			outcomes[name+": "+openDamagedTallies(t, what, damaged, want)]++
		}
	}
	t.Log(outcomes)
	if outcomes["cut to half: quarantined"] != seeds || outcomes["another program's: quarantined"] != seeds ||
		outcomes["meta zeroed: last write lost"] != seeds {
		t.Errorf("%v", outcomes)
	}
}

// openDamagedTallies opens a damaged file, appends an add, and opens the file again.
func openDamagedTallies(t *testing.T, what string, damaged []byte, want []tally.Run) (outcome string) {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, talliesFileName)
	if err := os.WriteFile(path, damaged, 0o600); err != nil {
		t.Fatal(err)
	}
	file, recovered, err := OpenTallies(dir)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	defer func() { _ = file.Close() }()
	switch {
	case recovered.QuarantineReason != "":
		outcome = "quarantined"
		if len(recovered.Runs) != 0 || !bytes.Equal(mustReadFile(t, path+corruptSuffix), damaged) {
			t.Fatalf("%s: %d runs, or the quarantined file differs; reason %q", what, len(recovered.Runs), recovered.QuarantineReason)
		}
	case recovered.LastWriteLost:
		outcome = "last write lost"
		if recovered.Origin == want[0].Origin {
			t.Fatalf("%s: the origin is reused, so numbers may be assigned twice", what)
		}
	case recovered.Created:
		outcome = "created"
		if len(damaged) > 0 {
			t.Fatalf("%s: a file was replaced without a report", what)
		}
	default:
		outcome = "valid"
		if !reflect.DeepEqual(recovered.Runs, sortedRuns(want)) {
			t.Fatalf("%s: adds differ without a report", what)
		}
	}
	first := uint64(1)
	for _, run := range recovered.Runs {
		if run.Origin == recovered.Origin {
			first = run.Last() + 1
		}
	}
	mustAppend(t, file, tally.Run{Origin: recovered.Origin, First: first, Adds: []tally.Add{testAdd("t", "after", 1)}})
	_ = file.Close()
	reopened, again := mustOpenTallies(t, dir)
	if again.Origin != recovered.Origin || again.QuarantineReason != "" || again.LastWriteLost {
		t.Fatalf("%s: unexpected state after reopening, quarantine reason %q", what, again.QuarantineReason)
	}
	_ = reopened.Close()
	return outcome
}

// sortedRuns returns runs in the order of their origins.
func sortedRuns(runs []tally.Run) []tally.Run {
	sorted := []tally.Run{runs[1], runs[2]}
	for i, run := range sorted {
		if runs[0].Origin < run.Origin {
			return append(append(append([]tally.Run{}, sorted[:i]...), runs[0]), sorted[i:]...)
		}
	}
	return append(sorted, runs[0])
}

// TestTalliesWithDamagedRecordAreQuarantined checks that a single damaged record quarantines the whole file
// unchanged, and that none of its adds is used.
func TestTalliesWithDamagedRecordAreQuarantined(t *testing.T) {
	dir, want := newTalliesFile(t, 100)
	path := filepath.Join(dir, talliesFileName)
	file, _ := mustOpenTallies(t, dir)
	if err := file.db.Update(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(bucketRuns).Bucket([]byte(want[0].Origin))
		key := binary.BigEndian.AppendUint64(nil, 1)
		record := bytes.Clone(bucket.Get(key))
		record[len(record)-1] ^= 1
		return bucket.Put(key, record)
	}); err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	damaged := mustReadFile(t, path)
	file, recovered := mustOpenTallies(t, dir)
	defer func() { _ = file.Close() }()
	if recovered.QuarantineReason == "" || len(recovered.Runs) != 0 || recovered.Origin == want[0].Origin {
		t.Errorf("a damaged record was read: %q, %d runs", recovered.QuarantineReason, len(recovered.Runs))
	}
	if !bytes.Equal(mustReadFile(t, path+corruptSuffix), damaged) {
		t.Error("the quarantined file differs from the damaged one")
	}
}

// TestSystemErrorsLeaveTalliesUnchanged checks that a fault that may be transient leaves the file unchanged.
func TestSystemErrorsLeaveTalliesUnchanged(t *testing.T) {
	dir, _ := newTalliesFile(t, 100)
	path := filepath.Join(dir, talliesFileName)
	before := mustReadFile(t, path)
	for _, fault := range []error{syscall.ENOSPC, syscall.EIO, syscall.EACCES, syscall.EMFILE} {
		fs := osFileSystem
		fs.openFile = func(name string, _ int, _ os.FileMode) (*os.File, error) {
			return nil, &os.PathError{Op: "open", Path: name, Err: fault}
		}
		var unavailableErr *UnavailableError
		if _, _, err := fs.openTallies(dir); !errors.As(err, &unavailableErr) || !errors.Is(err, fault) {
			t.Errorf("%v: %v", fault, err)
		}
		requireAbsent(t, path+corruptSuffix)
		if !bytes.Equal(before, mustReadFile(t, path)) {
			t.Errorf("%v: the file changed", fault)
		}
	}
}

// TestMissingAddsAreDetected checks that an otherwise valid file counts as corrupt if a record at the
// beginning, in the middle or at the end of an origin is missing.
func TestMissingAddsAreDetected(t *testing.T) {
	for name, number := range map[string]uint64{"last": 350, "middle": 100, "first": 1} {
		dir, want := newTalliesFile(t, 1000)
		file, _ := mustOpenTallies(t, dir)
		err := file.db.Update(func(tx *bolt.Tx) error {
			return tx.Bucket(bucketRuns).Bucket([]byte(want[0].Origin)).Delete(binary.BigEndian.AppendUint64(nil, number))
		})
		if err != nil || want[0].Last() != 350 {
			t.Fatal(err, want[0].Last())
		}
		_ = file.Close()
		file, recovered := mustOpenTallies(t, dir)
		if recovered.QuarantineReason == "" {
			t.Errorf("%s: missing add was not detected", name)
		}
		_ = file.Close()
	}
}

// TestBytesPerAdd checks the size of an add on disk, from which docs/CAPACITY.md derives the limit of the
// file as a number of adds.
func TestBytesPerAdd(t *testing.T) {
	const adds, maxBytesPerAdd = 20_000, 80
	file, recovered := mustOpenTallies(t, t.TempDir())
	defer func() { _ = file.Close() }()
	size := int64(0)
	for n := uint64(0); n < adds; n += 500 {
		run := tally.Run{Origin: recovered.Origin, First: n + 1}
		for i := range uint64(500) {
			run.Adds = append(run.Adds, testAdd("tally-1", fmt.Sprint(n+i), int64(n)))
		}
		size = mustAppend(t, file, run)
	}
	if size/adds > maxBytesPerAdd {
		t.Errorf("%d bytes per add", size/adds)
	}
	t.Logf("%d bytes per add", size/adds)
}
