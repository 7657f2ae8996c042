package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/raft"
	"tealpond/internal/tune"
)

// coreNet is a core that leads as "a", with other members on a network and a
// clock of the test's own.
type coreNet struct {
	t     *testing.T
	core  *Core
	now   time.Time
	nodes map[string]*raft.Node
	down  map[string]bool
}

func testVoter(node, disk string) raft.Member { return raft.Member{Node: node, ID: disk, Addr: disk} }

func newCoreNet(t *testing.T) *coreNet {
	n := &coreNet{t: t, now: time.Unix(1000, 0), nodes: map[string]*raft.Node{}, down: map[string]bool{}}
	var voters []raft.Member
	for _, x := range []string{"a", "b", "c"} {
		voters = append(voters, testVoter("node-"+x, x))
	}
	for _, x := range []string{"a", "b", "c"} {
		n.start(x, raft.Snapshot{Index: 1, Voters: voters})
	}
	n.core = &Core{log: log.NewNopLogger(), self: voters[0], node: n.nodes["a"], addrs: map[string]string{}, appointments: newAppointments()}
	n.core.found.MinVoters = 3
	n.now = n.now.Add(3 * time.Second)
	n.core.node.Tick(n.now)
	n.run(time.Second)
	if !n.core.node.LeaderReady() {
		t.Fatal("a does not lead")
	}
	return n
}

func (n *coreNet) start(disk string, point raft.Snapshot) {
	node := raft.New(disk, raft.HardState{Term: 1}, point, nil, n.now, raft.Config{HeartbeatInterval: tune.Beat, ElectionTimeout: tune.Elect, ElectionJitter: tune.ElectSpread,
		CheckQuorumTimeout: tune.QuorumLoss, LeaseFraction: tune.LeaseShare, MaxInflightEntries: tune.Window, MaxAppendBytes: tune.AppendBytes}, int64(disk[0]))
	node.SetSnapshotSource(func() *raft.Snapshot {
		i := node.AppliedIndex()
		term, _ := node.TermAt(i)
		return &raft.Snapshot{Index: i, Term: term, Voters: node.VotersAt(i), OutgoingVoters: node.OutgoingVotersAt(i)}
	})
	n.nodes[disk] = node
}

// run plays some time; of those that are up, only a looks at its clock, so that
// it leads on.
func (n *coreNet) run(most time.Duration) {
	for end := n.now.Add(most); n.now.Before(end); n.now = n.now.Add(10 * time.Millisecond) {
		n.core.node.Tick(n.now)
		for busy := true; busy; {
			busy = false
			for _, x := range []string{"a", "b", "c", "d", "e"} {
				busy = n.nodes[x] != nil && !n.down[x] && n.deliver(n.nodes[x]) || busy
			}
		}
	}
}

func (n *coreNet) deliver(node *raft.Node) bool {
	o := node.Ready()
	if o.IsEmpty() {
		return false
	}
	if o.MustSync() {
		node.WriteSynced(o.WriteToken)
	}
	node.NextCommittedEntries()
	for _, message := range append(o.Messages, o.MessagesAfterSync...) {
		if to := n.nodes[message.To]; to != nil && !n.down[message.To] {
			to.Step(message, n.now)
		}
	}
	return true
}

// candidate starts a daemon with an empty disk that asks for a place.
func (n *coreNet) candidate(node, disk string) {
	n.start(disk, raft.Snapshot{})
	n.core.candidatesByDisk()[disk] = testVoter(node, disk)
}

func (n *coreNet) disks() string {
	voters, old := n.core.node.VoterSets()
	var names []string
	for _, voter := range slices.Concat(voters, old) {
		names = append(names, voter.ID)
	}
	return fmt.Sprint(names)
}

// swapped gives the candidate time to catch up, and shows the voters right
// after the swap (with those before it) and once the change is over.
func (n *coreNet) swapped() (during, after string) {
	n.core.swap(n.now)
	n.run(time.Second)
	n.core.swap(n.now)
	during = n.disks()
	n.run(time.Second)
	return during, n.disks()
}

func TestSwapPutsTheCandidateInAsTheVoterGoesOut(t *testing.T) {
	for _, x := range []struct {
		why         string
		node        string
		fault       func(n *coreNet)
		during, end string
	}{
		{"nobody is gone", "node-d", func(n *coreNet) {}, "[a b c]", "[a b c]"},
		{"c is frozen for a moment", "node-d", func(n *coreNet) { n.down["c"] = true }, "[a b c]", "[a b c]"},
		{"c is silent", "node-d", func(n *coreNet) { n.down["c"] = true; n.run(tune.SilentVoter) }, "[a b d a b c]", "[a b d]"},
		{"b came back with another disk", "node-b", func(n *coreNet) { n.down["b"] = true }, "[a d c a b c]", "[a d c]"},
		{"its own old disk first", "node-b", func(n *coreNet) { n.down["b"] = true; n.core.appointments.leavingUntil["c"] = n.now.Add(time.Hour) }, "[a d c a b c]", "[a d c]"},
		{"c said that it leaves", "node-d", func(n *coreNet) { n.core.appointments.leavingUntil["c"] = n.now.Add(tune.YieldTime) }, "[a b d a b c]", "[a b d]"},
		{"the leader leaves", "node-d", func(n *coreNet) { n.core.leaving = []chan struct{}{nil} }, "[d b c a b c]", "[d b c]"},
	} {
		n := newCoreNet(t)
		n.candidate(x.node, "d")
		x.fault(n)
		if during, end := n.swapped(); during != x.during || end != x.end {
			t.Errorf("%s: voters %s, then %s", x.why, during, end)
		}
	}
}

func TestLeaverIsNeededWhileTheOthersAreNotWhole(t *testing.T) {
	for _, x := range []struct {
		why   string
		fault func(n *coreNet)
		want  string
	}{
		{"all are well", func(n *coreNet) {}, ""},
		{"a candidate catches up", func(n *coreNet) { n.candidate("node-d", "d"); n.core.swap(n.now) }, "a candidate is about to take a place"},
		{"the other voter is silent", func(n *coreNet) { n.down["c"] = true; n.run(tune.Elect + tune.DutySilent) }, "another voter is silent or lags"},
		{"a change is under way", func(n *coreNet) {
			n.candidate("node-c", "d")
			n.down["c"] = true
			n.core.swap(n.now)
			n.run(time.Second)
			n.core.swap(n.now)
		}, "a change of the voters is under way"},
		{"it was replaced", func(n *coreNet) {
			n.candidate("node-d", "d")
			n.core.appointments.leavingUntil["b"] = n.now.Add(time.Hour)
			n.swapped()
		}, ""},
	} {
		n := newCoreNet(t)
		x.fault(n)
		if why := n.core.needed("b"); why != x.want {
			t.Errorf("%s: %q", x.why, why)
		}
	}
}
