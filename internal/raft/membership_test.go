package raft

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// testMember returns a member whose fields all come from its ID.
func testMember(id string) Member { return Member{Node: "node-" + id, ID: id, Addr: id} }

// startLearner starts a member with an empty disk and waits until it has caught up.
func (c *testCluster) startLearner(id string) {
	c.t.Helper()
	c.start(id)
	c.until(id+" has caught up", func() bool {
		leader := c.leader()
		if leader == nil {
			return false
		}
		leader.AddLearner(testMember(id))
		return leader.CaughtUp(id)
	})
}

// votersWithReplacement returns the leader's voters with one replaced.
func votersWithReplacement(leader *Node, outgoing, incoming string) []Member {
	voters := slices.Clone(leader.Voters())
	for i, member := range voters {
		if member.ID == outgoing {
			voters[i] = testMember(incoming)
		}
	}
	return voters
}

// replace replaces a voter and waits for the end of the change.
func (c *testCluster) replace(outgoing, incoming string) {
	c.t.Helper()
	c.startLearner(incoming)
	leader := c.leader()
	if leader.ProposeConfChange(votersWithReplacement(leader, outgoing, incoming)) != nil {
		c.t.Fatal("change refused")
	}
	c.until(incoming+" votes for "+outgoing, func() bool { return c.isVoter(incoming) && !c.isVoter(outgoing) })
}

// isVoter reports whether a member votes by the leader's committed configuration.
func (c *testCluster) isVoter(id string) bool {
	leader := c.leader()
	return leader != nil && !leader.ConfChangePending() && leader.IsVoter(id)
}

// loseOneAndCommit kills a voter, the leader or another, and checks that the others
// go on with all that was committed.
func (c *testCluster) loseOneAndCommit(loseLeader bool, commands ...string) {
	c.t.Helper()
	c.until("a leader", func() bool { return c.leader() != nil })
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
		c.until("applied "+command, func() bool { return c.hasApplied(leader.ID(), command) })
	}
}

// forEachLoss runs a test on 20 clusters of three, half of which then lose their leader.
func forEachLoss(t *testing.T, run func(c *testCluster, loseLeader bool)) {
	t.Helper()
	for seed := int64(0); seed < 20; seed++ {
		run(newTestCluster(t, seed, "a", "b", "c"), seed%2 == 0)
	}
}

func TestVoterIsReplacedWhileAlive(t *testing.T) {
	forEachLoss(t, func(c *testCluster, loseLeader bool) {
		c.commit("1")
		old := c.others(c.leader())[0]
		c.replace(old, "d")
		c.commit("2")
		c.kill(old)
		c.loseOneAndCommit(loseLeader, "1", "2")
	})
}

func TestVoterIsReplacedAfterDiskLoss(t *testing.T) {
	forEachLoss(t, func(c *testCluster, loseLeader bool) {
		c.commit("1")
		old := c.others(c.leader())[0]
		c.kill(old)
		c.commit("2")
		c.replace(old, "d")
		c.loseOneAndCommit(loseLeader, "1", "2")
	})
}

func TestTwoVotersAreReplacedInSequence(t *testing.T) {
	forEachLoss(t, func(c *testCluster, loseLeader bool) {
		c.commit("1")
		for i, incoming := range []string{"d", "e"} {
			old := slices.DeleteFunc(c.others(c.leader()), func(id string) bool { return id > "c" })[0]
			c.kill(old)
			c.commit(fmt.Sprint(i + 2))
			c.replace(old, incoming)
		}
		c.loseOneAndCommit(loseLeader, "1", "2", "3")
	})
}

