package simulation

import (
	"net/http"
	"testing"
	"time"
)

// TestQuotaUnderFaults: one tenant floods the cluster with several times its limit and
// its share, calls without a valid API key are interleaved, and leaders, runners and
// connections fail. The limit holds throughout, every accepted job ends, and the jobs
// of the other tenant make progress.
func TestQuotaUnderFaults(t *testing.T) {
	faults := []namedScenario{
		{"leader killed", func(s *scenario) {
			for range 2 {
				s.Restart(500*time.Millisecond, s.Leader())
				time.Sleep(3 * time.Second)
			}
		}},
		{"all servers killed", func(s *scenario) { s.Restart(300*time.Millisecond, s.Servers()...); time.Sleep(4 * time.Second) }},
		{"start responses lost", func(s *scenario) {
			s.changeRunners(5*time.Second, func(r *Runner, on bool) {
				r.LostAnswerFraction = 0
				if on {
					r.LostAnswerFraction = 0.5
				}
			}, s.nodeNames(agentRole)[:2]...)
		}},
		{"connections reset", largeClusterFaults[4].run},
		{"concurrent configuration changes", func(s *scenario) {
			s.sendConcurrentChanges(s.random.Int63n(1000), 250*time.Millisecond, 5*time.Second)
			time.Sleep(6 * time.Second)
		}},
	}
	for i, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			runScenario(t, threeServers, int64(i+1), func(s *scenario) {
				s.startFlood()
				s.callWithUnknownKey()
				fault.run(s)
			})
		})
	}
}

// startFlood submits jobs of the bound tenant for some time, at twice its limit.
func (s *scenario) startFlood() {
	s.background.Go(func() {
		for i := 0; i < 40 && s.ctx.Err() == nil; i++ {
			id := jobID(500000 + 8*i + 6) // its last digit is 7 or f
			if s.SubmitJob(id, newJob(500, 1000, 4)) {
				s.recordAccepted(id)
			}
			time.Sleep(150 * time.Millisecond)
		}
	})
}

// callWithUnknownKey submits jobs with an API key that belongs to no tenant.
func (s *scenario) callWithUnknownKey() {
	s.background.Go(func() {
		edges := s.nodeNames(edgeRole)
		for i := 0; i < 20 && s.ctx.Err() == nil; i++ {
			id := jobID(600000 + i)
			job := newJob(100, 100, 1)
			code, _ := s.clientRequestWithKey(unknownKey, edges[i%len(edges)], CallSubmit, http.MethodPost, defaultPathPrefix+id, job)
			s.History.mu.Lock()
			s.History.Jobs[id] = &SubmittedJob{JobSpec: job.Spec, MaxAttempts: maxAttempts, TaskCounts: []int{1}, UnknownKey: true, Accepted: code == http.StatusOK}
			s.History.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
		}
	})
}
