package state_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	_ "tealpond/internal/scheduler" // replans within a command
	"tealpond/internal/state"
)

var replicaSeeds = flag.Int("replica.seeds", 40, "number of random command sequences over which replicas are compared")

// replica is a copy of the state with settings of its own.
type replica struct {
	store  *state.Store
	limits state.Limits
}

// reload replaces the state by one decoded from a snapshot, as after a restart.
func (r *replica) reload(t *testing.T, from []byte) {
	t.Helper()
	s, err := state.DecodeSnapshot(from, r.limits)
	if err != nil {
		t.Fatal(err)
	}
	if again := s.EncodeSnapshot(); !bytes.Equal(again, from) {
		t.Fatalf("index %d: state differs after a snapshot round trip:\n%s", s.AppliedIndex, difference(from, again))
	}
	r.store = s
}

// difference describes the tables and rows in which two snapshots differ.
func difference(leftSnapshot, rightSnapshot []byte) string {
	var left, right map[string]any
	if cbor.Unmarshal(leftSnapshot, &left) != nil || cbor.Unmarshal(rightSnapshot, &right) != nil {
		return "unreadable"
	}
	differences := ""
	for table := range left {
		if reflect.DeepEqual(left[table], right[table]) {
			continue
		}
		differences += table + ": "
		leftRows, ok := left[table].(map[any]any)
		rightRows, rightOK := right[table].(map[any]any)
		if !ok || !rightOK {
			differences += fmt.Sprintf("%v, %v\n", left[table], right[table])
			continue
		}
		for key := range leftRows {
			if !reflect.DeepEqual(leftRows[key], rightRows[key]) {
				differences += fmt.Sprintf("%v: %v, %v\n", key, leftRows[key], rightRows[key])
			}
		}
		for key := range rightRows {
			if _, ok := leftRows[key]; !ok {
				differences += fmt.Sprintf("%v: missing, %v\n", key, rightRows[key])
			}
		}
	}
	return differences
}

// replicaTest applies the same log to three replicas with different settings. The first
// applies all entries, the second is reloaded from its own snapshot at random, and the
// third from the first replica's snapshot.
type replicaTest struct {
	*testing.T
	generator   *generator
	replicas    []*replica
	clock, wall int64
	// A snapshot of the first replica is encoded concurrently with the commands that
	// follow. Its bytes must equal expected, the encoding of the state when it was made.
	snapshots chan []byte
	expected  []byte
}

func newReplicaTest(t *testing.T, seed int64) *replicaTest {
	t.Helper()
	test := &replicaTest{
		T:         t,
		generator: &generator{Rand: rand.New(rand.NewSource(seed))},
		clock:     1,
		wall:      1000000,
		snapshots: make(chan []byte, 1),
	}
	for _, limits := range []state.Limits{{}, {JobRetentionMs: 1, MaxReplans: 1, RemoteFactor: 2}, {JobRetentionMs: 1000, RemoteFactor: 9}} {
		test.replicas = append(test.replicas, &replica{store: state.New(state.Limits{}), limits: limits})
	}
	return test
}

func (t *replicaTest) startSnapshot() {
	snapshot := t.replicas[0].store.Snapshot()
	t.expected = t.replicas[0].store.EncodeSnapshot()
	go func() { t.snapshots <- snapshot.Encode() }()
}

func (t *replicaTest) checkSnapshot() {
	t.Helper()
	if snapshot := <-t.snapshots; !bytes.Equal(snapshot, t.expected) {
		t.Fatalf("the snapshot differs from the state it was made of:\n%s", difference(t.expected, snapshot))
	}
}

// applyEntry applies a random entry to all replicas, compares their outcomes, and counts
// commands and outcome codes.
func (t *replicaTest) applyEntry(commands map[string]int, codes map[state.Code]int) {
	t.Helper()
	t.generator.store = t.replicas[0].store
	t.clock += int64(t.generator.Intn(40))
	if t.generator.Intn(100) == 0 {
		t.clock += state.GoneWorkerRetention.Milliseconds() // long enough for rows of gone workers to be removed
	}
	t.wall += int64(t.generator.Intn(60) - 10)
	entry := t.generator.entry(t.clock, t.wall, commands)
	first := t.replicas[0].store.ApplyEntry(t.replicas[0].store.AppliedIndex+1, entry)
	for _, outcome := range first {
		codes[outcome.Code]++
	}
	for _, other := range t.replicas[1:] {
		if outcomes := other.store.ApplyEntry(other.store.AppliedIndex+1, entry); !reflect.DeepEqual(outcomes, first) {
			t.Fatalf("entry %d: outcomes %v and %v", other.store.AppliedIndex, first, outcomes)
		}
	}
}

// compareStates compares the replicas' states byte for byte, and reloads some replicas from
// a snapshot at random.
func (t *replicaTest) compareStates() {
	t.Helper()
	first := t.replicas[0].store.EncodeSnapshot()
	for _, r := range t.replicas[1:] {
		if other := r.store.EncodeSnapshot(); !bytes.Equal(first, other) {
			t.Fatalf("entry %d: states differ:\n%s", r.store.AppliedIndex, difference(first, other))
		}
	}
	if t.generator.Intn(3) == 0 {
		t.replicas[1].reload(t.T, t.replicas[1].store.EncodeSnapshot())
	}
	if t.generator.Intn(3) == 0 {
		t.replicas[2].reload(t.T, first)
	}
}

// TestReplicasStayEqual applies the same random entries to several replicas and compares
// their outcomes and, byte for byte, their states. It also compares snapshots with the
// states that they were made of.
func TestReplicasStayEqual(t *testing.T) {
	for _, name := range state.CommandNames() {
		if commandGenerators[name].weight == 0 {
			t.Errorf("no generator for command %q: add one to commandGenerators", name)
		}
	}
	commands, codes := map[string]int{}, map[state.Code]int{}
	for seed := range int64(*replicaSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			test := newReplicaTest(t, seed)
			for i := range 300 {
				if i%20 == 0 {
					test.startSnapshot()
				}
				test.applyEntry(commands, codes)
				if i%20 == 19 {
					test.checkSnapshot()
				}
				if i%20 == 19 || i > 280 {
					test.compareStates()
				}
			}
		})
	}
	t.Logf("commands %v, outcomes %v", commands, codes)
	for _, name := range state.CommandNames() {
		if commands[name] == 0 {
			t.Errorf("command %s was never generated", name)
		}
	}
}
