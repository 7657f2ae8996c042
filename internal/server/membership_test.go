package server

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/timing"
)

// cluster is a replica that is leader as "a", with other members on a simulated network and with a
// simulated clock.
type cluster struct {
	t       *testing.T
	replica *Replica
	now     time.Time
	nodes   map[string]*raft.Node
	down    map[string]bool
}

// testVoter returns a member whose address is its ID.
func testVoter(node, id string) raft.Member { return raft.Member{Node: node, ID: id, Addr: id} }

func newCluster(t *testing.T) *cluster {
	t.Helper()
	return newClusterOf(t, "a", "b", "c")
}

// newClusterOf returns a cluster of the named voters, the first of which is "a".
func newClusterOf(t *testing.T, names ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, now: time.Unix(1000, 0), nodes: map[string]*raft.Node{}, down: map[string]bool{}}
	var voters []raft.Member
	for _, name := range names {
		voters = append(voters, testVoter("node-"+name, name))
	}
	for _, name := range names {
		c.start(name, raft.Snapshot{Index: 1, Voters: voters})
	}
	c.replica = newReplica()
	c.replica.log, c.replica.self, c.replica.node = log.NewNopLogger(), voters[0], c.nodes["a"]
	c.replica.bootstrap.MinVoters = 3
	c.now = c.now.Add(3 * time.Second)
	c.replica.node.Tick(c.now)
	c.run(time.Second)
	if !c.replica.node.LeaderReady() {
		t.Fatal("a was not elected leader")
	}
	return c
}

// start starts the Raft node of a member.
func (c *cluster) start(id string, snapshot raft.Snapshot) {
	node := raft.New(id, raft.HardState{Term: 1}, snapshot, nil, c.now, raftConfig(), int64(id[0]))
	node.SetSnapshotSource(func() *raft.Snapshot {
		i := node.AppliedIndex()
		term, _ := node.TermAt(i)
		return &raft.Snapshot{Index: i, Term: term, Voters: node.VotersAt(i), OutgoingVoters: node.OutgoingVotersAt(i)}
	})
	c.nodes[id] = node
}

// run advances the time. Of the members that are up only "a" is ticked, so that it stays leader.
func (c *cluster) run(duration time.Duration) {
	for end := c.now.Add(duration); c.now.Before(end); c.now = c.now.Add(10 * time.Millisecond) {
		c.replica.node.Tick(c.now)
		for busy := true; busy; {
			busy = false
			for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
				busy = c.nodes[name] != nil && !c.down[name] && c.deliver(c.nodes[name]) || busy
			}
		}
	}
}

// deliver delivers a node's output. It returns false if there was none.
func (c *cluster) deliver(node *raft.Node) bool {
	output := node.Ready()
	if output.IsEmpty() {
		return false
	}
	if output.MustSync() {
		node.WriteSynced(output.WriteToken)
	}
	node.NextCommittedEntries()
	for _, message := range append(output.Messages, output.MessagesAfterSync...) {
		if to := c.nodes[message.To]; to != nil && !c.down[message.To] {
			to.Step(message, c.now)
		}
	}
	return true
}

// addCandidate starts a member "d" with an empty storage that asks to become a voter.
func (c *cluster) addCandidate(node string) {
	c.start("d", raft.Snapshot{})
	c.replica.candidatesByID()["d"] = testVoter(node, "d")
}

// voterIDs formats the IDs of the voters and, during a configuration change, those of the outgoing
// voters.
func (c *cluster) voterIDs() string {
	voters, old := c.replica.node.VoterSets()
	var names []string
	for _, voter := range slices.Concat(voters, old) {
		names = append(names, voter.ID)
	}
	return fmt.Sprint(names)
}

// reconcileTwice gives the candidate time to catch up. It returns the voters right after the
// proposal, including the outgoing ones, and those after the change has completed.
func (c *cluster) reconcileTwice() (during, after string) {
	c.replica.reconcileVoters(c.now)
	c.run(time.Second)
	c.replica.reconcileVoters(c.now)
	during = c.voterIDs()
	c.run(time.Second)
	return during, c.voterIDs()
}

func TestCandidateReplacesVoterInOneChange(t *testing.T) {
	for _, test := range []struct {
		name        string
		node        string
		fault       func(c *cluster)
		during, end string
	}{
		{"all voters are healthy", "node-d", func(c *cluster) {}, "[a b c]", "[a b c]"},
		{"c is silent for a moment", "node-d", func(c *cluster) { c.down["c"] = true }, "[a b c]", "[a b c]"},
		{"c is silent for long", "node-d", func(c *cluster) { c.down["c"] = true; c.run(voterReplacementTimeout) }, "[a b d a b c]", "[a b d]"},
		{"b rejoined with another identity", "node-b", func(c *cluster) { c.down["b"] = true }, "[a d c a b c]", "[a d c]"},
		{"its own earlier identity is replaced first", "node-b", func(c *cluster) { c.down["b"] = true; c.replica.appointments.leavingUntil["c"] = c.now.Add(time.Hour) }, "[a d c a b c]", "[a d c]"},
		{"c announced that it leaves", "node-d", func(c *cluster) { c.replica.appointments.leavingUntil["c"] = c.now.Add(shutdownExclusionPeriod) }, "[a b d a b c]", "[a b d]"},
		{"the leader leaves", "node-d", func(c *cluster) { c.replica.leaving.waiters = []chan struct{}{nil} }, "[d b c a b c]", "[d b c]"},
	} {
		c := newCluster(t)
		c.addCandidate(test.node)
		test.fault(c)
		if during, end := c.reconcileTwice(); during != test.during || end != test.end {
			t.Errorf("%s: voters %s during the change, %s after it", test.name, during, end)
		}
	}
}

