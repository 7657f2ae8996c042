package raft

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func testVoter(x string) Voter { return Voter{Node: "node-" + x, Disk: x, Addr: x} }

// candidate starts a member with an empty disk and waits until it is caught up.
func (n *testNet) candidate(x string) {
	n.t.Helper()
	n.start(x)
	n.until(x+" is caught up", func() bool {
		l := n.lead()
		if l == nil {
			return false
		}
		l.Learn(testVoter(x))
		return l.Caught(x)
	})
}

// replaced are the leader's voters with one in the place of another.
func replaced(l *Node, out, in string) []Voter {
	voters := slices.Clone(l.Voters())
	for i, v := range voters {
		if v.Disk == out {
			voters[i] = testVoter(in)
		}
	}
	return voters
}

// replace swaps one voter for another and waits for the end of the change.
func (n *testNet) replace(out, in string) {
	n.t.Helper()
	n.candidate(in)
	l := n.lead()
	if !l.ProposeConf(replaced(l, out, in)) {
		n.t.Fatal("change refused")
	}
	n.until(in+" votes for "+out, func() bool { return n.votes(in) && !n.votes(out) })
}

// votes tells whether the leader's settled configuration holds a disk.
func (n *testNet) votes(x string) bool {
	l := n.lead()
	return l != nil && !l.Changing() && l.Voter(x)
}

// secondLoss kills a voter, the leader or another, and checks that the rest
// goes on with all that was committed.
func (n *testNet) secondLoss(leads bool, have ...string) {
	n.t.Helper()
	n.until("a leader", func() bool { return n.lead() != nil })
	l := n.lead()
	gone := l.Me()
	if !leads {
		for _, v := range l.Voters() {
			if v.Disk != l.Me() && n.nodes[v.Disk] != nil {
				gone = v.Disk
			}
		}
	}
	n.kill(gone)
	n.put("z")
	l = n.lead()
	for _, s := range append(have, "z") {
		n.until("applied "+s, func() bool { return n.has(l.Me(), s) })
	}
}

func eachLoss(t *testing.T, run func(n *testNet, leads bool)) {
	for seed := int64(0); seed < 20; seed++ {
		run(newNet(t, seed, "a", "b", "c"), seed%2 == 0)
	}
}

func TestReplacedWhileTheOldOneLives(t *testing.T) {
	eachLoss(t, func(n *testNet, leads bool) {
		n.put("1")
		old := n.others(n.lead())[0]
		n.replace(old, "d")
		n.put("2")
		n.kill(old)
		n.secondLoss(leads, "1", "2")
	})
}

func TestReplacedAfterAWipedDisk(t *testing.T) {
	eachLoss(t, func(n *testNet, leads bool) {
		n.put("1")
		old := n.others(n.lead())[0]
		n.kill(old)
		n.put("2")
		n.replace(old, "d")
		n.secondLoss(leads, "1", "2")
	})
}

func TestTwoReplacedOneAfterAnother(t *testing.T) {
	eachLoss(t, func(n *testNet, leads bool) {
		n.put("1")
		for i, in := range []string{"d", "e"} {
			old := slices.DeleteFunc(n.others(n.lead()), func(x string) bool { return x > "c" })[0]
			n.kill(old)
			n.put(fmt.Sprint(i + 2))
			n.replace(old, in)
		}
		n.secondLoss(leads, "1", "2", "3")
	})
}

func TestLeaverIsTheLeader(t *testing.T) {
	eachLoss(t, func(n *testNet, leads bool) {
		n.put("1")
		old := n.lead()
		n.candidate("d")
		if !old.ProposeConf(replaced(old, old.Me(), "d")) {
			t.Fatal("change refused")
		}
		n.until("it leads no more", func() bool { return !old.Leads() })
		at := n.now
		n.until("another leads", func() bool { l := n.lead(); return l != nil && l != old && n.votes("d") })
		if n.now.Sub(at) > testTiming.Elect {
			t.Errorf("%v without a leader: the lead was not handed over", n.now.Sub(at))
		}
		n.kill(old.Me())
		n.put("2")
		n.secondLoss(leads, "1", "2")
	})
}

