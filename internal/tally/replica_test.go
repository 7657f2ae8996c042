package tally

import (
	"flag"
	"fmt"
	"maps"
	"math/rand"
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

// machine is a replica with its disk.
type machine struct {
	replica *Replica
	disk    []Run
	writing []Run // on its way to the disk
	origin  string
	files   int
	stalled bool // its disk
	down    bool
	// acknowledged are the IDs that it has acknowledged in this life.
	acknowledged map[string]bool
}

// world is a group of machines with a network that loses, delays and cuts.
type world struct {
	random   *rand.Rand
	now      time.Time
	machines []*machine
	inFlight []flight
	cut      map[[2]int]bool
	sent     map[string]int64 // the amount of each ID that was ever sent
	kept     map[string]bool  // IDs that were acknowledged and must not be lost
	// onMessage is told of each message that is sent, if it is set.
	onMessage func(Message)
}

type flight struct {
	from, to  int
	arrivesAt time.Time
	message   Message
}

func newWorld(seed int64, size int) *world {
	w := &world{random: rand.New(rand.NewSource(seed)), now: testStart, cut: map[[2]int]bool{}, sent: map[string]int64{}, kept: map[string]bool{}}
	for range size {
		w.machines = append(w.machines, &machine{})
	}
	for i := range w.machines {
		w.start(i)
	}
	return w
}

func memberID(i int) string { return fmt.Sprint("m", i) }

// start starts a machine with what is on its disk.
func (w *world) start(i int) {
	m := w.machines[i]
	if m.writing != nil && w.random.Intn(2) == 0 {
		m.disk = append(m.disk, m.writing...) // it came to an end all the same
	}
	if m.writing = nil; len(m.disk) == 0 {
		m.files++
		m.origin = fmt.Sprintf("%s/%d", memberID(i), m.files)
	}
	m.down, m.acknowledged = false, map[string]bool{}
	m.replica = NewReplica(testConfig(m.origin), m.disk, int64(len(m.disk)), w.now)
	var peers []string
	for j := range w.machines {
		if j != i {
			peers = append(peers, memberID(j))
		}
	}
	m.replica.SetPeers(peers)
}

// step lets 10 ms pass.
func (w *world) step() {
	w.now = w.now.Add(10 * time.Millisecond)
	flights := w.inFlight
	w.inFlight = nil
	for _, f := range flights {
		switch {
		case f.arrivesAt.After(w.now) || w.cut[[2]int{f.from, f.to}]:
			w.inFlight = append(w.inFlight, f)
		case !w.machines[f.to].down:
			w.machines[f.to].replica.Receive(memberID(f.from), f.message, w.now)
		}
	}
	for i, m := range w.machines {
		if m.down {
			continue
		}
		m.replica.Tick(w.now)
		m.replica.Abandon(w.now.Add(-900 * time.Millisecond))
		if !m.stalled {
			if m.writing != nil {
				m.disk, m.writing = append(m.disk, m.writing...), nil
				m.replica.Written(int64(len(m.disk)), w.now)
			}
			m.writing = m.replica.TakeWrites()
		}
		for _, envelope := range m.replica.TakeMessages() {
			if w.onMessage != nil {
				w.onMessage(envelope.Message)
			}
			if w.random.Intn(20) == 0 {
				continue // lost
			}
			var to int
			_, _ = fmt.Sscanf(envelope.To, "m%d", &to)
			w.inFlight = append(w.inFlight, flight{i, to, w.now.Add(time.Duration(w.random.Intn(30)) * time.Millisecond), envelope.Message})
		}
	}
}

// add has a caller add at a machine.
func (w *world) add(i int, id string) {
	m := w.machines[i]
	if m.down {
		return
	}
	w.sent[id] = int64(1 + len(id))
	m.replica.Change(Add{Tally: "t", ID: NewID("t", id), Amount: w.sent[id]}, w.now, func(result Result, _ Position) {
		if result == ResultOK {
			w.kept[id], m.acknowledged[id] = true, true
		}
	})
}

// checkReads holds the sum that each machine shows against the rules: TWICE, and STALE of
// what it has acknowledged itself.
func (w *world) checkReads(t *testing.T) {
	t.Helper()
	most := int64(0)
	for _, amount := range w.sent {
		most += amount
	}
	for i, m := range w.machines {
		if m.down {
			continue
		}
		total, result := m.replica.Read("t", nil, w.now)
		if result != ResultOK {
			continue
		}
		least := int64(0)
		for id := range m.acknowledged {
			least += w.sent[id]
		}
		if total > most || total < least {
			t.Fatalf("TWICE or STALE: machine %d shows %d, %d was sent, %d acknowledged there", i, total, most, least)
		}
	}
}

// checkKept: after a calm time all machines show all that was acknowledged, and no more than
// what was sent.
func (w *world) checkKept(t *testing.T) {
	t.Helper()
	least := int64(0)
	for id := range w.kept {
		least += w.sent[id]
	}
	w.checkReads(t)
	for i, m := range w.machines {
		if total, result := m.replica.Read("t", nil, w.now); result != ResultOK || total < least {
			t.Fatalf("LOST: machine %d shows %d (%v), %d was acknowledged", i, total, result, least)
		}
		if !maps.Equal(m.replica.set.Vector(), w.machines[0].replica.set.Vector()) {
			t.Fatalf("machines 0 and %d differ", i)
		}
		if m.replica.set.Digest() != digestOf(m.replica.set.Vector()) {
			t.Fatalf("machine %d: the digest is not that of its vector", i)
		}
	}
}

// trouble has something happen now and then: a partition, whichever, or its end, a machine
// that ends or starts, a disk that stalls or goes on.
func (w *world) trouble() {
	machine := w.random.Intn(len(w.machines))
	switch w.random.Intn(100) {
	case 0:
		side := w.random.Intn(1 << len(w.machines))
		for i := range w.machines {
			for j := range w.machines {
				if side>>i&1 != side>>j&1 {
					w.cut[[2]int{i, j}] = true
				}
			}
		}
	case 1, 2:
		clear(w.cut)
	case 3:
		w.machines[machine].down = true
	case 4, 5:
		if w.machines[machine].down {
			w.start(machine)
		}
	case 6:
		w.machines[machine].stalled = true
	case 7, 8:
		w.machines[machine].stalled = false
	}
}

// loseDiskOfWhoAcknowledges has a machine lose its disk right after it has acknowledged an
// add, in a calm time.
func (w *world) loseDiskOfWhoAcknowledges() {
	for i := 0; ; i++ {
		id, victim := fmt.Sprint("last", i), w.random.Intn(len(w.machines))
		w.add(victim, id)
		for range 50 {
			w.step()
			if w.machines[victim].acknowledged[id] {
				w.machines[victim].disk, w.machines[victim].writing = nil, nil
				w.start(victim)
				return
			}
		}
	}
}

// TestTalliesUnderTroubles: partitions, machines that end, disks that stall, and one disk
// that is lost at a time outside partitions: nothing acknowledged is lost, nothing counts
// twice, and three seconds after the last trouble all show the same.
func TestTalliesUnderTroubles(t *testing.T) {
	for seed := range *troubleSeeds {
		w := newWorld(seed, 5)
		for range 100 {
			w.step()
		}
		for step := range 3000 {
			w.trouble()
			if w.random.Intn(5) == 0 {
				id := fmt.Sprint(w.random.Intn(1 + step/4))
				w.add(w.random.Intn(len(w.machines)), id)
			}
			w.step()
			w.checkReads(t)
		}
		clear(w.cut)
		for i, m := range w.machines {
			m.stalled = false
			if m.down {
				w.start(i)
			}
		}
		for range 300 {
			w.step()
		}
		w.checkKept(t)
		w.loseDiskOfWhoAcknowledges()
		for range 300 {
			w.step()
		}
		w.checkKept(t)
	}
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
	w.checkKept(t)
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
	w.checkKept(t)
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