func TestRemovedLeaderTransfersLeadership(t *testing.T) {
	forEachLoss(t, func(c *testCluster, loseLeader bool) {
		c.commit("1")
		old := c.leader()
		c.startLearner("d")
		if old.ProposeConfChange(votersWithReplacement(old, old.ID(), "d")) != nil {
			t.Fatal("change refused")
		}
		c.until("it leads no more", func() bool { return !old.IsLeader() })
		steppedDownAt := c.now
		c.until("another leads", func() bool { leader := c.leader(); return leader != nil && leader != old && c.isVoter("d") })
		if c.now.Sub(steppedDownAt) > testConfig.ElectionTimeout {
			t.Errorf("%v without a leader: leadership was not transferred", c.now.Sub(steppedDownAt))
		}
		c.kill(old.ID())
		c.commit("2")
		c.loseOneAndCommit(loseLeader, "1", "2")
	})
}

// TestMemberLossDuringConfChange kills the leader, the outgoing voter or the incoming one
// after each number of steps into the change; the next leader then ends the change.
func TestMemberLossDuringConfChange(t *testing.T) {
	joint := 0
	for steps := range 4 {
		for lost := range 3 {
			c := newTestCluster(t, int64(steps*3+lost), "a", "b", "c")
			c.commit("1")
			leader := c.leader()
			outgoing := c.others(leader)[0]
			c.startLearner("d")
			// Slow disks, so that the change takes several steps.
			for _, id := range c.ids() {
				c.stalled[id] = true
			}
			if leader.ProposeConfChange(votersWithReplacement(leader, outgoing, "d")) != nil {
				t.Fatal("change refused")
			}
			c.drain(leader.ID())
			for i := range steps {
				for j, id := range c.ids() {
					c.stalled[id] = (i+j)%2 == 0
				}
				c.step()
			}
			c.stalled = map[string]bool{}
			for _, node := range c.nodes {
				if node.latestConfiguration().isJoint() {
					joint++
				}
			}
			lostID := []string{leader.ID(), outgoing, "d"}[lost]
			c.kill(lostID)
			c.commit("2")
			c.until("the change is over", func() bool { return c.leader() != nil && !c.leader().ConfChangePending() })
			for _, command := range []string{"1", "2"} {
				c.until("applied "+command, func() bool { return c.leader() != nil && c.hasApplied(c.leader().ID(), command) })
			}
			c.start(lostID)
			c.commit("3")
		}
	}
	if joint < 12 {
		t.Fatalf("only %d members had a joint configuration at the losses", joint)
	}
}

// TestRemovedMemberWithLongestLogCompletesConfChange: of two voters one leads and
// appends the entry that votes it out; then both are restarted. The other one holds the
// joint entry only, and can't be elected against the longer log.
func TestRemovedMemberWithLongestLogCompletesConfChange(t *testing.T) {
	c := newTestCluster(t, 1, "a", "b")
	c.commit("1")
	leader := c.leader()
	removed, remaining := leader.ID(), c.others(leader)[0]
	if err := leader.ProposeConfChange([]Member{testMember(remaining)}); err != nil {
		t.Fatal(err)
	}
	c.drain(removed)
	for _, message := range c.queue {
		c.nodes[remaining].Step(message, c.now)
	}
	c.queue = nil
	c.drain(remaining)
	c.cut[removed+">"+remaining] = true
	c.step()
	c.queue = nil
	for _, id := range []string{removed, remaining} {
		c.kill(id)
		c.start(id)
	}
	c.cut = map[string]bool{}
	if c.nodes[removed].latestConfiguration().isJoint() || !c.nodes[remaining].latestConfiguration().isJoint() {
		t.Fatal("the logs are not those of the case")
	}
	c.commit("2")
	if leader := c.leader(); leader.ID() != remaining {
		t.Fatalf("%s leads", leader.ID())
	}
	c.until("it no longer campaigns", func() bool { return !c.nodes[removed].promotable() })
}

