package raft

import (
	"fmt"
	"sort"
	"testing"
	"time"
)

// testNet is several nodes on a network, disks and a clock of the test's own.
type testNet struct {
	t     *testing.T
	now   time.Time
	nodes map[string]*Node
	queue []Msg
	cut   map[string]bool // "a>b"
	lose  map[byte]bool   // kinds of messages
	disks map[string]*testDisk
	stall map[string]bool
	held  map[string][]Out
	done  map[string][]string // applied data
	seed  int64
}

type testDisk struct {
	hard  Hard
	point Point
	log   []Entry
}

var testTiming = Timing{Beat: 100 * time.Millisecond, Elect: 600 * time.Millisecond, Spread: 300 * time.Millisecond,
	Quorum: 900 * time.Millisecond, LeaseShare: 0.85, Window: 64, Bytes: 1 << 20}

func newNet(t *testing.T, seed int64, names ...string) *testNet {
	n := &testNet{t: t, now: time.Unix(1000, 0), nodes: map[string]*Node{}, cut: map[string]bool{}, lose: map[byte]bool{}, disks: map[string]*testDisk{},
		stall: map[string]bool{}, held: map[string][]Out{}, done: map[string][]string{}, seed: seed}
	var vs []Voter
	for _, x := range names {
		vs = append(vs, Voter{Node: "node-" + x, Disk: x, Addr: x})
	}
	for _, x := range names {
		n.disks[x] = &testDisk{point: Point{Index: 1, Conf: vs}}
		n.start(x)
	}
	return n
}

func (n *testNet) start(x string) {
	d := n.disks[x]
	if d == nil {
		d = &testDisk{}
		n.disks[x] = d
	}
	n.seed++
	n.done[x] = nil
	for _, e := range d.point.Data {
		n.done[x] = append(n.done[x], string(rune(e)))
	}
	nd := New(x, d.hard, d.point, append([]Entry(nil), d.log...), n.now, testTiming, n.seed*7919+int64(x[0]))
	nd.SetPoint(func() *Point {
		i := nd.Applied()
		tm, _ := nd.TermAt(i)
		var data []byte
		for _, s := range n.done[x] {
			data = append(data, s[0])
		}
		return &Point{Index: i, Term: tm, Conf: nd.ConfAt(i), Old: nd.OldConfAt(i), Data: data}
	})
	n.nodes[x] = nd
	n.held[x] = nil
}

func (n *testNet) kill(x string) {
	delete(n.nodes, x)
	n.held[x] = nil
}

// write puts an out on a disk and sends what rested on it.
func (n *testNet) write(x string, o Out) {
	d := n.disks[x]
	if o.Hard != nil {
		d.hard = *o.Hard
	}
	if o.Point != nil {
		d.point, d.log = *o.Point, nil
	}
	for _, e := range o.Entries {
		keep := d.log[:0:0]
		for _, f := range d.log {
			if f.Index < e.Index {
				keep = append(keep, f)
			}
		}
		d.log = append(keep, e)
	}
	if o.Writes() {
		n.nodes[x].Synced(o.Mark)
	}
	n.queue = append(n.queue, o.After...)
}

func (n *testNet) pump(x string) {
	nd := n.nodes[x]
	if nd == nil {
		return
	}
	for {
		o := nd.Take()
		if !o.Empty() {
			n.queue = append(n.queue, o.Now...)
			if o.Point != nil {
				n.done[x] = nil
				for _, e := range o.Point.Data {
					n.done[x] = append(n.done[x], string(rune(e)))
				}
			}
			if n.stall[x] {
				n.held[x] = append(n.held[x], o)
			} else {
				for _, h := range n.held[x] {
					n.write(x, h)
				}
				n.held[x] = nil
				n.write(x, o)
			}
		}
		for _, e := range nd.Settled() {
			if e.Kind == EntryData {
				n.done[x] = append(n.done[x], string(e.Data))
			}
		}
		if o.Empty() {
			return
		}
	}
}

func (n *testNet) names() []string {
	var out []string
	for x := range n.nodes {
		out = append(out, x)
	}
	sort.Strings(out)
	return out
}

// step moves time on by one beat's tenth and delivers all that is under way.
func (n *testNet) step() {
	n.now = n.now.Add(10 * time.Millisecond)
	for _, x := range n.names() {
		n.nodes[x].Tick(n.now)
		n.pump(x)
	}
	for i := 0; len(n.queue) > 0; i++ {
		if i > 10000 {
			n.t.Fatal("messages without end")
		}
		m := n.queue[0]
		n.queue = n.queue[1:]
		if nd := n.nodes[m.To]; nd != nil && !n.cut[m.From+">"+m.To] && !n.lose[m.Kind] {
			nd.Step(m, n.now)
			n.pump(m.To)
		}
	}
	n.agree()
}

// agree fails if two members applied different things in one place.
func (n *testNet) agree() {
	var long []string
	for _, d := range n.done {
		if len(d) > len(long) {
			long = d
		}
	}
	for x, d := range n.done {
		for i := range d {
			if d[i] != long[i] {
				n.t.Fatalf("%s applied %q at %d, another %q", x, d[i], i, long[i])
			}
		}
	}
}

