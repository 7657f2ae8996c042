package simulation

import (
	"testing"
	"time"
)

// TestConnectionsReset: the connections of random nodes, to each other and to clients,
// are reset again and again while calls are under way; runners carry out part of the
// requests late. Nothing is started twice, and no answer is taken for another call's.
func TestConnectionsReset(t *testing.T) {
	runScenarios(t, 4, threeServers, func(s *scenario, seed int64) {
		s.setWorkload(newJob(150, 400, 6), 100*time.Millisecond)
		s.runOperator(seed, 300*time.Millisecond, nil)
		for _, runner := range s.Runners {
			runner.update(func() { runner.LateFraction = 0.15 })
		}
		all := s.nodeNames("")
		for range 100 {
			s.Network.ResetConnections(s.NodeIP(all[s.random.Intn(len(all))]))
			time.Sleep(time.Duration(20+s.random.Intn(260)) * time.Millisecond)
		}
		for _, runner := range s.Runners {
			runner.update(func() { runner.LateFraction = 0 })
		}
	})
}

// TestCompletionsUnderLostLeaders: completions of short tasks are on their way while
// leaders, aggregators and agents are killed one after another, with answers held back
// by partitions: what was acknowledged to a runner stays completed.
func TestCompletionsUnderLostLeaders(t *testing.T) {
	runScenarios(t, 4, ClusterSpec{Servers: 3, Edges: 1, Agents: 4}, func(s *scenario, _ int64) {
		s.setWorkload(newJob(120, 200, 8), 100*time.Millisecond)
		for range 6 {
			leader := s.Leader()
			if leader == "" {
				time.Sleep(time.Second)
				continue
			}
			agent := s.nodeNames(agentRole)[s.random.Intn(4)]
			// Some faults hold back its answers only.
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
