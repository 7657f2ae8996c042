package raft

import (
	"fmt"
	"sort"
	"testing"
	"time"
)

// testCluster is several nodes on a network, disks and a clock of the test's own.
type testCluster struct {
	t        *testing.T
	now      time.Time
	nodes    map[string]*Node
	queue    []Message
	cut      map[string]bool      // "a>b"
	dropped  map[MessageKind]bool // kinds of messages
	disks    map[string]*testDisk
	stalled  map[string]bool
	unsynced map[string][]Ready
	applied  map[string][]string // applied data
	seed     int64
}

type testDisk struct {
	hardState HardState
	snapshot  Snapshot
	log       []Entry
}

var testConfig = Config{HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 600 * time.Millisecond, ElectionJitter: 300 * time.Millisecond,
	CheckQuorumTimeout: 900 * time.Millisecond, LeaseFraction: 0.85, MaxInflightEntries: 64, MaxAppendBytes: 1 << 20}

func newTestCluster(t *testing.T, seed int64, names ...string) *testCluster {
	c := &testCluster{t: t, now: time.Unix(1000, 0), nodes: map[string]*Node{}, cut: map[string]bool{}, dropped: map[MessageKind]bool{}, disks: map[string]*testDisk{},
		stalled: map[string]bool{}, unsynced: map[string][]Ready{}, applied: map[string][]string{}, seed: seed}
	var voters []Member
	for _, id := range names {
		voters = append(voters, Member{Node: "node-" + id, ID: id, Addr: id})
	}
	for _, id := range names {
		c.disks[id] = &testDisk{snapshot: Snapshot{Index: 1, Voters: voters}}
		c.start(id)
	}
	return c
}

func (c *testCluster) start(id string) {
	disk := c.disks[id]
	if disk == nil {
		disk = &testDisk{}
		c.disks[id] = disk
	}
	c.seed++
	c.applied[id] = nil
	for _, e := range disk.snapshot.Data {
		c.applied[id] = append(c.applied[id], string(rune(e)))
	}
	node := New(id, disk.hardState, disk.snapshot, append([]Entry(nil), disk.log...), c.now, testConfig, c.seed*7919+int64(id[0]))
	node.SetSnapshotSource(func() *Snapshot {
		index := node.AppliedIndex()
		term, _ := node.TermAt(index)
		var data []byte
		for _, s := range c.applied[id] {
			data = append(data, s[0])
		}
		return &Snapshot{Index: index, Term: term, Voters: node.VotersAt(index), OutgoingVoters: node.OutgoingVotersAt(index), Data: data}
	})
	c.nodes[id] = node
	c.unsynced[id] = nil
}

func (c *testCluster) kill(id string) {
	delete(c.nodes, id)
	c.unsynced[id] = nil
}

// write puts an out on a disk and sends what rested on it.
func (c *testCluster) write(id string, ready Ready) {
	disk := c.disks[id]
	if ready.HardState != nil {
		disk.hardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		disk.snapshot, disk.log = *ready.Snapshot, nil
	}
	for _, e := range ready.Entries {
		keep := disk.log[:0:0]
		for _, f := range disk.log {
			if f.Index < e.Index {
				keep = append(keep, f)
			}
		}
		disk.log = append(keep, e)
	}
	if ready.MustSync() {
		c.nodes[id].WriteSynced(ready.WriteToken)
	}
	c.queue = append(c.queue, ready.MessagesAfterSync...)
}

func (c *testCluster) drain(id string) {
	node := c.nodes[id]
	if node == nil {
		return
	}
	for {
		ready := node.Ready()
		if !ready.IsEmpty() {
			c.queue = append(c.queue, ready.Messages...)
			if ready.Snapshot != nil {
				c.applied[id] = nil
				for _, e := range ready.Snapshot.Data {
					c.applied[id] = append(c.applied[id], string(rune(e)))
				}
			}
			if c.stalled[id] {
				c.unsynced[id] = append(c.unsynced[id], ready)
			} else {
				for _, earlier := range c.unsynced[id] {
					c.write(id, earlier)
				}
				c.unsynced[id] = nil
				c.write(id, ready)
			}
		}
		for _, e := range node.NextCommittedEntries() {
			if e.Kind == EntryNormal {
				c.applied[id] = append(c.applied[id], string(e.Data))
			}
		}
		if ready.IsEmpty() {
			return
		}
	}
}