func TestLeavingVoterWaitsWhileOthersAreUnhealthy(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(c *cluster)
		want  string
	}{
		{"all are healthy", func(c *cluster) {}, ""},
		{"a candidate is catching up", func(c *cluster) { c.addCandidate("node-d"); c.replica.reconcileVoters(c.now) }, "a candidate is about to take a place"},
		{"the other voter is silent", func(c *cluster) { c.down["c"] = true; c.run(timing.ElectionTimeout + aggregatorSilenceTimeout) }, "another voter is silent or lags"},
		{"a change is in progress", func(c *cluster) {
			c.addCandidate("node-c")
			c.down["c"] = true
			c.replica.reconcileVoters(c.now)
			c.run(time.Second)
			c.replica.reconcileVoters(c.now)
		}, "a change of the voters is under way"},
		{"it has been replaced", func(c *cluster) {
			c.addCandidate("node-d")
			c.replica.appointments.leavingUntil["b"] = c.now.Add(time.Hour)
			c.reconcileTwice()
		}, ""},
	} {
		c := newCluster(t)
		test.fault(c)
		if reason := c.replica.shutdownBlocker("b"); reason != test.want {
			t.Errorf("%s: reason %q", test.name, reason)
		}
	}
}

// TestSimultaneousShutdownsWaitForEachOther checks shutdowns at the same time. A voter that was
// released stays reachable until it exits. A second one must wait if both together would leave too
// few voters, but no longer than the first one is away. Of five voters, two may shut down together.
func TestSimultaneousShutdownsWaitForEachOther(t *testing.T) {
	for _, test := range []struct {
		name               string
		voters             []string
		released           map[string]time.Duration // time since the release
		leaderTransferring bool                     // the leader itself is transferring leadership
		want               string
	}{
		{"no other voter", []string{"a", "b", "c"}, nil, false, ""},
		{"another of three", []string{"a", "b", "c"}, map[string]time.Duration{"c": 0}, false, "another voter is ending"},
		{"the voter itself was released before", []string{"a", "b", "c"}, map[string]time.Duration{"b": 0}, false, ""},
		{"another that is back by now", []string{"a", "b", "c"}, map[string]time.Duration{"c": shutdownReleasePeriod}, false, ""},
		{"the leader of three", []string{"a", "b", "c"}, nil, true, "another voter is ending"},
		{"another of five", []string{"a", "b", "c", "d", "e"}, map[string]time.Duration{"c": 0}, false, ""},
		{"two others of five", []string{"a", "b", "c", "d", "e"}, map[string]time.Duration{"c": 0, "d": 0}, false, "another voter is ending"},
		{"another of five and the leader", []string{"a", "b", "c", "d", "e"}, map[string]time.Duration{"c": 0}, true, "another voter is ending"},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newClusterOf(t, test.voters...)
			c.run(time.Second)
			for id, ago := range test.released {
				c.replica.appointments.releasedAt[id] = time.Now().Add(-ago)
			}
			if test.leaderTransferring {
				c.replica.leaving.transferring, c.replica.leaving.waiters = true, []chan struct{}{make(chan struct{})}
			}
			if reason := c.replica.shutdownBlocker("b"); reason != test.want {
				t.Errorf("%s: reason %q, want %q", test.name, reason, test.want)
			}
		})
	}
}

// TestSurplusVoterIsRemovedFromEvenSet checks that an even set of voters, as formed by an older
// version, loses the voter that is silent, or else the last one that is not the leader. No voter is
// removed that may be needed, or that would leave fewer than the minimum.
func TestSurplusVoterIsRemovedFromEvenSet(t *testing.T) {
	pastReplacementTimeout := voterReplacementTimeout + time.Second
	for _, test := range []struct {
		name  string
		size  int
		fault func(c *cluster)
		want  string
	}{
		{"all are healthy", 4, func(c *cluster) {}, "[a b c]"},
		{"one is silent", 4, func(c *cluster) { c.down["b"] = true; c.run(pastReplacementTimeout) }, "[a c d]"},
		{"one is silent for a moment", 4, func(c *cluster) { c.down["b"] = true; c.run(aggregatorSilenceTimeout + timing.ElectionTimeout) }, "[a b c d]"},
		{"an odd number", 3, func(c *cluster) { c.down["b"] = true; c.run(pastReplacementTimeout) }, "[a b c]"},
		{"two of six are silent", 6, func(c *cluster) { c.down["b"], c.down["c"] = true, true; c.run(pastReplacementTimeout) }, "[a b c d e f]"},
	} {
		c := newClusterOf(t, []string{"a", "b", "c", "d", "e", "f"}[:test.size]...)
		test.fault(c)
		c.replica.reconcileVoters(c.now)
		c.run(time.Second)
		if got := c.voterIDs(); got != test.want {
			t.Errorf("%s: voters %s, want %s", test.name, got, test.want)
		}
	}
	c := newClusterOf(t, "a", "b", "c", "d")
	c.replica.bootstrap.MinVoters = 5
	c.replica.reconcileVoters(c.now)
	if got := c.voterIDs(); got != "[a b c d]" {
		t.Errorf("voters removed below the minimum number: %s", got)
	}
}

