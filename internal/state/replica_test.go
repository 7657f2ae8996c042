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

var replicaSeeds = flag.Int("replica.seeds", 40, "sequences of commands that the replicas are compared over")

// replica is a copy of the state; its settings are its own.
type replica struct {
	store  *state.Store
	limits state.Limits
}

// reload goes on from a snapshot of the state, as after a restart.
func (r *replica) reload(t *testing.T, from []byte) {
	t.Helper()
	s, err := state.DecodeSnapshot(from, r.limits)
	if err != nil {
		t.Fatal(err)
	}
	if again := s.EncodeSnapshot(); !bytes.Equal(again, from) {
		t.Fatalf("at %d: saved, loaded and saved again gives another state:\n%s", s.AppliedIndex, difference(from, again))
	}
	r.store = s
}

// difference names the tables and rows of two snapshots that are unlike.
func difference(a, b []byte) string {
	var left, right map[string]any
	if cbor.Unmarshal(a, &left) != nil || cbor.Unmarshal(b, &right) != nil {
		return "unreadable"
	}
	out := ""
	for k := range left {
		if reflect.DeepEqual(left[k], right[k]) {
			continue
		}
		out += k + ": "
		m, ok := left[k].(map[any]any)
		n, ok2 := right[k].(map[any]any)
		if !ok || !ok2 {
			out += fmt.Sprintf("%v, %v\n", left[k], right[k])
			continue
		}
		for i := range m {
			if !reflect.DeepEqual(m[i], n[i]) {
				out += fmt.Sprintf("%v: %v, %v\n", i, m[i], n[i])
			}
		}
		for i := range n {
			if _, ok := m[i]; !ok {
				out += fmt.Sprintf("%v: missing, %v\n", i, n[i])
			}
		}
	}
	return out
}

// replicaTest drives replicas with the same log: one that applies all of it, one
// that now and then goes on from its own snapshot, one that does so from the
// first one's. Their settings differ.
type replicaTest struct {
	*testing.T
	generator   *generator
	replicas    []*replica
	clock, wall int64
	// A snapshot of the first replica is encoded beside the commands that follow.
	// Its bytes must be those that the state had when it was made.
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
		t.Fatalf("a snapshot changed:\n%s", difference(t.expected, snapshot))
	}
}

// applyEntry applies an entry by lot; it counts the commands and the outcomes.
func (t *replicaTest) applyEntry(commands map[string]int, codes map[state.Code]int) {
	t.Helper()
	t.generator.store = t.replicas[0].store
	t.clock += int64(t.generator.Intn(40))
	if t.generator.Intn(100) == 0 {
		t.clock += state.GoneWorkerRetention.Milliseconds() // a quiet time, after which rows are forgotten
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

// compareStates compares the replicas' states byte for byte, and has some go on
// from a snapshot.
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

// TestReplicasStayEqual compares outcomes and states, byte for byte, of replicas
// that apply the same entries by lot, and snapshots with the states that they
// were made of.
func TestReplicasStayEqual(t *testing.T) {
	for _, name := range state.CommandNames() {
		if commandMakers[name].often == 0 {
			t.Errorf("no maker for the command %q: add one", name)
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
			t.Errorf("%s never came by", name)
		}
	}
}
