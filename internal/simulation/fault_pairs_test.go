package simulation

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// largeClusterFaults are the faults that large deployments add, under their names on
// the operators' bench. Each takes about six seconds and ends on its own.
var largeClusterFaults = []namedScenario{
	{"give_up", func(s *scenario) {
		// Clients time out before they get a response, some of them while the request is in transit.
		impatient := &http.Client{Transport: s.client.Transport}
		edges := s.nodeNames(edgeRole)
		for i := range 120 {
			id, timeout := jobID(300000+i), time.Duration(1+s.random.Intn(20))*time.Millisecond
			job := newJob(200, 300, 2)
			s.History.mu.Lock()
			s.History.Jobs[id] = &SubmittedJob{JobSpec: job.Spec, MaxAttempts: maxAttempts, TaskCounts: []int{2}, Dependencies: [][]int{nil}}
			s.History.mu.Unlock()
			s.requestFrom(impatient, timeout, http.MethodPost, s.nodeURL(edges[i%len(edges)], clientPort, defaultPathPrefix+id), "h", job, nil)
			time.Sleep(50 * time.Millisecond)
		}
	}},
	{"answer_lost", func(s *scenario) {
		s.changeRunners(6*time.Second, func(r *Runner, on bool) {
			r.LostAnswerFraction = 0
			if on {
				r.LostAnswerFraction = 0.4
			}
		})
	}},
	{"roll_term on side", func(s *scenario) {
		for _, name := range s.nodeNames(agentRole) {
			s.Terminate(name)
			time.Sleep(300 * time.Millisecond)
			s.Start(name)
			time.Sleep(900 * time.Millisecond)
		}
	}},
	{"many cancels", func(s *scenario) {
		edges := s.nodeNames(edgeRole)
		for i := range 60 {
			id := jobID(400000 + i)
			if s.SubmitJob(id, newJob(800, 200, 4)) {
				s.background.Go(func() {
					time.Sleep(100 * time.Millisecond)
					for attempt := 0; s.CancelJob(edges[(i+attempt)%len(edges)], id) != http.StatusOK && attempt < submitAttempts; attempt++ {
						time.Sleep(200 * time.Millisecond)
					}
				})
			}
			time.Sleep(60 * time.Millisecond)
		}
	}},
	{"reset_conns", func(s *scenario) {
		all := s.nodeNames("")
		for range 40 {
			s.Network.ResetConnections(s.NodeIP(all[s.random.Intn(len(all))]))
			time.Sleep(150 * time.Millisecond)
		}
	}},
	{"config_storm", func(s *scenario) {
		s.sendConcurrentChanges(s.random.Int63n(1000), 250*time.Millisecond, 6*time.Second)
		time.Sleep(6 * time.Second)
	}},
	{"core_cut split", func(s *scenario) {
		servers := s.Servers()
		s.random.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
		s.splitServers(6*time.Second, servers[:len(servers)/2])
	}},
	{"herd_kill taken all", func(s *scenario) {
		s.restartAllAfterJobAccepted(700000, 2)
	}},
}

// restartsNodes are the faults that stop daemons and start them again. Two of them run
// one after the other, since a running daemon can't be started.
var restartsNodes = map[string]bool{"roll_term on side": true, "herd_kill taken all": true}

// TestFaultPairsOfLargeClusters overlaps pairs of faults in a cluster of six servers, of
// which one is a learner, and ends with one of the final faults.
// TestMoreFaultPairsOfLargeClusters runs the other pairs, so that two processes share the
// work.
func TestFaultPairsOfLargeClusters(t *testing.T) { runFaultPairs(t, 0) }

// TestMoreFaultPairsOfLargeClusters runs the pairs that TestFaultPairsOfLargeClusters leaves
// out.
func TestMoreFaultPairsOfLargeClusters(t *testing.T) { runFaultPairs(t, 1) }

// runFaultPairs runs the pairs whose indices have a sum of the given parity.
func runFaultPairs(t *testing.T, parity int) {
	t.Helper()
	for i := range largeClusterFaults {
		for k := i; k < len(largeClusterFaults); k++ {
			if (i+k)%2 != parity {
				continue
			}
			t.Run(largeClusterFaults[i].name+" and "+largeClusterFaults[k].name, func(t *testing.T) {
				runScenario(t, sixServers, int64(100*i+k), func(s *scenario) { s.runFaultPair(i, k) })
			})
		}
	}
}

// runFaultPair overlaps two faults and injects a final fault after them. If both
// indices are equal, the fault runs once.
func (s *scenario) runFaultPair(i, k int) {
	first, second := largeClusterFaults[i], largeClusterFaults[k]
	time.Sleep(time.Second)
	ended := make(chan struct{})
	s.background.Go(func() {
		defer close(ended)
		first.run(s)
	})
	if restartsNodes[first.name] && restartsNodes[second.name] {
		<-ended
	}
	if k > i {
		time.Sleep(time.Duration(s.random.Intn(3000)) * time.Millisecond)
		second.run(s)
	}
	<-ended
	time.Sleep(catchUpBound)
	triggers := []string{afterChangeAcknowledged, duringChange, afterJobAccepted}
	s.injectFinalFault(triggers[(i+k)%len(triggers)], finalFaults[(i+k)%len(finalFaults)].run)
}

// TestStartResponsesLost: the responses to start requests are lost although the starts
// were carried out, so that tasks are copied and restarted. No task runs twice at the
// same time, and its job ends once.
func TestStartResponsesLost(t *testing.T) {
	for _, lost := range []float64{0.3, 0.9} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			runScenario(t, threeServers, int64(10*lost), func(s *scenario) {
				s.setWorkload(newJob(200, 400, 4), 200*time.Millisecond)
				s.changeRunners(8*time.Second, func(r *Runner, on bool) {
					r.LostAnswerFraction = 0
					if on {
						r.LostAnswerFraction = lost
					}
				})
			})
		})
	}
}