// TestLearnerReplacesLostVoter checks that the server left out of an even number of servers follows
// as a learner and replaces the first voter that is lost. A lost server that comes back becomes a
// learner and can replace the next one.
func TestLearnerReplacesLostVoter(t *testing.T) {
	c := newCluster(t)
	c.addCandidate("node-d")
	c.replica.reconcileVoters(c.now)
	c.run(time.Second)
	if c.replica.reconcileVoters(c.now); c.voterIDs() != "[a b c]" || len(c.replica.caughtUpLearners()) != 1 {
		t.Fatalf("voters %s, learners %v", c.voterIDs(), c.replica.caughtUpLearners())
	}
	c.down["b"] = true
	c.run(voterReplacementTimeout + 100*time.Millisecond)
	c.replica.reconcileVoters(c.now)
	c.run(time.Second)
	if c.voterIDs() != "[a d c]" {
		t.Fatalf("voters %s", c.voterIDs())
	}
	c.down["b"], c.down["c"] = false, true
	c.replica.candidatesByID()["b"] = testVoter("node-b", "b")
	c.replica.reconcileVoters(c.now)
	c.run(voterReplacementTimeout + 100*time.Millisecond)
	c.replica.reconcileVoters(c.now)
	c.run(time.Second)
	if c.voterIDs() != "[a d b]" {
		t.Errorf("voters after a second loss: %s", c.voterIDs())
	}
}

// TestNewLeaderWaitsForAggregatingLearner checks that a new leader does not reassign the zones of
// learners before they have announced themselves: only then does it know them.
func TestNewLeaderWaitsForAggregatingLearner(t *testing.T) {
	c := newCluster(t)
	c.replica.leadingSince = c.now
	servedByLearner := state.ZoneAggregator{Zone: "z", Member: "d"}
	for _, test := range []struct {
		name    string
		current state.ZoneAggregator
		after   time.Duration
		want    bool
	}{
		{"a learner that has not announced itself yet", servedByLearner, 0, true},
		{"a learner that does not announce itself", servedByLearner, learnerAnnounceTimeout, false},
		{"a voter", state.ZoneAggregator{Zone: "z", Member: "b"}, 0, false},
		{"none", state.ZoneAggregator{Zone: "z"}, 0, false},
	} {
		if got := c.replica.awaitsLearner(test.current, c.now.Add(test.after)); got != test.want {
			t.Errorf("%s: leader waits: %v", test.name, got)
		}
	}
	c.addCandidate("node-d")
	if c.replica.awaitsLearner(servedByLearner, c.now) {
		t.Error("leader waits for a learner that has announced itself")
	}
}

// TestLearnerAggregatesWhereAppointed checks that a learner accepts agents' requests for the leader
// only if it was appointed for a zone.
func TestLearnerAggregatesWhereAppointed(t *testing.T) {
	c := newCluster(t)
	c.replica.self = testVoter("node-d", "d")
	if c.replica.isAggregating(c.now) {
		t.Error("a learner without an appointment aggregates")
	}
	c.replica.state.Aggregators = map[string]state.ZoneAggregator{"z": {Zone: "z", Standby: "d"}}
	if !c.replica.isAggregating(c.now) {
		t.Error("an appointed learner does not aggregate")
	}
}

// TestExpiredMembershipsAreRemoved checks that a leader removes daemons that are gone permanently,
// even if no request for the member list comes in, and no longer counts them for their zones.
func TestExpiredMembershipsAreRemoved(t *testing.T) {
	c := newCluster(t)
	for i := range 100 {
		node := fmt.Sprint("node-", i)
		renewedAt := c.now.Add(-timing.MembershipLeaseDuration * 2)
		if i == 7 {
			renewedAt = c.now
		}
		c.replica.memberLeases[memberKey(node, serverRole)] = memberLease{rpc.MembershipLease{Node: node, Role: serverRole, Zone: "z"}, renewedAt}
	}
	c.replica.collectGarbage(c.now.Add(time.Second))
	if n := len(c.replica.memberLeases); n != 1 || c.replica.zoneOf("node-7") != "z" || c.replica.zoneOf("node-8") != "" {
		t.Errorf("%d memberships left, want the renewed one only", n)
	}
}