// TestLossInMidChange kills the leader, the old voter or the new one after each
// number of steps into the change; whoever leads then ends the change.
func TestLossInMidChange(t *testing.T) {
	joint := 0
	for steps := range 4 {
		for lost := range 3 {
			n := newNet(t, int64(steps*3+lost), "a", "b", "c")
			n.put("1")
			l := n.lead()
			old := n.others(l)[0]
			n.candidate("d")
			// Slow disks, so that the change takes several steps.
			for _, x := range n.names() {
				n.stall[x] = true
			}
			if !l.ProposeConf(replaced(l, old, "d")) {
				t.Fatal("change refused")
			}
			n.pump(l.Me())
			for i := range steps {
				for j, x := range n.names() {
					n.stall[x] = (i+j)%2 == 0
				}
				n.step()
			}
			n.stall = map[string]bool{}
			for _, nd := range n.nodes {
				if nd.current().joint() {
					joint++
				}
			}
			gone := []string{l.Me(), old, "d"}[lost]
			n.kill(gone)
			n.put("2")
			n.until("the change is over", func() bool { return n.lead() != nil && !n.lead().Changing() })
			for _, s := range []string{"1", "2"} {
				n.until("applied "+s, func() bool { return n.lead() != nil && n.has(n.lead().Me(), s) })
			}
			n.start(gone)
			n.put("3")
		}
	}
	if joint < 12 {
		t.Fatalf("only %d members were in mid-change at the losses", joint)
	}
}

// TestVotedOutMemberWithTheLongestLogEndsTheChange: of two voters one leads and
// appends the entry that votes it out; then both start anew. The other holds the
// joint entry alone, and can't be elected against the longer log.
func TestVotedOutMemberWithTheLongestLogEndsTheChange(t *testing.T) {
	n := newNet(t, 1, "a", "b")
	n.put("1")
	l := n.lead()
	out, stays := l.Me(), n.others(l)[0]
	l.ProposeConf([]Voter{testVoter(stays)})
	n.pump(out)
	for _, m := range n.queue {
		n.nodes[stays].Step(m, n.now)
	}
	n.queue = nil
	n.pump(stays)
	n.cut[out+">"+stays] = true
	n.step()
	n.queue = nil
	for _, x := range []string{out, stays} {
		n.kill(x)
		n.start(x)
	}
	n.cut = map[string]bool{}
	if n.nodes[out].current().joint() || !n.nodes[stays].current().joint() {
		t.Fatal("not the case that is meant")
	}
	n.put("2")
	if l := n.lead(); l.Me() != stays {
		t.Fatalf("%s leads", l.Me())
	}
	n.until("it rests", func() bool { return !n.nodes[out].mayLead() })
}

// TestNewVotersAloneSettleNothing: of a change from abc to ade nothing may be
// settled by ade alone, while bc are cut off and go on.
func TestNewVotersAloneSettleNothing(t *testing.T) {
	n := newNet(t, 1, "a", "b", "c")
	n.put("1")
	l := n.lead()
	bc := n.others(l)
	n.candidate("d")
	n.candidate("e")
	for _, x := range bc {
		for _, y := range []string{l.Me(), "d", "e"} {
			n.cut[x+">"+y], n.cut[y+">"+x] = true, true
		}
	}
	before := l.Commit()
	if !l.ProposeConf([]Voter{testVoter(l.Me()), testVoter("d"), testVoter("e")}) {
		t.Fatal("change refused")
	}
	n.until("the others lead", func() bool { x := n.lead(); return x != nil && x != l })
	n.put("2")
	if l.Commit() > before {
		t.Fatal("settled without a majority of the old voters")
	}
	n.cut = map[string]bool{}
	n.put("3")
}

