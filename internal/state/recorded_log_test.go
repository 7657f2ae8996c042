package state_test

import (
	"compress/gzip"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/state"
)

// recordedEntry is an entry of a recorded log. Digest is that of the snapshot after the entry, on the
// program that recorded the log, or 0 if none was taken.
type recordedEntry struct {
	_      struct{} `cbor:",toarray"`
	Data   []byte
	Digest uint64
}

// TestRecordedLogsHaveTheSameEffect guards against replicas that diverge in a group with servers of
// an earlier program, or after an upgrade when they replay the log from different snapshots. It
// replays logs of random commands, with traffic splits among them, that the last programs of format 8
// (77b0c8c) and of format 9 (0cccb41) recorded, and compares the states byte for byte.
func TestRecordedLogsHaveTheSameEffect(t *testing.T) {
	t.Run("format 8", func(t *testing.T) {
		splitJobs := 0
		for number, log := range readLogs(t, "testdata/format8.log.gz") {
			splitJobs += jobsWithoutService(replay(t, number, log))
		}
		if splitJobs == 0 {
			t.Error("the logs leave no open job of a route with a traffic split")
		}
	})
	t.Run("format 9", func(t *testing.T) {
		raised := 0
		for number, log := range readLogs(t, "testdata/format9.log.gz") {
			if replay(t, number, log).Format == state.FormatSplitJobs {
				raised++
			}
		}
		if raised == 0 {
			t.Error("the logs leave no state of format 9")
		}
	})
}

// readLogs reads the logs of a file.
func readLogs(t *testing.T, name string) [][]recordedEntry {
	t.Helper()
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }() // opened only for reading
	plain, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	var logs [][]recordedEntry
	if err := cbor.NewDecoder(plain).Decode(&logs); err != nil || len(logs) == 0 {
		t.Fatalf("%d logs: %v", len(logs), err)
	}
	return logs
}

// replay applies a log and compares the states with those of the recording program.
func replay(t *testing.T, number int, log []recordedEntry) *state.Store {
	t.Helper()
	store := state.New(state.Limits{MaxReplans: 1})
	for _, entry := range log {
		store.ApplyEntry(store.AppliedIndex+1, entry.Data)
		if entry.Digest != 0 && state.SnapshotDigest(store.EncodeSnapshot()) != entry.Digest {
			t.Fatalf("log %d, entry %d: the state differs from that of the recording program", number, store.AppliedIndex)
		}
	}
	return store
}

// jobsWithoutService returns the number of open jobs that have no service.
func jobsWithoutService(store *state.Store) int {
	count := 0
	for _, job := range store.OpenJobs() {
		if job.Service == "" {
			count++
		}
	}
	return count
}

// TestRaisedFormatGivesStoredJobsAService guards against jobs that an earlier program stored without
// a service, in the log or in a snapshot, and that never start another task after the upgrade.
func TestRaisedFormatGivesStoredJobsAService(t *testing.T) {
	for _, fromSnapshot := range []bool{false, true} {
		test := newReplicaTest(t, 3)
		store := test.replicas[0].store
		test.generator.store = store
		for jobsWithoutService(store) == 0 {
			test.clock += 10
			store.ApplyEntry(store.AppliedIndex+1, test.generator.entryWithout(state.CommandRaiseFormat, test.clock))
		}
		if fromSnapshot {
			restored, err := state.DecodeSnapshot(store.EncodeSnapshot(), state.Limits{})
			if err != nil {
				t.Fatal(err)
			}
			store = restored
		}
		(&state.RaiseFormat{Version: state.FormatVersion}).Apply(store)
		if n := jobsWithoutService(store); n != 0 {
			t.Errorf("from a snapshot %v: %d jobs without a service", fromSnapshot, n)
		}
	}
}
