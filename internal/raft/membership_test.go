package raft

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func testMember(id string) Member { return Member{Node: "node-" + id, ID: id, Addr: id} }

// startLearner starts a member with an empty disk and waits until it is caught up.
func (c *testCluster) startLearner(id string) {
	c.t.Helper()
	c.start(id)
	c.until(id+" is caught up", func() bool {
		leader := c.leader()
		if leader == nil {
			return false
		}
		leader.AddLearner(testMember(id))
		return leader.CaughtUp(id)
	})
}

// votersWithReplacement are the leader's voters with one in the place of another.
func votersWithReplacement(leader *Node, outgoing, incoming string) []Member {
	voters := slices.Clone(leader.Voters())
	for i, v := range voters {
		if v.ID == outgoing {
			voters[i] = testMember(incoming)
		}
	}
	return voters
}

// replace swaps one voter for another and waits for the end of the change.
func (c *testCluster) replace(outgoing, incoming string) {
	c.t.Helper()
	c.startLearner(incoming)
	leader := c.leader()
	if !leader.ProposeConfChange(votersWithReplacement(leader, outgoing, incoming)) {
		c.t.Fatal("change refused")
	}
	c.until(incoming+" votes for "+outgoing, func() bool { return c.isVoter(incoming) && !c.isVoter(outgoing) })
}

// isVoter tells whether the leader's settled configuration holds a disk.
func (c *testCluster) isVoter(id string) bool {
	leader := c.leader()
	return leader != nil && !leader.ConfChangePending() && leader.IsVoter(id)
}