func TestBothMajoritiesCount(t *testing.T) {
	c := configuration{voters: []Voter{testVoter("a"), testVoter("d"), testVoter("e")}, old: []Voter{testVoter("a"), testVoter("b"), testVoter("c")}}
	for _, x := range []struct {
		have string
		want bool
	}{{"ad", false}, {"ab", false}, {"bcd", false}, {"abd", true}, {"bcde", true}, {"ade", false}, {"abcde", true}} {
		has := func(disk string) bool { return slices.Contains([]byte(x.have), disk[0]) }
		if c.majorities(has) != x.want {
			t.Errorf("%s: majority %v", x.have, !x.want)
		}
		if reached := c.reached(func(disk string) uint64 {
			if has(disk) {
				return 7
			}
			return 0
		}); (reached == 7) != x.want {
			t.Errorf("%s: reached %d", x.have, reached)
		}
	}
}

func TestFewEntriesShortIsNotCaughtUp(t *testing.T) {
	n := newNet(t, 1, "a", "b", "c")
	n.put("1")
	l := n.lead()
	n.candidate("d")
	n.cut[l.Me()+">d"] = true
	for i := range 5 {
		n.put(fmt.Sprint(i))
	}
	for range 25 {
		n.step()
	}
	if l.Caught("d") {
		t.Fatal("caught up, though it lacks entries of several rounds ago")
	}
	n.cut[l.Me()+">d"] = false
	// Under constant load the newest entries are always under way.
	n.until("caught up under load", func() bool {
		l.Propose([]byte("x"))
		n.step()
		l.Propose([]byte("y"))
		n.pump(l.Me())
		return l.Caught("d")
	})
}

func TestReplacedVoterIsQuiet(t *testing.T) {
	n := newNet(t, 3, "a", "b", "c")
	n.put("1")
	old := n.others(n.lead())[0]
	n.replace(old, "d")
	term := n.lead().Term()
	for range 300 {
		n.step()
	}
	if n.nodes[old].Voter(old) || n.lead().Term() != term {
		t.Fatal("a replaced voter does not know that it is one no more")
	}
}

func TestSnapshotInMidChangeHoldsBothSets(t *testing.T) {
	both := Point{Index: 7, Term: 2, Conf: []Voter{testVoter("d")}, Old: []Voter{testVoter("a")}, Data: []byte("s")}
	raw, err := cbor.Marshal(both)
	if err != nil {
		t.Fatal(err)
	}
	var back Point
	if err := cbor.Unmarshal(raw, &back); err != nil || !slices.Equal(back.Old, both.Old) || !slices.Equal(back.Conf, both.Conf) || string(back.Data) != "s" {
		t.Fatalf("read back as %+v, %v", back, err)
	}
	n := New("a", Hard{Term: 2}, back, nil, newNet(t, 1).now, testTiming, 1)
	if n.Drop(7); !n.Changing() || !n.Voter("a") || !n.Voter("d") {
		t.Fatal("the old voters are lost with the restart")
	}
	n = followerWith(1)
	n.give(Msg{Kind: MsgPoint, Term: 2, Point: &both, Sent: 1})
	if _, old := n.VoterSets(); !slices.Equal(old, both.Old) {
		t.Fatal("the old voters are lost with a received snapshot")
	}
}

// TestFirstFormsAreStillRead: what a disk holds from before there were joint
// configurations.
func TestFirstFormsAreStillRead(t *testing.T) {
	type first struct {
		_     struct{} `cbor:",toarray"`
		Index uint64
		Term  uint64
		Conf  []Voter
		Data  []byte
	}
	raw, _ := cbor.Marshal(first{Index: 3, Term: 1, Conf: []Voter{testVoter("a"), testVoter("b")}, Data: []byte("s")})
	var p Point
	if err := cbor.Unmarshal(raw, &p); err != nil || len(p.Conf) != 2 || len(p.Old) != 0 || p.Index != 3 {
		t.Fatalf("snapshot read as %+v, %v", p, err)
	}
	if again, _ := cbor.Marshal(p); !slices.Equal(raw, again) {
		t.Fatal("a snapshot outside a change is written in another form")
	}
	raw, _ = cbor.Marshal(p.Conf)
	if voters, old, err := DecodeConf(raw); err != nil || !slices.Equal(voters, p.Conf) || len(old) > 0 {
		t.Fatalf("entry read as %v, %v, %v", voters, old, err)
	}
}