func (n *testNet) until(what string, ok func() bool) {
	n.t.Helper()
	for i := 0; i < 1000; i++ {
		if ok() {
			return
		}
		n.step()
	}
	n.t.Fatalf("not within 10 s: %s", what)
}

func (n *testNet) lead() *Node {
	for _, x := range n.names() {
		if nd := n.nodes[x]; nd.Ready() && nd.Lease(n.now) {
			return nd
		}
	}
	return nil
}

func (n *testNet) put(s string) {
	n.t.Helper()
	n.until("a leader", func() bool { return n.lead() != nil })
	l := n.lead()
	i, ok := l.Propose([]byte(s))
	if !ok {
		n.t.Fatal("refused")
	}
	n.pump(l.Me())
	n.until("settled "+s, func() bool { return l.Commit() >= i })
}

func (n *testNet) has(x string, s string) bool {
	for _, d := range n.done[x] {
		if d == s {
			return true
		}
	}
	return false
}

func TestCandidateTakesThePlaceOfAWipedVoter(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		n := newNet(t, seed, "a", "b", "c")
		n.put("1")
		n.put("2")
		l := n.lead()
		gone := "a"
		if l.Me() == "a" {
			gone = "b"
		}
		n.kill(gone)
		n.put("3")
		n.start("d")
		l.Learn(Voter{Node: "node-" + gone, Disk: "d", Addr: "d"})
		n.until("caught up", func() bool { return l.Caught("d") })
		var vs []Voter
		for _, v := range l.Voters() {
			if v.Disk != gone {
				vs = append(vs, v)
			}
		}
		l.ProposeConf(vs)
		n.until("removed", func() bool { return l.ConfIndex() <= l.Commit() })
		if !l.ProposeConf(append(vs, Voter{Node: "node-" + gone, Disk: "d", Addr: "d"})) {
			t.Fatal("second change refused")
		}
		n.until("added", func() bool { return l.ConfIndex() <= l.Commit() && n.nodes["d"].Voter("d") })
		n.put("4")
		n.until("applied there", func() bool { return n.has("d", "4") && n.has("d", "1") })
	}
}

func TestKilledLeaderIsFollowed(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		n := newNet(t, seed, "a", "b", "c")
		n.put("1")
		old := n.lead().Me()
		n.kill(old)
		at := n.now
		n.put("2")
		if d := n.now.Sub(at); d > 2500*time.Millisecond {
			t.Errorf("seed %d: %v without a leader", seed, d)
		}
		n.start(old)
		n.until("back", func() bool { return n.has(old, "2") })
	}
}

func TestOneWayCutAndThawedLeader(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		n := newNet(t, seed, "a", "b", "c")
		n.put("1")
		old := n.lead().Me()
		// Others hear the leader, it doesn't hear them.
		for _, x := range []string{"a", "b", "c"} {
			n.cut[x+">"+old] = true
		}
		n.until("another leads", func() bool { l := n.lead(); return l != nil && l.Me() != old })
		n.put("2")
		for _, x := range []string{"a", "b", "c"} {
			n.cut[x+">"+old] = false
		}
		n.until("one leader", func() bool { return !n.nodes[old].Leads() && n.has(old, "2") })
	}
}

func TestFrozenLeaderHasNoLease(t *testing.T) {
	n := newNet(t, 1, "a", "b", "c")
	n.put("1")
	old := n.lead()
	frozen := n.nodes[old.Me()]
	delete(n.nodes, old.Me())
	n.until("another leads", func() bool { return n.lead() != nil })
	if frozen.Lease(n.now) {
		t.Fatal("a thawed leader trusts its lease")
	}
	n.put("2")
	n.nodes[old.Me()] = frozen
	n.until("it follows", func() bool { return !frozen.Leads() && n.has(old.Me(), "2") })
}

func TestStalledDiskOfLeaderDoesNotStop(t *testing.T) {
	n := newNet(t, 3, "a", "b", "c")
	n.put("1")
	n.stall[n.lead().Me()] = true
	n.put("2")
	n.put("3")
}

func TestTransfer(t *testing.T) {
	n := newNet(t, 4, "a", "b", "c")
	n.put("1")
	old := n.lead()
	if !old.Transfer() {
		t.Fatal("nobody to hand over to")
	}
	at := n.now
	n.until("another leads", func() bool { l := n.lead(); return l != nil && l != old })
	if n.now.Sub(at) > 300*time.Millisecond {
		t.Errorf("handing over took %v", n.now.Sub(at))
	}
	n.put("2")
}

func TestAllLosePower(t *testing.T) {
	n := newNet(t, 5, "a", "b", "c", "d", "e")
	for i := range 9 {
		n.put(fmt.Sprint(i))
	}
	for _, x := range n.names() {
		n.kill(x)
	}
	for _, x := range []string{"a", "b", "c", "d", "e"} {
		n.start(x)
	}
	n.put("z")
	n.until("all have all", func() bool {
		for _, x := range n.names() {
			if !n.has(x, "z") || !n.has(x, "8") {
				return false
			}
		}
		return true
	})
}
