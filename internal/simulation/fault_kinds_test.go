package simulation

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// faultKinds are the faults of the operators' bench that can occur in a simulated cluster, under
// the bench's names. Each takes about ten seconds.
var faultKinds = []namedScenario{
	{"ack_lost", func(s *scenario) {
		for _, operator := range s.newOperators(4, 0.7) {
			s.background.Go(func() {
				defer operator.Close()
				for range 6 {
					operator.MakeChange(10 * time.Second)
				}
			})
		}
		time.Sleep(10 * time.Second)
	}},
	{"after_ack_kill timed", func(s *scenario) {
		for range 4 {
			operator := s.newOperators(1, 0)[0]
			operator.Read(5 * time.Second)
			s.background.Go(func() { defer operator.Close(); operator.MakeChange(10 * time.Second) })
			time.Sleep(time.Duration(5+s.random.Intn(395)) * time.Millisecond)
			s.Restart(800*time.Millisecond, s.Servers()...)
			time.Sleep(2 * time.Second)
		}
	}},
	{"after_ack_kill taken", func(s *scenario) {
		s.restartAllAfterJobAccepted(500000, 4)
	}},
	{"herd_kill of all core", func(s *scenario) {
		s.Restart(1500*time.Millisecond, s.Servers()...)
		time.Sleep(5 * time.Second)
		s.Restart(300*time.Millisecond, s.Servers()...)
	}},
	{"core_cut seeds both race", func(s *scenario) {
		a, b := s.Servers()[0], s.Servers()[1]
		repair := s.InjectFault(a, IsolateFromServers)
		operators := s.newOperators(3, 0)
		defer closeOperators(operators)
		operators[0].Read(3 * time.Second)
		base := operators[0].knownVersion
		change, competing := s.NewChange(base), s.NewChange(base)
		var sent sync.WaitGroup
		sent.Go(func() { operators[1].SendAt(a, change) })
		sent.Go(func() { operators[2].SendAt(b, competing) })
		time.Sleep(4 * time.Second)
		sent.Wait()
		repair()
		operators[1].SendAt(a, change)
		time.Sleep(4 * time.Second)
	}},
	{"core_cut hard", func(s *scenario) {
		leader := s.Leader()
		repair := s.InjectFault(leader, IsolateBothWays)
		time.Sleep(2 * time.Second)
		s.Kill(leader) // while it is isolated
		repair()
		s.Start(leader)
		time.Sleep(5 * time.Second)
	}},
	{"config_storm", func(s *scenario) {
		s.sendConcurrentChanges(1, 300*time.Millisecond, 8*time.Second)
		time.Sleep(10 * time.Second)
	}},
	{"big_config", func(s *scenario) {
		// There are several attempts, since the changes of another operator may be accepted first.
		operator := s.newOperators(1, 0.3)[0]
		defer operator.Close()
		accepted := 0
		for range 8 {
			operator.Read(5 * time.Second)
			change := s.NewChange(operator.knownVersion)
			var moreRoutes strings.Builder
			for i := range 1000 {
				moreRoutes.WriteString(routeJSON(fmt.Sprintf("big-%d-%d", change.Version, i)))
			}
			change.Text, change.Routes = configurationText(change.Version, moreRoutes.String()), 1000
			if operator.Send(change, 20*time.Second) == http.StatusOK {
				accepted++
			}
		}
		if accepted == 0 {
			s.T.Error("no configuration of 1,000 routes was accepted in eight attempts")
		}
		s.Restart(500*time.Millisecond, s.Leader())
		time.Sleep(3 * time.Second)
	}},
	{"hup", func(s *scenario) {
		for range 3 {
			for _, name := range s.nodeNames("") {
				s.ReloadSettings(name)
			}
			time.Sleep(2 * time.Second)
		}
	}},
	{"roll_term busy", func(s *scenario) {
		for _, name := range s.nodeNames("") {
			s.Terminate(name)
			time.Sleep(500 * time.Millisecond)
			s.Start(name)
			time.Sleep(1500 * time.Millisecond)
		}
	}},
	{"seed_turnover", func(s *scenario) {
		added := s.replaceServer(s.Servers()[0], true)
		s.SetSeeds(added, s.Servers()[0], disklessEdge)
		for _, name := range s.nodeNames("") {
			s.ReloadSettings(name)
		}
		time.Sleep(catchUpBound)
		s.Restart(500*time.Millisecond, s.nodeNames("")...)
		time.Sleep(catchUpBound)
	}},
}

