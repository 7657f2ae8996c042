package simulation

import (
	"testing"
	"time"
)

// TestCombinedFaults combines faults that once made a task run twice. Changes are sent
// continuously for 24 s. A server is isolated for 14 s and gets a change when it
// reconnects. Then a seed is isolated while both sides are sent a change, and both
// receivers are restarted. Finally all nodes are killed. Short tasks complete
// throughout, and no acknowledged completion may be lost.
func TestCombinedFaults(t *testing.T) {
	runScenarios(t, 5, ClusterSpec{Servers: 3, Edges: 1, Agents: 4}, func(s *scenario, seed int64) {
		s.setWorkload(newJob(400, 100, 8), 100*time.Millisecond)
		if seed%2 == 1 {
			// The log grows so much that the isolated server needs a snapshot.
			s.growLog(400, 20*time.Second)
		}
		start := time.Now()
		waitUntil := func(second int) { time.Sleep(time.Until(start.Add(time.Duration(second) * time.Second))) }
		waitUntil(2)
		s.sendConcurrentChanges(seed, 700*time.Millisecond, 24*time.Second)
		waitUntil(4)
		victim := s.Leader()
		if seed%3 == 0 {
			victim = s.nodesExcept(edgeRole, victim, disklessEdge)[0]
		}
		repair := s.InjectFault(victim, IsolateBothWays)
		waitUntil(18)
		repair()
		operator, rival := s.NewOperator(seed+50), s.NewOperator(seed+51)
		defer operator.Close()
		defer rival.Close()
		operator.knownVersion = s.lastVersion.Load()
		operator.SendAt(victim, s.NewChange(operator.knownVersion))
		waitUntil(20)
		isolatedSeed := s.Servers()[s.random.Intn(2)]
		rest := s.nodesExcept(edgeRole, isolatedSeed, disklessEdge)
		other := rest[s.random.Intn(len(rest))]
		repair = s.InjectFault(isolatedSeed, IsolateBothWays)
		operator.Read(2 * time.Second)
		base := operator.knownVersion
		s.background.Go(func() { operator.SendAt(isolatedSeed, s.NewChange(base)) })
		s.background.Go(func() { rival.SendAt(other, s.NewChange(base)) })
		waitUntil(24)
		repair()
		s.Restart(500*time.Millisecond, isolatedSeed, other)
		waitUntil(38)
		s.Restart(time.Second, s.nodeNames("")...)
		waitUntil(45)
	})
}