func (c *testCluster) names() []string {
	var ids []string
	for id := range c.nodes {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// step moves time on by one beat's tenth and delivers all that is under way.
func (c *testCluster) step() {
	c.now = c.now.Add(10 * time.Millisecond)
	for _, id := range c.names() {
		c.nodes[id].Tick(c.now)
		c.drain(id)
	}
	for i := 0; len(c.queue) > 0; i++ {
		if i > 10000 {
			c.t.Fatal("messages without end")
		}
		m := c.queue[0]
		c.queue = c.queue[1:]
		if node := c.nodes[m.To]; node != nil && !c.cut[m.From+">"+m.To] && !c.dropped[m.Kind] {
			node.Step(m, c.now)
			c.drain(m.To)
		}
	}
	c.checkAgreement()
}

// checkAgreement fails if two members applied different things in one place.
func (c *testCluster) checkAgreement() {
	var longest []string
	for _, d := range c.applied {
		if len(d) > len(longest) {
			longest = d
		}
	}
	for x, d := range c.applied {
		for i := range d {
			if d[i] != longest[i] {
				c.t.Fatalf("%s applied %q at %d, another %q", x, d[i], i, longest[i])
			}
		}
	}
}

func (c *testCluster) until(what string, ok func() bool) {
	c.t.Helper()
	for i := 0; i < 1000; i++ {
		if ok() {
			return
		}
		c.step()
	}
	c.t.Fatalf("not within 10 s: %s", what)
}

func (c *testCluster) leader() *Node {
	for _, id := range c.names() {
		if node := c.nodes[id]; node.LeaderReady() && node.HasLease(c.now) {
			return node
		}
	}
	return nil
}

func (c *testCluster) commit(command string) {
	c.t.Helper()
	c.until("a leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	index, ok := leader.Propose([]byte(command))
	if !ok {
		c.t.Fatal("refused")
	}
	c.drain(leader.ID())
	c.until("settled "+command, func() bool { return leader.CommitIndex() >= index })
}

func (c *testCluster) hasApplied(id string, command string) bool {
	for _, applied := range c.applied[id] {
		if applied == command {
			return true
		}
	}
	return false
}

func TestLearnerReplacesWipedVoter(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		n := newTestCluster(t, seed, "a", "b", "c")
		n.commit("1")
		n.commit("2")
		l := n.leader()
		gone := "a"
		if l.ID() == "a" {
			gone = "b"
		}
		n.kill(gone)
		n.commit("3")
		n.start("d")
		l.AddLearner(Member{Node: "node-" + gone, ID: "d", Addr: "d"})
		n.until("caught up", func() bool { return l.CaughtUp("d") })
		var vs []Member
		for _, v := range l.Voters() {
			if v.ID != gone {
				vs = append(vs, v)
			}
		}
		l.ProposeConfChange(vs)
		n.until("removed", func() bool { return l.ConfIndex() <= l.CommitIndex() })
		if !l.ProposeConfChange(append(vs, Member{Node: "node-" + gone, ID: "d", Addr: "d"})) {
			t.Fatal("second change refused")
		}
		n.until("added", func() bool { return l.ConfIndex() <= l.CommitIndex() && n.nodes["d"].IsVoter("d") })
		n.commit("4")
		n.until("applied there", func() bool { return n.hasApplied("d", "4") && n.hasApplied("d", "1") })
	}
}

func TestKilledLeaderIsReplaced(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		n := newTestCluster(t, seed, "a", "b", "c")
		n.commit("1")
		old := n.leader().ID()
		n.kill(old)
		at := n.now
		n.commit("2")
		if d := n.now.Sub(at); d > 2500*time.Millisecond {
			t.Errorf("seed %d: %v without a leader", seed, d)
		}
		n.start(old)
		n.until("back", func() bool { return n.hasApplied(old, "2") })
	}
}

func TestLeaderBehindOneWayPartitionStepsDown(t *testing.T) {
	for seed := int64(0); seed < 20; seed++ {
		n := newTestCluster(t, seed, "a", "b", "c")
		n.commit("1")
		old := n.leader().ID()
		// Others hear the leader, it doesn't hear them.
		for _, x := range []string{"a", "b", "c"} {
			n.cut[x+">"+old] = true
		}
		n.until("another leads", func() bool { l := n.leader(); return l != nil && l.ID() != old })
		n.commit("2")
		for _, x := range []string{"a", "b", "c"} {
			n.cut[x+">"+old] = false
		}
		n.until("one leader", func() bool { return !n.nodes[old].IsLeader() && n.hasApplied(old, "2") })
	}
}

func TestFrozenLeaderHasNoLease(t *testing.T) {
	n := newTestCluster(t, 1, "a", "b", "c")
	n.commit("1")
	old := n.leader()
	frozen := n.nodes[old.ID()]
	delete(n.nodes, old.ID())
	n.until("another leads", func() bool { return n.leader() != nil })
	if frozen.HasLease(n.now) {
		t.Fatal("a thawed leader trusts its lease")
	}
	n.commit("2")
	n.nodes[old.ID()] = frozen
	n.until("it follows", func() bool { return !frozen.IsLeader() && n.hasApplied(old.ID(), "2") })
}

func TestLeaderWithStalledDiskStillCommits(t *testing.T) {
	n := newTestCluster(t, 3, "a", "b", "c")
	n.commit("1")
	n.stalled[n.leader().ID()] = true
	n.commit("2")
	n.commit("3")
}

func TestLeadershipTransfer(t *testing.T) {
	n := newTestCluster(t, 4, "a", "b", "c")
	n.commit("1")
	old := n.leader()
	if !old.TransferLeadership() {
		t.Fatal("nobody to hand over to")
	}
	at := n.now
	n.until("another leads", func() bool { l := n.leader(); return l != nil && l != old })
	if n.now.Sub(at) > 300*time.Millisecond {
		t.Errorf("handing over took %v", n.now.Sub(at))
	}
	n.commit("2")
}

func TestRestartOfAllMembers(t *testing.T) {
	n := newTestCluster(t, 5, "a", "b", "c", "d", "e")
	for i := range 9 {
		n.commit(fmt.Sprint(i))
	}
	for _, x := range n.names() {
		n.kill(x)
	}
	for _, x := range []string{"a", "b", "c", "d", "e"} {
		n.start(x)
	}
	n.commit("z")
	n.until("all have all", func() bool {
		for _, x := range n.names() {
			if !n.hasApplied(x, "z") || !n.hasApplied(x, "8") {
				return false
			}
		}
		return true
	})
}
