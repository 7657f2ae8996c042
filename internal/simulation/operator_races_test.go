package simulation

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"testing"
	"time"
)

// raceOperators has all operators send a change at the same time, each based on the
// version that the first of them reads. If shared is set, each pair of changes has the
// same version.
func (s *scenario) raceOperators(operators []*Operator, shared bool) []ConfigurationChange {
	base := operators[0].Read(10 * time.Second)
	changes := make([]ConfigurationChange, len(operators))
	var all sync.WaitGroup
	for i, operator := range operators {
		changes[i] = s.NewChange(base)
		if shared && i%2 == 1 {
			// Two operators choose the same version for different changes.
			changes[i].Version = changes[i-1].Version
			changes[i].Text = configurationText(changes[i].Version, routeJSON(fmt.Sprint("other", changes[i].Version)))
		}
		all.Go(func() { operator.Send(changes[i], 20*time.Second) })
	}
	all.Wait()
	return changes
}

// resendAcknowledged resends acknowledged changes to random nodes and requires that all
// are acknowledged again.
func (s *scenario) resendAcknowledged(random *rand.Rand, when string, n int) {
	s.T.Helper()
	operator := s.NewOperator(random.Int63())
	defer operator.Close()
	acknowledged := s.History.Acknowledged()
	for range n {
		change := acknowledged[random.Intn(len(acknowledged))]
		if code := operator.Send(change, 10*time.Second); code != http.StatusOK {
			s.T.Errorf("%s: resent change %d, which was acknowledged, gets %d, want 200", when, change.Version, code)
		}
	}
}

// newOperators creates n operators that lose a fraction of the responses.
func (s *scenario) newOperators(n int, ackLossRate float64) []*Operator {
	var operators []*Operator
	for range n {
		operator := s.NewOperator(s.random.Int63())
		operator.AckLossRate = ackLossRate
		operators = append(operators, operator)
	}
	return operators
}

func closeOperators(operators []*Operator) {
	for _, operator := range operators {
		operator.Close()
	}
}

// TestConcurrentOperators: up to eight concurrent changes have the same base, some pairs of
// them the same version, while responses are lost. Each change is applied wholly or not
// at all, at most one wins each race, and an acknowledged change stays acknowledged.
func TestConcurrentOperators(t *testing.T) {
	runScenarios(t, 3, threeServers, func(s *scenario, _ int64) {
		operators := s.newOperators(8, 0.7)
		for i := range 6 {
			sent := s.raceOperators(operators, i%2 == 1)
			winners := 0
			for _, acknowledged := range s.History.Acknowledged() {
				for _, change := range sent {
					if acknowledged.Text == change.Text {
						winners++
					}
				}
			}
			if winners > 1 {
				s.T.Errorf("round %d: %d of 8 changes on one base were acknowledged, want at most 1", i, winners)
			}
		}
		s.resendAcknowledged(s.random, "right after the races", 4)
		closeOperators(operators)
	})
}

// TestChangeResent: an acknowledged change that is resent to any node is acknowledged
// again: after another change, after hundreds of changes, after a change of leader, a
// restart of all nodes, a snapshot, and the loss of a disk.
func TestChangeResent(t *testing.T) {
	runScenario(t, threeServers, 1, func(s *scenario) {
		operator := s.NewOperator(1)
		defer operator.Close()
		makeChanges := func(n int) {
			for range n {
				if _, code := operator.MakeChange(20 * time.Second); code != http.StatusOK {
					t.Errorf("a change without a concurrent one gets %d, want 200", code)
				}
			}
		}
		makeChanges(1)
		s.resendAcknowledged(s.random, "as the newest", 2)
		makeChanges(1)
		s.resendAcknowledged(s.random, "after one more", 4)
		makeChanges(300)
		s.resendAcknowledged(s.random, "300 changes later", 8)
		leader := s.Leader()
		s.Kill(leader)
		s.resendAcknowledged(s.random, "after a change of leader", 8)
		s.Start(leader)
		makeChanges(2)
		s.Restart(time.Second, s.nodeNames("")...)
		s.resendAcknowledged(s.random, "after a restart of all nodes", 8)
		makeChanges(2)
		s.restartWiped(0, s.Leader())
		time.Sleep(6 * time.Second)
		s.resendAcknowledged(s.random, "after the disk of the leader was wiped", 8)
	})
}

// TestOperatorsDuringRestarts: eight operators keep sending changes while the leader or
// all servers are restarted shortly after a change was sent.
func TestOperatorsDuringRestarts(t *testing.T) {
	runScenarios(t, 3, threeServers, func(s *scenario, _ int64) {
		operators := s.newOperators(8, 0.5)
		for i := range 4 {
			restarted := make(chan struct{})
			go func() {
				defer close(restarted)
				time.Sleep(time.Duration(5+s.random.Intn(395)) * time.Millisecond)
				victims := []string{s.Leader()}
				if victims[0] == "" || i%2 == 1 {
					victims = s.Servers()
				}
				s.Restart(700*time.Millisecond, victims...)
			}()
			s.raceOperators(operators, i%2 == 0)
			<-restarted
			s.resendAcknowledged(s.random, fmt.Sprint("after restart ", i), 3)
		}
		closeOperators(operators)
	})
}