// loseOneAndCommit kills a voter, the leader or another, and checks that the rest
// goes on with all that was committed.
func (c *testCluster) loseOneAndCommit(loseLeader bool, commands ...string) {
	c.t.Helper()
	c.until("a leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	lost := leader.ID()
	if !loseLeader {
		for _, v := range leader.Voters() {
			if v.ID != leader.ID() && c.nodes[v.ID] != nil {
				lost = v.ID
			}
		}
	}
	c.kill(lost)
	c.commit("z")
	leader = c.leader()
	for _, s := range append(commands, "z") {
		c.until("applied "+s, func() bool { return c.hasApplied(leader.ID(), s) })
	}
}

func forEachLoss(t *testing.T, run func(n *testCluster, leads bool)) {
	for seed := int64(0); seed < 20; seed++ {
		run(newTestCluster(t, seed, "a", "b", "c"), seed%2 == 0)
	}
}

func TestVoterIsReplacedWhileAlive(t *testing.T) {
	forEachLoss(t, func(n *testCluster, leads bool) {
		n.commit("1")
		old := n.others(n.leader())[0]
		n.replace(old, "d")
		n.commit("2")
		n.kill(old)
		n.loseOneAndCommit(leads, "1", "2")
	})
}

func TestVoterIsReplacedAfterDiskLoss(t *testing.T) {
	forEachLoss(t, func(n *testCluster, leads bool) {
		n.commit("1")
		old := n.others(n.leader())[0]
		n.kill(old)
		n.commit("2")
		n.replace(old, "d")
		n.loseOneAndCommit(leads, "1", "2")
	})
}

func TestTwoVotersAreReplacedInSequence(t *testing.T) {
	forEachLoss(t, func(n *testCluster, leads bool) {
		n.commit("1")
		for i, in := range []string{"d", "e"} {
			old := slices.DeleteFunc(n.others(n.leader()), func(x string) bool { return x > "c" })[0]
			n.kill(old)
			n.commit(fmt.Sprint(i + 2))
			n.replace(old, in)
		}
		n.loseOneAndCommit(leads, "1", "2", "3")
	})
}

func TestRemovedLeaderTransfersLeadership(t *testing.T) {
	forEachLoss(t, func(n *testCluster, leads bool) {
		n.commit("1")
		old := n.leader()
		n.startLearner("d")
		if !old.ProposeConfChange(votersWithReplacement(old, old.ID(), "d")) {
			t.Fatal("change refused")
		}
		n.until("it leads no more", func() bool { return !old.IsLeader() })
		at := n.now
		n.until("another leads", func() bool { l := n.leader(); return l != nil && l != old && n.isVoter("d") })
		if n.now.Sub(at) > testConfig.ElectionTimeout {
			t.Errorf("%v without a leader: the lead was not handed over", n.now.Sub(at))
		}
		n.kill(old.ID())
		n.commit("2")
		n.loseOneAndCommit(leads, "1", "2")
	})
}

// TestMemberLossDuringConfChange kills the leader, the old voter or the new one after each
// number of steps into the change; whoever leads then ends the change.
func TestMemberLossDuringConfChange(t *testing.T) {
	joint := 0
	for steps := range 4 {
		for lost := range 3 {
			n := newTestCluster(t, int64(steps*3+lost), "a", "b", "c")
			n.commit("1")
			l := n.leader()
			old := n.others(l)[0]
			n.startLearner("d")
			// Slow disks, so that the change takes several steps.
			for _, x := range n.names() {
				n.stalled[x] = true
			}
			if !l.ProposeConfChange(votersWithReplacement(l, old, "d")) {
				t.Fatal("change refused")
			}
			n.drain(l.ID())
			for i := range steps {
				for j, x := range n.names() {
					n.stalled[x] = (i+j)%2 == 0
				}
				n.step()
			}
			n.stalled = map[string]bool{}
			for _, nd := range n.nodes {
				if nd.latestConfiguration().isJoint() {
					joint++
				}
			}
			gone := []string{l.ID(), old, "d"}[lost]
			n.kill(gone)
			n.commit("2")
			n.until("the change is over", func() bool { return n.leader() != nil && !n.leader().ConfChangePending() })
			for _, s := range []string{"1", "2"} {
				n.until("applied "+s, func() bool { return n.leader() != nil && n.hasApplied(n.leader().ID(), s) })
			}
			n.start(gone)
			n.commit("3")
		}
	}
	if joint < 12 {
		t.Fatalf("only %d members were in mid-change at the losses", joint)
	}
}

// TestRemovedMemberWithLongestLogCompletesConfChange: of two voters one leads and
// appends the entry that votes it out; then both start anew. The other holds the
// joint entry alone, and can't be elected against the longer log.
func TestRemovedMemberWithLongestLogCompletesConfChange(t *testing.T) {
	n := newTestCluster(t, 1, "a", "b")
	n.commit("1")
	l := n.leader()
	out, stays := l.ID(), n.others(l)[0]
	l.ProposeConfChange([]Member{testMember(stays)})
	n.drain(out)
	for _, m := range n.queue {
		n.nodes[stays].Step(m, n.now)
	}
	n.queue = nil
	n.drain(stays)
	n.cut[out+">"+stays] = true
	n.step()
	n.queue = nil
	for _, x := range []string{out, stays} {
		n.kill(x)
		n.start(x)
	}
	n.cut = map[string]bool{}
	if n.nodes[out].latestConfiguration().isJoint() || !n.nodes[stays].latestConfiguration().isJoint() {
		t.Fatal("not the case that is meant")
	}
	n.commit("2")
	if l := n.leader(); l.ID() != stays {
		t.Fatalf("%s leads", l.ID())
	}
	n.until("it rests", func() bool { return !n.nodes[out].promotable() })
}

// TestIncomingVotersAloneCommitNothing: of a change from abc to ade nothing may be
// settled by ade alone, while bc are cut off and go on.
func TestIncomingVotersAloneCommitNothing(t *testing.T) {
	n := newTestCluster(t, 1, "a", "b", "c")
	n.commit("1")
	l := n.leader()
	bc := n.others(l)
	n.startLearner("d")
	n.startLearner("e")
	for _, x := range bc {
		for _, y := range []string{l.ID(), "d", "e"} {
			n.cut[x+">"+y], n.cut[y+">"+x] = true, true
		}
	}
	before := l.CommitIndex()
	if !l.ProposeConfChange([]Member{testMember(l.ID()), testMember("d"), testMember("e")}) {
		t.Fatal("change refused")
	}
	n.until("the others lead", func() bool { x := n.leader(); return x != nil && x != l })
	n.commit("2")
	if l.CommitIndex() > before {
		t.Fatal("settled without a majority of the old voters")
	}
	n.cut = map[string]bool{}
	n.commit("3")
}

func TestJointQuorumNeedsBothMajorities(t *testing.T) {
	c := configuration{voters: []Member{testMember("a"), testMember("d"), testMember("e")}, outgoing: []Member{testMember("a"), testMember("b"), testMember("c")}}
	for _, x := range []struct {
		have string
		want bool
	}{{"ad", false}, {"ab", false}, {"bcd", false}, {"abd", true}, {"bcde", true}, {"ade", false}, {"abcde", true}} {
		has := func(disk string) bool { return slices.Contains([]byte(x.have), disk[0]) }
		if c.hasQuorum(has) != x.want {
			t.Errorf("%s: majority %v", x.have, !x.want)
		}
		if reached := c.quorumValue(func(disk string) uint64 {
			if has(disk) {
				return 7
			}
			return 0
		}); (reached == 7) != x.want {
			t.Errorf("%s: reached %d", x.have, reached)
		}
	}
}

func TestLaggingLearnerIsNotCaughtUp(t *testing.T) {
	n := newTestCluster(t, 1, "a", "b", "c")
	n.commit("1")
	l := n.leader()
	n.startLearner("d")
	n.cut[l.ID()+">d"] = true
	for i := range 5 {
		n.commit(fmt.Sprint(i))
	}
	for range 25 {
		n.step()
	}
	if l.CaughtUp("d") {
		t.Fatal("caught up, though it lacks entries of several rounds ago")
	}
	n.cut[l.ID()+">d"] = false
	// Under constant load the newest entries are always under way.
	n.until("caught up under load", func() bool {
		l.Propose([]byte("x"))
		n.step()
		l.Propose([]byte("y"))
		n.drain(l.ID())
		return l.CaughtUp("d")
	})
}

func TestReplacedVoterDoesNotCampaign(t *testing.T) {
	n := newTestCluster(t, 3, "a", "b", "c")
	n.commit("1")
	old := n.others(n.leader())[0]
	n.replace(old, "d")
	term := n.leader().Term()
	for range 300 {
		n.step()
	}
	if n.nodes[old].IsVoter(old) || n.leader().Term() != term {
		t.Fatal("a replaced voter does not know that it is one no more")
	}
}

func TestSnapshotDuringConfChangeHoldsBothVoterSets(t *testing.T) {
	both := Snapshot{Index: 7, Term: 2, Voters: []Member{testMember("d")}, OutgoingVoters: []Member{testMember("a")}, Data: []byte("s")}
	raw, err := cbor.Marshal(both)
	if err != nil {
		t.Fatal(err)
	}
	var back Snapshot
	if err := cbor.Unmarshal(raw, &back); err != nil || !slices.Equal(back.OutgoingVoters, both.OutgoingVoters) || !slices.Equal(back.Voters, both.Voters) || string(back.Data) != "s" {
		t.Fatalf("read back as %+v, %v", back, err)
	}
	n := New("a", HardState{Term: 2}, back, nil, newTestCluster(t, 1).now, testConfig, 1)
	if n.Compact(7); !n.ConfChangePending() || !n.IsVoter("a") || !n.IsVoter("d") {
		t.Fatal("the old voters are lost with the restart")
	}
	n = followerWith(1)
	n.receive(Message{Kind: MsgSnapshot, Term: 2, Snapshot: &both, SendStamp: 1})
	if _, old := n.VoterSets(); !slices.Equal(old, both.OutgoingVoters) {
		t.Fatal("the old voters are lost with a received snapshot")
	}
}

// TestFirstEncodingsAreStillRead: what a disk holds from before there were joint
// configurations.
func TestFirstEncodingsAreStillRead(t *testing.T) {
	type first struct {
		_     struct{} `cbor:",toarray"`
		Index uint64
		Term  uint64
		Conf  []Member
		Data  []byte
	}
	raw, _ := cbor.Marshal(first{Index: 3, Term: 1, Conf: []Member{testMember("a"), testMember("b")}, Data: []byte("s")})
	var p Snapshot
	if err := cbor.Unmarshal(raw, &p); err != nil || len(p.Voters) != 2 || len(p.OutgoingVoters) != 0 || p.Index != 3 {
		t.Fatalf("snapshot read as %+v, %v", p, err)
	}
	if again, _ := cbor.Marshal(p); !slices.Equal(raw, again) {
		t.Fatal("a snapshot outside a change is written in another form")
	}
	raw, _ = cbor.Marshal(p.Voters)
	if voters, old, err := DecodeConfChange(raw); err != nil || !slices.Equal(voters, p.Voters) || len(old) > 0 {
		t.Fatalf("entry read as %v, %v, %v", voters, old, err)
	}
}
