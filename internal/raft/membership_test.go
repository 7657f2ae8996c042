package raft

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// testMember returns a member whose fields are derived from its ID.
func testMember(id string) Member { return Member{Node: "node-" + id, ID: id, Addr: id} }

// startLearner starts a learner with an empty disk and waits until it has caught up.
func (c *testCluster) startLearner(id string) {
	c.t.Helper()
	c.start(id)
	c.waitUntil(id+" has caught up", func() bool {
		leader := c.leader()
		if leader == nil {
			return false
		}
		leader.AddLearner(testMember(id))
		return leader.CaughtUp(id)
	})
}

// votersWithReplacement returns the leader's voters with outgoing replaced by incoming.
func votersWithReplacement(leader *Node, outgoing, incoming string) []Member {
	voters := slices.Clone(leader.Voters())
	for i, member := range voters {
		if member.ID == outgoing {
			voters[i] = testMember(incoming)
		}
	}
	return voters
}

// replace replaces a voter and waits until the change is completed.
func (c *testCluster) replace(outgoing, incoming string) {
	c.t.Helper()
	c.startLearner(incoming)
	leader := c.leader()
	if leader.ProposeConfChange(votersWithReplacement(leader, outgoing, incoming)) != nil {
		c.t.Fatal("configuration change not accepted")
	}
	c.waitUntil(incoming+" replaces "+outgoing, func() bool { return c.isVoter(incoming) && !c.isVoter(outgoing) })
}

// isVoter reports whether a member is a voter in the leader's committed configuration.
func (c *testCluster) isVoter(id string) bool {
	leader := c.leader()
	return leader != nil && !leader.ConfChangePending() && leader.IsVoter(id)
}

// killVoterAndCommit kills a voter, the leader or another one, and checks that the
// remaining voters commit a new command and have applied the given ones.
func (c *testCluster) killVoterAndCommit(loseLeader bool, commands ...string) {
	c.t.Helper()
	c.waitUntil("a leader is elected", func() bool { return c.leader() != nil })
	leader := c.leader()
	lost := leader.ID()
	if !loseLeader {
		for _, member := range leader.Voters() {
			if member.ID != leader.ID() && c.nodes[member.ID] != nil {
				lost = member.ID
			}
		}
	}
	c.kill(lost)
	c.commit("z")
	leader = c.leader()
	for _, command := range append(commands, "z") {
		c.waitUntil("applied: "+command, func() bool { return c.hasApplied(leader.ID(), command) })
	}
}

// forEachSeedWithLostVoter runs a test on 20 clusters of three members. In half of them, loseLeader
// tells the test to kill the leader.
func forEachSeedWithLostVoter(t *testing.T, run func(c *testCluster, loseLeader bool)) {
	t.Helper()
	for seed := int64(0); seed < 20; seed++ {
		run(newTestCluster(t, seed, "a", "b", "c"), seed%2 == 0)
	}
}

func TestVoterIsReplacedWhileAlive(t *testing.T) {
	forEachSeedWithLostVoter(t, func(c *testCluster, loseLeader bool) {
		c.commit("1")
		old := c.others(c.leader())[0]
		c.replace(old, "d")
		c.commit("2")
		c.kill(old)
		c.killVoterAndCommit(loseLeader, "1", "2")
	})
}

func TestVoterIsReplacedAfterDiskLoss(t *testing.T) {
	forEachSeedWithLostVoter(t, func(c *testCluster, loseLeader bool) {
		c.commit("1")
		old := c.others(c.leader())[0]
		c.kill(old)
		c.commit("2")
		c.replace(old, "d")
		c.killVoterAndCommit(loseLeader, "1", "2")
	})
}

func TestTwoVotersAreReplacedInSequence(t *testing.T) {
	forEachSeedWithLostVoter(t, func(c *testCluster, loseLeader bool) {
		c.commit("1")
		for i, incoming := range []string{"d", "e"} {
			old := slices.DeleteFunc(c.others(c.leader()), func(id string) bool { return id > "c" })[0]
			c.kill(old)
			c.commit(fmt.Sprint(i + 2))
			c.replace(old, incoming)
		}
		c.killVoterAndCommit(loseLeader, "1", "2", "3")
	})
}

