package tally

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// faultSeeds is the number of seeds that the fault tests run.
var faultSeeds = flag.Int64("tally.seeds", 12, "number of seeds of TestReplicasUnderFaults")

var testStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func testConfig(origin string) Config {
	return Config{Origin: origin, Copies: 2, PeerTimeout: 1200 * time.Millisecond, AnswerTimeout: 400 * time.Millisecond,
		ExchangeInterval: 500 * time.Millisecond, RepeatInterval: 250 * time.Millisecond,
		StartupTimeout: 1500 * time.Millisecond, MaxBytes: 1 << 20, MaxMessageAdds: 50}
}

// TestReplicasUnderFaults checks that no acknowledged add is lost, none counts twice, and all
// replicas show and hold the same adds three seconds after the last fault.
func TestReplicasUnderFaults(t *testing.T) {
	for seed := range *faultSeeds {
		if err := newCluster(seed, 5).runWithFaults(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestSendingBeforeWriteIsDetected checks that the contents check detects replicas that send adds
// before they are on their disks, and so come to hold different adds under one number.
func TestSendingBeforeWriteIsDetected(t *testing.T) {
	for seed := range *faultSeeds {
		c := newCluster(seed, 5)
		c.sendsBeforeWrite = true
		if c.runWithFaults() != nil {
			return
		}
	}
	t.Error("not detected with any seed")
}

// TestSlowPeerIsNotUnresponsive checks that an add is not acknowledged while the peers that are
// needed respond but have not written it yet, and that it is acknowledged once they are
// unresponsive.
func TestSlowPeerIsNotUnresponsive(t *testing.T) {
	c := newCluster(1, 3)
	for range 100 {
		c.step()
	}
	c.machines[1].diskStalled, c.machines[2].diskStalled = true, true
	c.add(0, "slow")
	for range 85 {
		c.step()
	}
	if c.acknowledgedIDs["slow"] {
		t.Fatal("acknowledged while on one disk only")
	}
	c.machines[1].diskStalled = false
	c.add(0, "slow") // the caller retries
	for range 30 {
		c.step()
	}
	if !c.acknowledgedIDs["slow"] {
		t.Fatal("not acknowledged while on two disks")
	}
	c.blocked[[2]int{0, 1}], c.blocked[[2]int{1, 0}], c.blocked[[2]int{0, 2}], c.blocked[[2]int{2, 0}] =
		true, true, true, true
	c.add(0, "alone")
	begin := c.now
	for !c.acknowledgedIDs["alone"] && c.now.Sub(begin) < 2*time.Second {
		c.step()
	}
	if took := c.now.Sub(begin); took < 400*time.Millisecond || took > 800*time.Millisecond {
		t.Errorf("acknowledged %v after the partition began, want 400 to 800 ms", took)
	}
	for range 100 {
		c.step()
	}
	c.add(0, "soon")
	for range 3 {
		c.step()
	}
	if !c.acknowledgedIDs["soon"] {
		t.Error("add waits although the peers are known to be unresponsive")
	}
}

// TestUnknownMembersAreNoCopies guards against a replica that took its own disk for all there are, as it
// didn't know its peers yet: it acknowledged adds that were gone when it lost that disk again.
func TestUnknownMembersAreNoCopies(t *testing.T) {
	for _, c := range []struct {
		name         string
		peers        []string
		membersKnown bool
		contacts     []string // peers that have confirmed the add
		wait         time.Duration
		acknowledged bool
	}{
		{"no peers are known", nil, false, nil, 10 * time.Second, false},
		{"one of the peers is known and silent", []string{"b"}, false, nil, 10 * time.Second, false},
		{"one of the peers is known and has it", []string{"b"}, false, []string{"b"}, 0, true},
		{"the peers have not been heard yet", []string{"b", "c"}, true, nil, 800 * time.Millisecond, false},
		{"one peer has it, the other has not been heard yet", []string{"b", "c"}, true, []string{"b"}, 0, true},
		{"the peers are silent", []string{"b", "c"}, true, nil, 1300 * time.Millisecond, true},
	} {
		replica := NewReplica(testConfig("a"), nil, 0, testStart)
		replica.SetPeers(c.peers, c.membersKnown, testStart)
		acknowledged := false
		replica.Change(testAdd("t", "1", 1), testStart, func(result Result, _ Position) { acknowledged = result == ResultOK })
		replica.TakeWrites()
		replica.Written(1, testStart)
		for _, peer := range c.contacts {
			replica.Receive(peer, Message{Vector: Vector{"a": 1}, Whole: true, Digest: digestOf(Vector{"a": 1})}, testStart)
		}
		replica.Tick(testStart.Add(c.wait))
		if acknowledged != c.acknowledged {
			t.Errorf("%s: acknowledged is %v after %v, want %v", c.name, acknowledged, c.wait, c.acknowledged)
		}
	}
}

// TestInjectedDefectsAreDetected checks that a replica that acknowledges too early, and one that
// counts an ID twice, violate the properties that the other tests check.
func TestInjectedDefectsAreDetected(t *testing.T) {
	c := newCluster(1, 3)
	for range 100 {
		c.step()
	}
	c.machines[0].replica.config.Copies = 1
	c.add(0, "x")
	for range 2 {
		c.step()
		c.inFlight = nil
	}
	if !c.acknowledgedIDs["x"] {
		t.Fatal("not acknowledged")
	}
	c.machines[0].disk, c.machines[0].writing = nil, nil
	c.start(0)
	for range 300 {
		c.step()
	}
	if total, _ := c.machines[1].replica.Read("t", nil, c.now); total >= c.sentAmounts["x"] {
		t.Error("add that was on one lost disk only is still there")
	}
	double := NewSet()
	merge(double, Run{Origin: "a", First: 1, Adds: []Add{testAdd("t", "x", 3)}})
	double.positionByID = map[ID]location{} // forgets what has counted
	merge(double, Run{Origin: "b", First: 1, Adds: []Add{testAdd("t", "x", 3)}})
	if double.Total("t") != 6 {
		t.Error("the injected defect doesn't count the ID twice")
	}
}

// TestReadAfterVector checks that a replica that lacks adds of the caller's vector refuses the
// read, and that a replica with peers refuses reads until StartupTimeout.
func TestReadAfterVector(t *testing.T) {
	replica := NewReplica(testConfig("a"), []Run{{Origin: "b", First: 1, Adds: []Add{testAdd("t", "1", 4)}}}, 1, testStart)
	for _, c := range []struct {
		after Vector
		want  Result
	}{{nil, ResultOK}, {Vector{"b": 1}, ResultOK}, {Vector{"b": 2}, ResultBehind}, {Vector{"c": 1}, ResultBehind}} {
		if total, result := replica.Read("t", c.after, testStart); result != c.want || result == ResultOK && total != 4 {
			t.Errorf("after %v: %d, %v", c.after, total, result)
		}
	}
	replica.SetPeers([]string{"other"}, true, testStart)
	if _, result := replica.Read("t", nil, testStart); result != ResultStarting {
		t.Errorf("right after start: %v, want ResultStarting", result)
	}
	if _, result := replica.Read("t", nil, testStart.Add(2*time.Second)); result != ResultOK {
		t.Errorf("after StartupTimeout without peers: %v, want ResultOK", result)
	}
}

// TestReadsWaitForPeersThatAreKnownLate guards against a replica that lost its disk, learnt of its peers after
// StartupTimeout, and answered reads before any of them could tell what it lacks.
func TestReadsWaitForPeersThatAreKnownLate(t *testing.T) {
	replica := NewReplica(testConfig("a"), nil, 0, testStart)
	replica.SetPeers(nil, false, testStart)
	later := testStart.Add(10 * time.Second)
	replica.SetPeers([]string{"b"}, true, later)
	if _, result := replica.Read("t", nil, later.Add(time.Second)); result != ResultStarting {
		t.Errorf("a second after the peers were known: %v, want ResultStarting", result)
	}
	replica.SetPeers([]string{"b", "c"}, true, later.Add(time.Second))
	if _, result := replica.Read("t", nil, later.Add(2*time.Second)); result != ResultOK {
		t.Errorf("after StartupTimeout without contact: %v, want ResultOK", result)
	}
}

// TestFullFileRefusesNewAdds checks that a full file refuses new adds, but neither repeated IDs nor
// adds from other replicas.
func TestFullFileRefusesNewAdds(t *testing.T) {
	config := testConfig("a")
	config.MaxBytes = 100
	replica := NewReplica(config, nil, 0, testStart)
	replica.SetPeers([]string{"other"}, true, testStart)
	var results []Result
	for _, id := range []string{"1", "2", "1"} {
		replica.Change(testAdd("t", id, 1), testStart, func(result Result, _ Position) { results = append(results, result) })
		replica.TakeWrites()
		replica.Written(100, testStart)
		replica.Receive("other", Message{Vector: Vector{"a": 1}, Whole: true, Digest: digestOf(Vector{"a": 1})}, testStart)
	}
	if len(results) != 3 || results[0] != ResultOK || results[1] != ResultFull || results[2] != ResultOK {
		t.Errorf("results: %v", results)
	}
	replica.Receive("other", Message{Runs: []Run{{Origin: "b", First: 1, Adds: []Add{testAdd("t", "3", 1)}}}}, testStart)
	if writes := replica.TakeWrites(); len(writes) != 1 {
		t.Errorf("writes for an add of another replica: %v, want one", writes)
	}
}

// TestRestoredOlderFile checks that a replica whose file is an older copy of itself assigns no
// number until its peers have sent back the missing adds, and then continues after them.
func TestRestoredOlderFile(t *testing.T) {
	c := newCluster(5, 3)
	for range 100 {
		c.step()
	}
	older := 0
	for n := range 6 {
		c.add(0, fmt.Sprint("a", n))
		for range 20 {
			c.step()
		}
		if n == 2 {
			older = len(c.machines[0].disk)
		}
	}
	c.machines[0].disk = c.machines[0].disk[:older]
	c.start(0)
	c.machines[0].replica.Receive("m1", Message{Whole: true, Vector: c.machines[1].replica.set.Vector(),
		Digest: c.machines[1].replica.set.Digest()}, c.now)
	refused := ResultOK
	c.machines[0].replica.Change(testAdd("t", "b", 1), c.now, func(result Result, _ Position) { refused = result })
	if refused != ResultBehind {
		t.Errorf("change returned %v, want ResultBehind", refused)
	}
	for range 200 {
		c.step()
	}
	c.add(0, "c")
	for range 100 {
		c.step()
	}
	if !c.acknowledgedIDs["c"] {
		t.Error("add not acknowledged after the missing adds are back")
	}
	if err := c.checkConverged(); err != nil {
		t.Fatal(err)
	}
}

// TestRestartsDoNotGrowState checks that the state and the messages of replicas don't grow with
// restarts and lost disks, except for the adds themselves and one number for each file that ever
// existed.
func TestRestartsDoNotGrowState(t *testing.T) {
	c := newCluster(3, 5)
	size, calm := 0, false
	c.onMessage = func(message Message) {
		raw, err := cbor.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		if calm {
			size = max(size, len(raw))
		}
	}
	for restart := range 300 { // ten restarts a day of five servers; each tenth one loses its disk
		victim := restart % 5
		if restart%10 == 0 {
			c.machines[victim].disk, c.machines[victim].writing = nil, nil
		}
		c.start(victim)
		for range 70 {
			c.step()
		}
		c.add(victim, fmt.Sprint("id", restart))
		for range 40 {
			c.step()
		}
	}
	for range 400 {
		c.step()
	}
	if err := c.checkConverged(); err != nil {
		t.Fatal(err)
	}
	most := 0
	for _, m := range c.machines {
		most = max(most, len(m.replica.set.Vector()))
	}
	if fileCount := 5 + 30; most > fileCount {
		t.Errorf("%d origins for %d files", most, fileCount)
	}
	calm = true
	for range 200 {
		c.step()
	}
	if size > 60 {
		t.Errorf("message without faults has %d bytes, want at most 60", size)
	}
	t.Logf("%d origins after 300 restarts and 30 lost disks, %d bytes for the largest message without faults", most, size)
}
