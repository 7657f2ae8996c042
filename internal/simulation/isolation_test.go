package simulation

import (
	"sync"
	"testing"
	"time"
)

// isolationFaults are the faults that isolate or slow down a node, wholly or partly.
var isolationFaults = []string{IsolateBothWays, IsolateInbound, IsolateOutbound, IsolateFromServers, IsolateFromClients, Frozen, Slowed}

// testIsolation injects each fault into a node for 20 s while operators and clients
// call it, and requires that the node serves again within the bounds once the fault is
// repaired.
func testIsolation(t *testing.T, selectNode func(s *scenario) string) {
	for i, fault := range isolationFaults {
		t.Run(fault, func(t *testing.T) {
			runScenario(t, ClusterSpec{Servers: 3, Edges: 1, Agents: 3, Debug: true}, int64(i+1), func(s *scenario) {
				name := selectNode(s)
				done := make(chan struct{})
				operatorEnded := s.runOperator(1, 900*time.Millisecond, done)
				time.Sleep(2 * time.Second)
				operator := s.NewOperator(2)
				defer operator.Close()
				operator.Read(5 * time.Second)
				edge := s.node(name).role == edgeRole
				repair := s.InjectFault(name, fault)
				callers := &sync.WaitGroup{}
				if edge {
					callers = s.exerciseNode(name, operator, done)
				}
				time.Sleep(10 * time.Second)
				if ready := edge && s.IsReady(name); ready && fault != Slowed {
					t.Errorf("%s is ready 10 s after fault %s", name, fault)
				}
				time.Sleep(10 * time.Second)
				close(done)
				callers.Wait()
				repair()
				repairedAt := time.Now()
				<-operatorEnded
				if edge {
					s.requireNewestConfiguration(name, repairedAt)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

func TestLeaderIsolated(t *testing.T) {
	testIsolation(t, func(s *scenario) string { return s.Leader() })
}

func TestFollowerIsolated(t *testing.T) {
	testIsolation(t, func(s *scenario) string { return s.nodesExcept(edgeRole, s.Leader(), disklessEdge)[0] })
}

func TestDisklessEdgeIsolated(t *testing.T) {
	testIsolation(t, func(s *scenario) string { return disklessEdge })
}

func TestAgentIsolated(t *testing.T) { testIsolation(t, func(s *scenario) string { return "side-1" }) }
