package simulation

import (
	"testing"
	"time"
)

// TestConnectionsReset repeatedly resets all connections of random nodes while calls are in
// progress, and runners apply part of the requests late. Nothing may be started twice, and no
// response may be matched to another call.
func TestConnectionsReset(t *testing.T) {
	runScenarios(t, 4, threeServers, func(s *scenario, seed int64) {
		s.setWorkload(newJob(150, 400, 6), 100*time.Millisecond)
		s.runOperator(seed, 300*time.Millisecond, nil)
		for _, runner := range s.Runners {
			runner.update(func() { runner.DelayedFraction = 0.15 })
		}
		all := s.nodeNames("")
		for range 100 {
			s.Network.ResetConnections(s.NodeIP(all[s.random.Intn(len(all))]))
			time.Sleep(time.Duration(20+s.random.Intn(260)) * time.Millisecond)
		}
		for _, runner := range s.Runners {
			runner.update(func() { runner.DelayedFraction = 0 })
		}
	})
}

// TestCompletionsAcrossLeaderLoss kills leaders, aggregators and agents one after another
// while completions of short tasks are in flight and partitions hold back responses. A
// completion that was acknowledged to a runner must be kept.
func TestCompletionsAcrossLeaderLoss(t *testing.T) {
	runScenarios(t, 4, ClusterSpec{Servers: 3, Edges: 1, Agents: 4}, func(s *scenario, _ int64) {
		s.setWorkload(newJob(120, 200, 8), 100*time.Millisecond)
		for range 6 {
			leader := s.Leader()
			if leader == "" {
				time.Sleep(time.Second)
				continue
			}
			agent := s.nodeNames(agentRole)[s.random.Intn(4)]
			// IsolateOutbound holds back only the responses of the leader.
			repair := s.InjectFault(leader, []string{IsolateOutbound, IsolateBothWays, IsolateFromServers}[s.random.Intn(3)])
			time.Sleep(time.Duration(s.random.Intn(4000)) * time.Millisecond)
			s.Restart(time.Duration(100+s.random.Intn(500))*time.Millisecond, agent)
			repair()
			time.Sleep(time.Duration(s.random.Intn(300)) * time.Millisecond)
			s.Restart(300*time.Millisecond, leader)
			time.Sleep(time.Duration(500+s.random.Intn(1500)) * time.Millisecond)
		}
	})
}
