package tally

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// troubleSeeds is how many days of troubles are played.
var troubleSeeds = flag.Int64("tally.seeds", 12, "seeds of TestTalliesUnderTroubles")

var testStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func testConfig(origin string) Config {
	return Config{Origin: origin, Copies: 2, PeerTimeout: 1200 * time.Millisecond, AnswerTimeout: 400 * time.Millisecond,
		ExchangeInterval: 500 * time.Millisecond, RepeatInterval: 250 * time.Millisecond, StartupTimeout: 1500 * time.Millisecond, MaxBytes: 1 << 20, MaxMessageAdds: 50}
}

// TestTalliesUnderTroubles: nothing acknowledged is lost, nothing counts twice, and three
// seconds after the last trouble all show the same and hold the same.
func TestTalliesUnderTroubles(t *testing.T) {
	for seed := range *troubleSeeds {
		if err := newWorld(seed, 5).playTroubles(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestAddsSentBeforeTheirWriteAreFound: replicas that tell of adds that are not on their disks
// come to hold different adds under one number, which the check of the contents finds.
func TestAddsSentBeforeTheirWriteAreFound(t *testing.T) {
	for seed := range *troubleSeeds {
		w := newWorld(seed, 5)
		w.sendsUnwritten = true
		if w.playTroubles() != nil {
			return
		}
	}
	t.Error("not found by any seed")
}

// TestSlowIsNotCutOff: an add is not acknowledged while the others that are needed answer,
// and have it not on their disks yet; it is once they are silent.
func TestSlowIsNotCutOff(t *testing.T) {
	w := newWorld(1, 3)
	for range 100 {
		w.step()
	}
	w.machines[1].stalled, w.machines[2].stalled = true, true
	w.add(0, "slow")
	for range 85 {
		w.step()
	}
	if w.kept["slow"] {
		t.Fatal("acknowledged, and on one disk")
	}
	w.machines[1].stalled = false
	w.add(0, "slow") // the caller tries again
	for range 30 {
		w.step()
	}
	if !w.kept["slow"] {
		t.Fatal("on two disks, and not acknowledged")
	}
	w.cut[[2]int{0, 1}], w.cut[[2]int{1, 0}], w.cut[[2]int{0, 2}], w.cut[[2]int{2, 0}] = true, true, true, true
	w.add(0, "alone")
	begin := w.now
	for !w.kept["alone"] && w.now.Sub(begin) < 2*time.Second {
		w.step()
	}
	if took := w.now.Sub(begin); took < 400*time.Millisecond || took > 800*time.Millisecond {
		t.Errorf("acknowledged after %v of a partition", took)
	}
	for range 100 {
		w.step()
	}
	w.add(0, "soon")
	for range 3 {
		w.step()
	}
	if !w.kept["soon"] {
		t.Error("in a partition that is known an add waits")
	}
}

// TestPlantedBreaksAreFound: a replica that acknowledges too early, and one that counts an
// ID twice, break what the checks hold.
func TestPlantedBreaksAreFound(t *testing.T) {
	w := newWorld(1, 3)
	for range 100 {
		w.step()
	}
	w.machines[0].replica.config.Copies = 1
	w.add(0, "x")
	for range 2 {
		w.step()
		w.inFlight = nil
	}
	if !w.kept["x"] {
		t.Fatal("not acknowledged")
	}
	w.machines[0].disk, w.machines[0].writing = nil, nil
	w.start(0)
	for range 300 {
		w.step()
	}
	if total, _ := w.machines[1].replica.Read("t", nil, w.now); total >= w.sent["x"] {
		t.Error("an add that was on one disk alone is still there")
	}
	double := NewSet()
	merge(double, Run{Origin: "a", First: 1, Adds: []Add{testAdd("t", "x", 3)}})
	double.entries = map[ID]place{} // it forgets what has counted
	merge(double, Run{Origin: "b", First: 1, Adds: []Add{testAdd("t", "x", 3)}})
	if double.Total("t") != 6 {
		t.Error("the planted break doesn't double")
	}
}

// TestReadsOfWhatACallerKnows: a replica that lacks it says so.
func TestReadsOfWhatACallerKnows(t *testing.T) {
	replica := NewReplica(testConfig("a"), []Run{{Origin: "b", First: 1, Adds: []Add{testAdd("t", "1", 4)}}}, 1, testStart)
	for _, c := range []struct {
		after Vector
		want  Result
	}{{nil, ResultOK}, {Vector{"b": 1}, ResultOK}, {Vector{"b": 2}, ResultBehind}, {Vector{"c": 1}, ResultBehind}} {
		if total, result := replica.Read("t", c.after, testStart); result != c.want || result == ResultOK && total != 4 {
			t.Errorf("after %v: %d, %v", c.after, total, result)
		}
	}
	replica.SetPeers([]string{"other"})
	if _, result := replica.Read("t", nil, testStart); result != ResultStarted {
		t.Errorf("just started: %v", result)
	}
	if _, result := replica.Read("t", nil, testStart.Add(2*time.Second)); result != ResultOK {
		t.Errorf("alone for long: %v", result)
	}
}

// TestNoRoom: beyond the bound adds are refused, those that have counted are not, and what
// other replicas bring is taken.
func TestNoRoom(t *testing.T) {
	config := testConfig("a")
	config.MaxBytes = 100
	replica := NewReplica(config, nil, 0, testStart)
	replica.SetPeers([]string{"other"})
	var results []Result
	for _, id := range []string{"1", "2", "1"} {
		replica.Change(testAdd("t", id, 1), testStart, func(result Result, _ Position) { results = append(results, result) })
		replica.TakeWrites()
		replica.Written(100, testStart)
		replica.Receive("other", Message{Vector: Vector{"a": 1}, Whole: true, Digest: digestOf(Vector{"a": 1})}, testStart)
	}
	if len(results) != 3 || results[0] != ResultOK || results[1] != ResultFull || results[2] != ResultOK {
		t.Errorf("%v", results)
	}
	replica.Receive("other", Message{Runs: []Run{{Origin: "b", First: 1, Adds: []Add{testAdd("t", "3", 1)}}}}, testStart)
	if writes := replica.TakeWrites(); len(writes) != 1 {
		t.Errorf("%v is written of what another replica has", writes)
	}
}

// TestOlderCopyOfAFile: a replica whose file is an older copy of itself gives no number until
// the others have brought back what it lacks, and then goes on behind it.
func TestOlderCopyOfAFile(t *testing.T) {
	w := newWorld(5, 3)
	for range 100 {
		w.step()
	}
	older := 0
	for n := range 6 {
		w.add(0, fmt.Sprint("a", n))
		for range 20 {
			w.step()
		}
		if n == 2 {
			older = len(w.machines[0].disk)
		}
	}
	w.machines[0].disk = w.machines[0].disk[:older]
	w.start(0)
	w.machines[0].replica.Receive("m1", Message{Whole: true, Vector: w.machines[1].replica.set.Vector(), Digest: w.machines[1].replica.set.Digest()}, w.now)
	refused := ResultOK
	w.machines[0].replica.Change(testAdd("t", "b", 1), w.now, func(result Result, _ Position) { refused = result })
	if refused != ResultBehind {
		t.Errorf("an add is taken: %v", refused)
	}
	for range 200 {
		w.step()
	}
	w.add(0, "c")
	for range 100 {
		w.step()
	}
	if !w.kept["c"] {
		t.Error("no add is taken once all is back")
	}
	if err := w.checkKept(); err != nil {
		t.Fatal(err)
	}
}

// TestMonthOfRestarts: what replicas keep and tell doesn't grow with restarts and lost disks,
// but for the adds themselves and one number for each file there ever was.
func TestMonthOfRestarts(t *testing.T) {
	w := newWorld(3, 5)
	size, calm := 0, false
	w.onMessage = func(message Message) {
		raw, err := cbor.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		if calm {
			size = max(size, len(raw))
		}
	}
	for life := range 300 { // ten restarts a day of five servers, of which one loses its disk
		victim := life % 5
		if life%10 == 0 {
			w.machines[victim].disk, w.machines[victim].writing = nil, nil
		}
		w.start(victim)
		for range 70 {
			w.step()
		}
		w.add(victim, fmt.Sprint("id", life))
		for range 40 {
			w.step()
		}
	}
	for range 400 {
		w.step()
	}
	if err := w.checkKept(); err != nil {
		t.Fatal(err)
	}
	most := 0
	for _, m := range w.machines {
		most = max(most, len(m.replica.set.Vector()))
	}
	if files := 5 + 30; most > files {
		t.Errorf("%d origins of %d files", most, files)
	}
	calm = true
	for range 200 {
		w.step()
	}
	if size > 60 {
		t.Errorf("a message of a calm time has %d bytes", size)
	}
	t.Logf("%d origins after 300 lives and 30 lost disks, %d bytes for the largest message of a calm time", most, size)
}