// TestIncomingVotersAloneCommitNothing: in a change from abc to ade, ade alone may commit
// nothing while bc are cut off and go on.
func TestIncomingVotersAloneCommitNothing(t *testing.T) {
	c := newTestCluster(t, 1, "a", "b", "c")
	c.commit("1")
	leader := c.leader()
	others := c.others(leader)
	c.startLearner("d")
	c.startLearner("e")
	for _, id := range others {
		for _, peer := range []string{leader.ID(), "d", "e"} {
			c.cut[id+">"+peer], c.cut[peer+">"+id] = true, true
		}
	}
	before := leader.CommitIndex()
	if leader.ProposeConfChange([]Member{testMember(leader.ID()), testMember("d"), testMember("e")}) != nil {
		t.Fatal("change refused")
	}
	c.until("one of the others leads", func() bool { current := c.leader(); return current != nil && current != leader })
	c.commit("2")
	if leader.CommitIndex() > before {
		t.Fatal("committed without a majority of the outgoing voters")
	}
	c.cut = map[string]bool{}
	c.commit("3")
}

func TestLaggingLearnerIsNotCaughtUp(t *testing.T) {
	c := newTestCluster(t, 1, "a", "b", "c")
	c.commit("1")
	leader := c.leader()
	c.startLearner("d")
	c.cut[leader.ID()+">d"] = true
	for i := range 5 {
		c.commit(fmt.Sprint(i))
	}
	for range 25 {
		c.step()
	}
	if leader.CaughtUp("d") {
		t.Fatal("caught up, though it lacks entries of several rounds ago")
	}
	c.cut[leader.ID()+">d"] = false
	// Under constant load the newest entries are always under way.
	c.until("caught up under load", func() bool {
		mustPropose(t, leader, []byte("x"))
		c.step()
		mustPropose(t, leader, []byte("y"))
		c.drain(leader.ID())
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
		t.Fatal("a replaced voter does not know that it no longer is one")
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
		t.Fatalf("read back as %+v, %v", read, err)
	}
	if !slices.Equal(read.OutgoingVoters, written.OutgoingVoters) || !slices.Equal(read.Voters, written.Voters) {
		t.Fatalf("read back as %+v", read)
	}
	node := New("a", HardState{Term: 2}, read, nil, newTestCluster(t, 1).now, testConfig, 1)
	if node.Compact(7); !node.ConfChangePending() || !node.IsVoter("a") || !node.IsVoter("d") {
		t.Fatal("the outgoing voters are lost with the restart")
	}
	node = followerWith(1)
	node.receive(Message{Kind: MsgSnapshot, Term: 2, Snapshot: &written, SendStamp: 1})
	if _, outgoing := node.VoterSets(); !slices.Equal(outgoing, written.OutgoingVoters) {
		t.Fatal("the outgoing voters are lost with a received snapshot")
	}
}

// TestFirstEncodingsAreStillRead: a disk may hold snapshots and entries from before there
// were joint configurations.
func TestFirstEncodingsAreStillRead(t *testing.T) {
	type first struct {
		_     struct{} `cbor:",toarray"`
		Index uint64
		Term  uint64
		Conf  []Member
		Data  []byte
	}
	raw, _ := cbor.Marshal(first{Index: 3, Term: 1, Conf: []Member{testMember("a"), testMember("b")}, Data: []byte("s")})
	var snapshot Snapshot
	if err := cbor.Unmarshal(raw, &snapshot); err != nil || len(snapshot.Voters) != 2 || len(snapshot.OutgoingVoters) != 0 || snapshot.Index != 3 {
		t.Fatalf("snapshot read as %+v, %v", snapshot, err)
	}
	if again, _ := cbor.Marshal(snapshot); !slices.Equal(raw, again) {
		t.Fatal("a snapshot outside a change is written in another form")
	}
	raw, _ = cbor.Marshal(snapshot.Voters)
	if voters, outgoing, err := DecodeConfChange(raw); err != nil || !slices.Equal(voters, snapshot.Voters) || len(outgoing) > 0 {
		t.Fatalf("entry read as %v, %v, %v", voters, outgoing, err)
	}
}