// restartAllAfterJobAccepted submits count jobs, numbered from first on, and restarts all daemons
// right after each submission.
func (s *scenario) restartAllAfterJobAccepted(first, count int) {
	for i := range count {
		if s.SubmitJob(jobID(first+i), newJob(300, 400, 2)) {
			s.recordAccepted(jobID(first + i))
		}
		s.Restart(800*time.Millisecond, s.nodeNames("")...)
		time.Sleep(2 * time.Second)
	}
}

// finalFaults are the faults at the end of a scenario, after which everything that was
// acknowledged must still exist.
var finalFaults = []namedScenario{
	{"power off all", func(s *scenario) { s.Restart(1500*time.Millisecond, s.nodeNames("")...) }},
	{"kill all", func(s *scenario) { s.Restart(300*time.Millisecond, s.nodeNames("")...) }},
	{"wipe the leader", func(s *scenario) { s.restartWiped(500*time.Millisecond, s.Leader()) }},
	{"wipe a follower, power off the others", func(s *scenario) { s.wipeOneRestartOthers(s.follower()) }},
	{"wipe the leader, power off the others", func(s *scenario) { s.wipeOneRestartOthers(s.Leader()) }},
}

// wipeOneRestartOthers kills a server and empties its disk, and starts it after all other
// nodes of the edge role were restarted.
func (s *scenario) wipeOneRestartOthers(name string) {
	s.Kill(name)
	s.WipeDisk(name)
	s.Restart(800*time.Millisecond, s.nodesExcept(edgeRole, name)...)
	s.Start(name)
}

// Times at which a final fault is injected.
const (
	afterChangeAcknowledged = "acknowledged" // right after a change was acknowledged
	duringChange            = "timed"        // at a random time after a change was sent
	afterJobAccepted        = "taken"        // right after a job was accepted
)

// injectFinalFault injects a final fault at one of the times above.
func (s *scenario) injectFinalFault(moment string, fault func(s *scenario)) {
	operator := s.newOperators(1, 0)[0]
	defer operator.Close()
	operator.Read(5 * time.Second)
	switch moment {
	case duringChange:
		s.background.Go(func() { operator.MakeChange(10 * time.Second) })
		time.Sleep(time.Duration(5+s.random.Intn(395)) * time.Millisecond)
	case afterJobAccepted:
		if s.SubmitJob(jobID(600000), newJob(300, 400, 2)) {
			s.recordAccepted(jobID(600000))
		}
	case afterChangeAcknowledged:
		operator.MakeChange(10 * time.Second)
	}
	fault(s)
	time.Sleep(catchUpBound)
}

// TestFaultKinds injects each kind of fault, followed by one of the final faults in
// rotation.
func TestFaultKinds(t *testing.T) {
	for i, kind := range faultKinds {
		t.Run(kind.name, func(t *testing.T) {
			runScenario(t, threeServers, int64(i+1), func(s *scenario) {
				s.runOperator(int64(i+1), time.Second, nil)
				time.Sleep(2 * time.Second)
				kind.run(s)
				time.Sleep(catchUpBound)
				s.injectFinalFault(afterChangeAcknowledged, finalFaults[i%len(finalFaults)].run)
			})
		})
	}
}

// TestFinalFaults injects each final fault at each of its times.
func TestFinalFaults(t *testing.T) {
	for i, fault := range finalFaults {
		for k, moment := range []string{afterChangeAcknowledged, duringChange, afterJobAccepted} {
			t.Run(fault.name+"/"+moment, func(t *testing.T) {
				runScenario(t, threeServers, int64(10*i+k), func(s *scenario) {
					time.Sleep(2 * time.Second)
					s.injectFinalFault(moment, fault.run)
				})
			})
		}
	}
}
