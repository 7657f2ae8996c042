package simulation

import (
	"fmt"
	"testing"
	"time"
)

// loseDisksInTheDark has all machines lose power at the same moment, those of the runners
// and of the edges without a disk included; as many servers as may be lost come back with
// empty disks.
func (s *scenario) loseDisksInTheDark(downtime time.Duration) {
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

// TestDisksLostInTheDark: right after a change was acknowledged or a job accepted, or at
// a random moment of either, all machines lose power and as many disks are lost as may
// be. Nothing that was acknowledged may rest on the memory of any daemon.
func TestDisksLostInTheDark(t *testing.T) {
	for _, spec := range []ClusterSpec{threeServers, {Servers: 5, Edges: 1, Agents: 3}, sixServers} {
		for i, moment := range []string{onceChanged, whileChanging, onceSubmitted} {
			t.Run(fmt.Sprintf("%d servers/%s", spec.Servers, moment), func(t *testing.T) {
				runScenario(t, spec, int64(10*spec.Servers+i), func(s *scenario) {
					s.setWorkload(newJob(150, 300, 6), 100*time.Millisecond)
					s.runOperator(int64(i+1), time.Second, nil)
					for range 3 {
						time.Sleep(2 * time.Second)
						s.injectClosingFault(moment, func(s *scenario) { s.loseDisksInTheDark(800 * time.Millisecond) })
						time.Sleep(catchUpBound)
					}
				})
			})
		}
	}
}

// TestCompletionsInTheDark: short tasks complete all the while, their answers are lost and
// requests are carried out late, as all machines lose power: a completion that was
// acknowledged to its runner stays, and one that was not is run again or counted once.
func TestCompletionsInTheDark(t *testing.T) {
	runScenarios(t, 4, ClusterSpec{Servers: 5, Edges: 1, Agents: 4, ToleratedLosses: 2}, func(s *scenario, _ int64) {
		s.setWorkload(newJob(60, 150, 12), 80*time.Millisecond)
		for _, runner := range s.Runners {
			runner.update(func() { runner.LostAnswers, runner.LateFraction = 0.2, 0.05 })
		}
		for range 4 {
			time.Sleep(time.Duration(1500+s.random.Intn(1000)) * time.Millisecond)
			s.loseDisksInTheDark(time.Duration(300+s.random.Intn(900)) * time.Millisecond)
			time.Sleep(catchUpBound)
		}
		for _, runner := range s.Runners {
			runner.update(func() { runner.LostAnswers, runner.LateFraction = 0, 0 })
		}
	})
}
