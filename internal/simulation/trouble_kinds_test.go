package simulation

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// largeFleetTroubles are the kinds of trouble that the large deployments add, under their
// names on the operators' bench. Each takes about six seconds, and ends by itself.
var largeFleetTroubles = []namedPlay{
	{"give_up", func(s *scenario) {
		// Clients leave before they have an answer, some while the call is on its way.
		impatient := &http.Client{Transport: s.client.Transport}
		edges := s.nodeNames(edgeRole)
		for i := range 120 {
			id, patience := jobID(300000+i), time.Duration(1+s.random.Intn(20))*time.Millisecond
			job := newJob(200, 300, 2)
			s.History.mu.Lock()
			s.History.Jobs[id] = &SubmittedJob{JobSpec: job.Spec, MaxAttempts: maxAttempts, TaskCounts: []int{2}, Dependencies: [][]int{nil}}
			s.History.mu.Unlock()
			s.requestFrom(impatient, patience, http.MethodPost, s.nodeURL(edges[i%len(edges)], clientPort, defaultPathPrefix+id), "h", job, nil)
			time.Sleep(50 * time.Millisecond)
		}
	}},
	{"answer_lost", func(s *scenario) {
		s.changeRunners(6*time.Second, func(r *Runner, on bool) {
			r.LostAnswers = 0
			if on {
				r.LostAnswers = 0.4
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
		s.restartAllOnceSubmitted(700000, 2)
	}},
}

// restartsNodes are the kinds that end daemons and start them again. Two of them are
// played one after the other, since a daemon that runs can't be started.
var restartsNodes = map[string]bool{"roll_term on side": true, "herd_kill taken all": true}

// TestTroublesOfLargeFleets lays each kind over each other one, over a cluster of six
// servers that vote or follow, and ends with one of the closing faults. It is two tests,
// so that two processes share the work.
func TestTroublesOfLargeFleets(t *testing.T) { playPairsOfTroubles(t, 0) }

// TestMoreTroublesOfLargeFleets plays the pairs that TestTroublesOfLargeFleets leaves.
func TestMoreTroublesOfLargeFleets(t *testing.T) { playPairsOfTroubles(t, 1) }

// playPairsOfTroubles plays the pairs whose numbers have an even or an odd sum.
func playPairsOfTroubles(t *testing.T, parity int) {
	t.Helper()
	for i := range largeFleetTroubles {
		for k := i; k < len(largeFleetTroubles); k++ {
			if (i+k)%2 != parity {
				continue
			}
			t.Run(largeFleetTroubles[i].name+" and "+largeFleetTroubles[k].name, func(t *testing.T) {
				runScenario(t, sixServers, int64(100*i+k), func(s *scenario) { s.playTroubles(i, k) })
			})
		}
	}
}

// playTroubles lays two kinds of trouble over each other, and a closing fault after them.
func (s *scenario) playTroubles(i, k int) {
	first, second := largeFleetTroubles[i], largeFleetTroubles[k]
	time.Sleep(time.Second)
	ended := make(chan struct{})
	s.background.Go(func() {
		defer close(ended)
		first.play(s)
	})
	if restartsNodes[first.name] && restartsNodes[second.name] {
		<-ended
	}
	if k > i {
		time.Sleep(time.Duration(s.random.Intn(3000)) * time.Millisecond)
		second.play(s)
	}
	<-ended
	time.Sleep(catchUpBound)
	moments := []string{onceChanged, whileChanging, onceSubmitted}
	s.injectClosingFault(moments[(i+k)%len(moments)], closingFaults[(i+k)%len(closingFaults)].play)
}

// TestAnswersOfStartsAreLost: copies and restarts of a task whose start was carried out
// without an answer: it never runs twice at a time, and its job ends once.
func TestAnswersOfStartsAreLost(t *testing.T) {
	for _, lost := range []float64{0.3, 0.9} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			runScenario(t, threeServers, int64(10*lost), func(s *scenario) {
				s.setWorkload(newJob(200, 400, 4), 200*time.Millisecond)
				s.changeRunners(8*time.Second, func(r *Runner, on bool) {
					r.LostAnswers = 0
					if on {
						r.LostAnswers = lost
					}
				})
			})
		})
	}
}