func TestRemovedLeaderTransfersLeadership(t *testing.T) {
	forEachSeedWithLostVoter(t, func(c *testCluster, loseLeader bool) {
		c.commit("1")
		old := c.leader()
		c.startLearner("d")
		if old.ProposeConfChange(votersWithReplacement(old, old.ID(), "d")) != nil {
			t.Fatal("configuration change not accepted")
		}
		c.waitUntil("the old leader steps down", func() bool { return !old.IsLeader() })
		steppedDownAt := c.now
		c.waitUntil("another member leads", func() bool { leader := c.leader(); return leader != nil && leader != old && c.isVoter("d") })
		if c.now.Sub(steppedDownAt) > testConfig.ElectionTimeout {
			t.Errorf("%v without a leader: the leadership was not transferred", c.now.Sub(steppedDownAt))
		}
		c.kill(old.ID())
		c.commit("2")
		c.killVoterAndCommit(loseLeader, "1", "2")
	})
}

// TestMemberLossDuringConfChange kills the leader, the outgoing voter or the incoming voter
// after 0 to 3 steps of a change, and checks that the change is completed nevertheless.
func TestMemberLossDuringConfChange(t *testing.T) {
	joint := 0
	for steps := range 4 {
		for lost := range 3 {
			c := newTestCluster(t, int64(steps*3+lost), "a", "b", "c")
			c.commit("1")
			leader := c.leader()
			outgoing := c.others(leader)[0]
			c.startLearner("d")
			// Stalled disks make the change take several steps.
			for _, id := range c.ids() {
				c.stalledDisks[id] = true
			}
			if leader.ProposeConfChange(votersWithReplacement(leader, outgoing, "d")) != nil {
				t.Fatal("configuration change not accepted")
			}
			c.processReady(leader.ID())
			for i := range steps {
				for j, id := range c.ids() {
					c.stalledDisks[id] = (i+j)%2 == 0
				}
				c.step()
			}
			c.stalledDisks = map[string]bool{}
			for _, node := range c.nodes {
				if node.latestConfiguration().isJoint() {
					joint++
				}
			}
			lostID := []string{leader.ID(), outgoing, "d"}[lost]
			c.kill(lostID)
			c.commit("2")
			c.waitUntil("the change is completed", func() bool { return c.leader() != nil && !c.leader().ConfChangePending() })
			for _, command := range []string{"1", "2"} {
				c.waitUntil("applied: "+command, func() bool { return c.leader() != nil && c.hasApplied(c.leader().ID(), command) })
			}
			c.start(lostID)
			c.commit("3")
		}
	}
	if joint < 12 {
		t.Fatalf("only %d members had a joint configuration when a member was lost, want at least 12", joint)
	}
}

// TestRemovedMemberWithLongestLogCompletesConfChange guards against a change that never
// completes: the leader of two voters appends the entry that removes it, and both are
// restarted. The other voter holds only the joint entry, and the removed member with the
// longer log rejects its vote requests.
func TestRemovedMemberWithLongestLogCompletesConfChange(t *testing.T) {
	c := newTestCluster(t, 1, "a", "b")
	c.commit("1")
	leader := c.leader()
	removed, remaining := leader.ID(), c.others(leader)[0]
	if err := leader.ProposeConfChange([]Member{testMember(remaining)}); err != nil {
		t.Fatal(err)
	}
	c.processReady(removed)
	for _, message := range c.queue {
		c.nodes[remaining].Step(message, c.now)
	}
	c.queue = nil
	c.processReady(remaining)
	c.cutLinks[removed+">"+remaining] = true
	c.step()
	c.queue = nil
	for _, id := range []string{removed, remaining} {
		c.kill(id)
		c.start(id)
	}
	c.cutLinks = map[string]bool{}
	if c.nodes[removed].latestConfiguration().isJoint() || !c.nodes[remaining].latestConfiguration().isJoint() {
		t.Fatal("the removed member must hold the final configuration and the other one the joint configuration")
	}
	c.commit("2")
	if leader := c.leader(); leader.ID() != remaining {
		t.Fatalf("%s leads, which was removed", leader.ID())
	}
	c.waitUntil("the removed member can no longer campaign", func() bool { return !c.nodes[removed].promotable() })
}

// TestIncomingVotersAloneCannotCommit checks that in a change from abc to ade, ade can't commit
// while b and c are partitioned from them and elect a leader.
func TestIncomingVotersAloneCannotCommit(t *testing.T) {
	c := newTestCluster(t, 1, "a", "b", "c")
	c.commit("1")
	leader := c.leader()
	others := c.others(leader)
	c.startLearner("d")
	c.startLearner("e")
	for _, id := range others {
		for _, peer := range []string{leader.ID(), "d", "e"} {
			c.cutLinks[id+">"+peer], c.cutLinks[peer+">"+id] = true, true
		}
	}
	before := leader.CommitIndex()
	if leader.ProposeConfChange([]Member{testMember(leader.ID()), testMember("d"), testMember("e")}) != nil {
		t.Fatal("configuration change not accepted")
	}
	c.waitUntil("another member leads", func() bool { current := c.leader(); return current != nil && current != leader })
	c.commit("2")
	if leader.CommitIndex() > before {
		t.Fatal("committed without a majority of the outgoing voters")
	}
	c.cutLinks = map[string]bool{}
	c.commit("3")
}

