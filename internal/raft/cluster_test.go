package raft

import (
	"slices"
	"sort"
	"testing"
	"time"
)

// testCluster is a cluster of nodes with simulated disks and network, and a clock that the test controls.
type testCluster struct {
	t            *testing.T
	now          time.Time
	nodes        map[string]*Node
	queue        []Message
	cutLinks     map[string]bool // links without connection, as "from>to"
	dropped      map[MessageKind]bool
	disks        map[string]*testDisk
	stalledDisks map[string]bool     // members whose disk writes nothing
	unsynced     map[string][]Ready  // unwritten Readys of these members
	applied      map[string][]string // applied commands by member
	seed         int64
}

type testDisk struct {
	hardState HardState
	snapshot  Snapshot
	log       []Entry
}

var testConfig = Config{
	HeartbeatInterval:  100 * time.Millisecond,
	ElectionTimeout:    600 * time.Millisecond,
	ElectionJitter:     300 * time.Millisecond,
	CheckQuorumTimeout: 900 * time.Millisecond,
	LeaseFraction:      0.85,
	MaxInflightEntries: 64,
	MaxAppendBytes:     1 << 20,
}

func newTestCluster(t *testing.T, seed int64, ids ...string) *testCluster {
	t.Helper()
	c := &testCluster{
		t:            t,
		now:          time.Unix(1000, 0),
		nodes:        map[string]*Node{},
		cutLinks:     map[string]bool{},
		dropped:      map[MessageKind]bool{},
		disks:        map[string]*testDisk{},
		stalledDisks: map[string]bool{},
		unsynced:     map[string][]Ready{},
		applied:      map[string][]string{},
		seed:         seed,
	}
	var voters []Member
	for _, id := range ids {
		voters = append(voters, testMember(id))
	}
	for _, id := range ids {
		c.disks[id] = &testDisk{snapshot: Snapshot{Index: 1, Voters: voters}}
		c.start(id)
	}
	return c
}

// start starts a member from its disk, or from an empty disk if it has none.
func (c *testCluster) start(id string) {
	disk := c.disks[id]
	if disk == nil {
		disk = &testDisk{}
		c.disks[id] = disk
	}
	c.seed++
	c.applied[id] = nil
	for _, command := range disk.snapshot.Data {
		c.applied[id] = append(c.applied[id], string(rune(command)))
	}
	node := New(id, disk.hardState, disk.snapshot, append([]Entry(nil), disk.log...), c.now, testConfig, c.seed*7919+int64(id[0]))
	node.SetSnapshotSource(func() *Snapshot {
		index := node.AppliedIndex()
		term, _ := node.TermAt(index)
		var data []byte
		for _, command := range c.applied[id] {
			data = append(data, command[0])
		}
		return &Snapshot{Index: index, Term: term, Voters: node.VotersAt(index), OutgoingVoters: node.OutgoingVotersAt(index), Data: data}
	})
	c.nodes[id] = node
	c.unsynced[id] = nil
}

// kill stops a member, which loses its unwritten Readys.
func (c *testCluster) kill(id string) {
	delete(c.nodes, id)
	c.unsynced[id] = nil
}

// write writes a Ready to a member's disk and sends the messages that depend on the write.
func (c *testCluster) write(id string, ready Ready) {
	disk := c.disks[id]
	if ready.HardState != nil {
		disk.hardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		disk.snapshot, disk.log = *ready.Snapshot, nil
	}
	for _, entry := range ready.Entries {
		keep := disk.log[:0:0]
		for _, old := range disk.log {
			if old.Index < entry.Index {
				keep = append(keep, old)
			}
		}
		keep = append(keep, entry)
		disk.log = keep
	}
	if ready.MustSync() {
		c.nodes[id].WriteSynced(ready.WriteToken)
	}
	c.queue = append(c.queue, ready.MessagesAfterSync...)
}

// processReady processes the Readys of a member and applies its committed entries.
func (c *testCluster) processReady(id string) {
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
				for _, command := range ready.Snapshot.Data {
					c.applied[id] = append(c.applied[id], string(rune(command)))
				}
			}
			if c.stalledDisks[id] {
				c.unsynced[id] = append(c.unsynced[id], ready)
			} else {
				for _, earlier := range c.unsynced[id] {
					c.write(id, earlier)
				}
				c.unsynced[id] = nil
				c.write(id, ready)
			}
		}
		for _, entry := range node.NextCommittedEntries() {
			if entry.Kind == EntryNormal {
				c.applied[id] = append(c.applied[id], string(entry.Data))
			}
		}
		if ready.IsEmpty() {
			return
		}
	}
}

// ids returns the sorted IDs of the running members.
func (c *testCluster) ids() []string {
	var ids []string
	for id := range c.nodes {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// step advances the clock by a tenth of a heartbeat interval and delivers all messages.
func (c *testCluster) step() {
	c.now = c.now.Add(10 * time.Millisecond)
	for _, id := range c.ids() {
		c.nodes[id].Tick(c.now)
		c.processReady(id)
	}
	for i := 0; len(c.queue) > 0; i++ {
		if i > 10000 {
			c.t.Fatal("more than 10000 messages in one step")
		}
		m := c.queue[0]
		c.queue = c.queue[1:]
		if node := c.nodes[m.To]; node != nil && !c.cutLinks[m.From+">"+m.To] && !c.dropped[m.Kind] {
			node.Step(m, c.now)
			c.processReady(m.To)
		}
	}
	c.checkAgreement()
}

// checkAgreement fails if two members applied different commands at the same position.
func (c *testCluster) checkAgreement() {
	var longest []string
	for _, commands := range c.applied {
		if len(commands) > len(longest) {
			longest = commands
		}
	}
	for id, commands := range c.applied {
		for i := range commands {
			if commands[i] != longest[i] {
				c.t.Fatalf("%s applied %q at position %d, another member applied %q", id, commands[i], i, longest[i])
			}
		}
	}
}

// waitUntil runs steps until a condition holds, for at most 10 s of simulated time.
func (c *testCluster) waitUntil(condition string, holds func() bool) {
	c.t.Helper()
	for i := 0; i < 1000; i++ {
		if holds() {
			return
		}
		c.step()
	}
	c.t.Fatalf("condition not met within 10 s: %s", condition)
}

// leader returns the leader that may serve reads, or nil.
func (c *testCluster) leader() *Node {
	for _, id := range c.ids() {
		if node := c.nodes[id]; node.LeaderReady() && node.HasLease(c.now) {
			return node
		}
	}
	return nil
}

// commit proposes a command to the leader and waits until it is committed.
func (c *testCluster) commit(command string) {
	c.t.Helper()
	c.waitUntil("a leader is elected", func() bool { return c.leader() != nil })
	leader := c.leader()
	index, err := leader.Propose([]byte(command))
	if err != nil {
		c.t.Fatal(err)
	}
	c.processReady(leader.ID())
	c.waitUntil("committed: "+command, func() bool { return leader.CommitIndex() >= index })
}

func (c *testCluster) hasApplied(id, command string) bool {
	return slices.Contains(c.applied[id], command)
}

// mustPropose proposes a command to a leader.
func mustPropose(t *testing.T, leader *Node, command []byte) {
	t.Helper()
	if _, err := leader.Propose(command); err != nil {
		t.Fatal(err)
	}
}
