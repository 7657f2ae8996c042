package simulation

import (
	"testing"
	"time"
)

// replaceServer replaces a server and returns the name of the new one. A planned
// replacement adds the new server before it terminates the old one; otherwise the old
// one is killed first. Settings files that are written later name seeds that exist;
// running nodes keep the old seeds.
func (s *scenario) replaceServer(old string, planned bool) string {
	zone := s.node(old).zone
	end := s.Kill
	if planned {
		end = s.Terminate
	}
	leave := func() {
		end(old)
		s.RemoveNode(old)
		s.SetSeeds(s.Servers()[:min(len(s.Servers()), 3)]...)
	}
	if !planned {
		leave()
		time.Sleep(time.Second)
		return s.AddServer(zone)
	}
	added := s.AddServer(zone)
	time.Sleep(2 * time.Second)
	leave()
	return added
}

// follower returns a server that is not the leader.
func (s *scenario) follower() string {
	return s.nodesExcept(edgeRole, s.Leader(), disklessEdge, "edge-6")[0]
}

// namedScenario is a sequence of steps in a scenario with the name of its subtest.
type namedScenario struct {
	name string
	run  func(s *scenario)
}

// firstLosses are the losses of a server that precede a second one.
var firstLosses = []namedScenario{
	{"repair of a follower", func(s *scenario) { s.Restart(3*time.Second, s.follower()) }},
	{"repair of the leader", func(s *scenario) { s.Restart(3*time.Second, s.Leader()) }},
	{"wiped follower", func(s *scenario) { s.restartWiped(500*time.Millisecond, s.follower()) }},
	{"wiped leader", func(s *scenario) { s.restartWiped(500*time.Millisecond, s.Leader()) }},
	{"planned leave of the leader", func(s *scenario) {
		leader := s.Leader()
		s.Terminate(leader)
		time.Sleep(500 * time.Millisecond)
		s.Start(leader)
	}},
	{"planned replacement of a follower", func(s *scenario) { s.replaceServer(s.follower(), true) }},
	{"planned replacement of the leader", func(s *scenario) { s.replaceServer(s.Leader(), true) }},
	{"unplanned replacement of a follower", func(s *scenario) { s.replaceServer(s.follower(), false) }},
	{"unplanned replacement of the leader", func(s *scenario) { s.replaceServer(s.Leader(), false) }},
	{"two replaced one after another", func(s *scenario) {
		s.replaceServer(s.follower(), true)
		time.Sleep(catchUpBound)
		s.replaceServer(s.Leader(), true)
	}},
}

// TestSecondLoss: after each kind of first loss, the leader is killed once the first
// server votes again. A majority remains, and no acknowledged change is lost.
func TestSecondLoss(t *testing.T) {
	for i, first := range firstLosses {
		t.Run(first.name, func(t *testing.T) {
			runScenario(t, threeServers, int64(i+1), func(s *scenario) {
				s.runOperator(1, 700*time.Millisecond, nil)
				time.Sleep(2 * time.Second)
				first.run(s)
				time.Sleep(catchUpBound)
				leader := s.Leader()
				if leader == "" {
					t.Errorf("no leader %v after %s", catchUpBound, first.name)
					return
				}
				s.Kill(leader)
				s.requireAcknowledgement("with the leader killed")
				s.restartWiped(0, leader)
				time.Sleep(catchUpBound)
				s.requireAcknowledgement("with the leader restarted on a wiped disk")
			})
		})
	}
}

// TestLeaderLossDuringMembershipChange: five voters tolerate two losses. One server is restarted,
// replaced or wiped, and the leader is killed while that is in progress.
func TestLeaderLossDuringMembershipChange(t *testing.T) {
	for i, first := range firstLosses {
		t.Run(first.name, func(t *testing.T) {
			runScenario(t, ClusterSpec{Servers: 5, Edges: 1, Agents: 3}, int64(i+1), func(s *scenario) {
				s.runOperator(1, 700*time.Millisecond, nil)
				time.Sleep(2 * time.Second)
				first.run(s)
				time.Sleep(time.Duration(s.random.Intn(900)) * time.Millisecond)
				leader := s.Leader()
				if leader == "" {
					time.Sleep(time.Second)
					leader = s.Leader()
				}
				if leader == "" {
					t.Error("no leader a second after " + first.name)
					return
				}
				s.Kill(leader)
				s.requireAcknowledgement("with the leader killed during the first change")
				s.Start(leader)
				time.Sleep(catchUpBound)
			})
		})
	}
}