func TestLaggingLearnerIsNotCaughtUp(t *testing.T) {
	c := newTestCluster(t, 1, "a", "b", "c")
	c.commit("1")
	leader := c.leader()
	c.startLearner("d")
	c.cutLinks[leader.ID()+">d"] = true
	for i := range 5 {
		c.commit(fmt.Sprint(i))
	}
	for range 25 {
		c.step()
	}
	if leader.CaughtUp("d") {
		t.Fatal("caught up, although it lacks entries of several earlier rounds")
	}
	c.cutLinks[leader.ID()+">d"] = false
	// Under constant load the newest entries are always in flight.
	c.waitUntil("the learner has caught up under load", func() bool {
		mustPropose(t, leader, []byte("x"))
		c.step()
		mustPropose(t, leader, []byte("y"))
		c.processReady(leader.ID())
		return leader.CaughtUp("d")
	})
}

func TestReplacedVoterDoesNotCampaign(t *testing.T) {
	c := newTestCluster(t, 3, "a", "b", "c")
	c.commit("1")
	old := c.others(c.leader())[0]
	c.replace(old, "d")
	term := c.leader().Term()
	for range 300 {
		c.step()
	}
	if c.nodes[old].IsVoter(old) || c.leader().Term() != term {
		t.Fatal("the replaced voter campaigns, or does not know that it was removed")
	}
}

func TestSnapshotDuringConfChangeHoldsBothVoterSets(t *testing.T) {
	written := Snapshot{Index: 7, Term: 2, Voters: []Member{testMember("d")}, OutgoingVoters: []Member{testMember("a")}, Data: []byte("s")}
	raw, err := cbor.Marshal(written)
	if err != nil {
		t.Fatal(err)
	}
	var read Snapshot
	if err := cbor.Unmarshal(raw, &read); err != nil || string(read.Data) != "s" {
		t.Fatalf("decoded as %+v, %v", read, err)
	}
	if !slices.Equal(read.OutgoingVoters, written.OutgoingVoters) || !slices.Equal(read.Voters, written.Voters) {
		t.Fatalf("decoded as %+v", read)
	}
	node := New("a", HardState{Term: 2}, read, nil, newTestCluster(t, 1).now, testConfig, 1)
	if node.Compact(7); !node.ConfChangePending() || !node.IsVoter("a") || !node.IsVoter("d") {
		t.Fatal("a restart from the snapshot loses the outgoing voters")
	}
	node = newFollower(1)
	node.receive(Message{Kind: MsgSnapshot, Term: 2, Snapshot: &written, SendStamp: 1})
	if _, outgoing := node.VoterSets(); !slices.Equal(outgoing, written.OutgoingVoters) {
		t.Fatal("a received snapshot loses the outgoing voters")
	}
}

// TestEncodingsBeforeJointConsensusAreDecoded covers snapshots and configuration entries on disks
// that were written before joint configurations existed.
func TestEncodingsBeforeJointConsensusAreDecoded(t *testing.T) {
	type originalSnapshot struct {
		_     struct{} `cbor:",toarray"`
		Index uint64
		Term  uint64
		Conf  []Member
		Data  []byte
	}
	raw, _ := cbor.Marshal(originalSnapshot{Index: 3, Term: 1, Conf: []Member{testMember("a"), testMember("b")}, Data: []byte("s")})
	var snapshot Snapshot
	if err := cbor.Unmarshal(raw, &snapshot); err != nil || len(snapshot.Voters) != 2 || len(snapshot.OutgoingVoters) != 0 || snapshot.Index != 3 {
		t.Fatalf("snapshot decoded as %+v, %v", snapshot, err)
	}
	if again, _ := cbor.Marshal(snapshot); !slices.Equal(raw, again) {
		t.Fatal("the encoding of a snapshot outside a change differs from the original one")
	}
	raw, _ = cbor.Marshal(snapshot.Voters)
	if voters, outgoing, err := DecodeConfChange(raw); err != nil || !slices.Equal(voters, snapshot.Voters) || len(outgoing) > 0 {
		t.Fatalf("configuration entry decoded as %v, %v, %v", voters, outgoing, err)
	}
}
