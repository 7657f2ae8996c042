package simulation

import (
	"testing"
	"time"
)

// TestLaggingServerGetsSnapshot: a server is isolated until the others have truncated the log
// entries that it lacks, is sent a snapshot, is isolated again during the transfer, and is sent
// another snapshot. Changes are sent throughout. After a restart of all nodes, the
// replicas agree, and changes are acknowledged under each next leader.
func TestLaggingServerGetsSnapshot(t *testing.T) {
	runScenarios(t, 2, threeServers, func(s *scenario, seed int64) {
		victim := s.follower()
		if seed%2 == 0 {
			victim = s.Leader()
		}
		s.growLog(400, 28*time.Second)
		s.sendConcurrentChanges(seed, 250*time.Millisecond, 28*time.Second)
		time.Sleep(time.Second)
		repair := s.InjectFault(victim, IsolateBothWays)
		time.Sleep(14 * time.Second)
		repair()
		// The transfer of a snapshot chunk takes about a millisecond on this network.
		time.Sleep(time.Duration(s.random.Intn(80)) * time.Millisecond)
		repair = s.InjectFault(victim, IsolateInbound)
		time.Sleep(6 * time.Second)
		repair()
		time.Sleep(time.Duration(s.random.Intn(80)) * time.Millisecond)
		s.Restart(300*time.Millisecond, victim)
		time.Sleep(catchUpBound)
		s.requireCaughtUp(victim)
		s.Restart(time.Second, s.nodeNames("")...)
		time.Sleep(catchUpBound)
		// Leadership moves between the replicas, so that missing state in one of them is detected.
		for range 2 {
			leader := s.Leader()
			s.Terminate(leader)
			time.Sleep(time.Second)
			s.Start(leader)
			s.requireAcknowledgement("under the next leader")
		}
	})
}

// requireCaughtUp requires that a server comes within 200 entries of the highest
// applied index.
func (s *scenario) requireCaughtUp(name string) {
	s.T.Helper()
	s.WaitUntil(name+" has caught up", catchUpBound, func() bool {
		highest := uint64(0)
		for _, name := range s.Servers() {
			highest = max(highest, s.AppliedIndex(name))
		}
		return s.AppliedIndex(name)+200 > highest
	})
}
