package simulation

import (
	"fmt"
	"testing"
	"time"
)

// cutPowerAndLoseDisks makes all machines lose power at the same moment, including those of the
// runners and of the edges without a disk. As many servers as may be lost restart with empty
// disks.
func (s *scenario) cutPowerAndLoseDisks(downtime time.Duration) {
	servers := s.Servers()
	s.random.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	if leader := s.Leader(); leader != "" && s.random.Intn(2) == 0 {
		servers = append([]string{leader}, without(servers, leader)...)
	}
	all := s.nodeNames("")
	for _, name := range all {
		s.Kill(name)
	}
	for _, runner := range s.Runners {
		runner.Crash()
	}
	for _, name := range servers[:s.toleratedLosses] {
		s.WipeDisk(name)
	}
	time.Sleep(downtime)
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, name := range all {
		s.Start(name)
		time.Sleep(time.Duration(s.random.Intn(60)) * time.Millisecond)
	}
}

// TestDisksLostInPowerOutage makes all machines lose power, and as many disks as may be lost,
// right after a change was acknowledged or a job was accepted, or at a random time after a change
// was sent. Nothing that was acknowledged may depend on the memory of a daemon.
func TestDisksLostInPowerOutage(t *testing.T) {
	for _, spec := range []ClusterSpec{threeServers, {Servers: 5, Edges: 1, Agents: 3}, sixServers} {
		for i, moment := range []string{afterChangeAcknowledged, duringChange, afterJobAccepted} {
			t.Run(fmt.Sprintf("%d servers/%s", spec.Servers, moment), func(t *testing.T) {
				runScenario(t, spec, int64(10*spec.Servers+i), func(s *scenario) {
					s.setWorkload(newJob(150, 300, 6), 100*time.Millisecond)
					s.runOperator(int64(i+1), time.Second, nil)
					for range 3 {
						time.Sleep(2 * time.Second)
						s.injectFinalFault(moment, func(s *scenario) { s.cutPowerAndLoseDisks(800 * time.Millisecond) })
						time.Sleep(catchUpBound)
					}
				})
			})
		}
	}
}

// TestCompletionsDuringPowerOutage makes all machines lose power while short tasks complete,
// responses are lost and requests are applied late. A completion that was acknowledged to its
// runner must be kept; the task of any other is run again or counted once.
func TestCompletionsDuringPowerOutage(t *testing.T) {
	runScenarios(t, 4, ClusterSpec{Servers: 5, Edges: 1, Agents: 4, ToleratedLosses: 2}, func(s *scenario, _ int64) {
		s.setWorkload(newJob(60, 150, 12), 80*time.Millisecond)
		for _, runner := range s.Runners {
			runner.update(func() { runner.LostAnswerFraction, runner.DelayedFraction = 0.2, 0.05 })
		}
		for range 4 {
			time.Sleep(time.Duration(1500+s.random.Intn(1000)) * time.Millisecond)
			s.cutPowerAndLoseDisks(time.Duration(300+s.random.Intn(900)) * time.Millisecond)
			time.Sleep(catchUpBound)
		}
		for _, runner := range s.Runners {
			runner.update(func() { runner.LostAnswerFraction, runner.DelayedFraction = 0, 0 })
		}
	})
}
