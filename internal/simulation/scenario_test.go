package simulation

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// seedMultiplier multiplies the number of seeds of the tests that use several:
//
//	go test ./internal/simulation -run TestCombinedFaults -sim.longer 10
var seedMultiplier = flag.Int("sim.longer", 1, "factor for the number of seeds")

// testSeeds returns the fixed seeds of a test, more with -sim.longer.
func testSeeds(n int) []int64 {
	var seeds []int64
	for i := range n * *seedMultiplier {
		seeds = append(seeds, int64(i+1))
	}
	return seeds
}

// Bounds that operators set for a cluster, as in the example of the deployment documentation.
const (
	contactBound       = 3 * time.Second // an isolated node has contact again
	configurationBound = 2 * time.Second // a configuration is applied
	catchUpBound       = 4 * time.Second // a server that was down votes again
	ackBound           = 6 * time.Second // a change is acknowledged, including an election
)

// scenario is a cluster with a light load of jobs.
type scenario struct {
	*Cluster
	random     *rand.Rand
	ctx        context.Context // of the load
	stop       context.CancelFunc
	background sync.WaitGroup // the load

	mu             sync.Mutex   // guards the fields below
	acceptedJobs   []string     // IDs
	workload       protocol.Job // submitted repeatedly
	submitInterval time.Duration
}

// lockedSource is a random source that is safe for concurrent use.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

// Int63 implements rand.Source.
func (l *lockedSource) Int63() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.source.Int63()
}

// Seed implements rand.Source.
func (l *lockedSource) Seed(seed int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.source.Seed(seed)
}

// runScenario starts a cluster, calls run while the cluster is under load, and requires that
// nothing acknowledged is lost and no rule is violated.
func runScenario(t *testing.T, spec ClusterSpec, seed int64, run func(s *scenario)) {
	t.Helper()
	withCluster(t, spec, func(t *testing.T, c *Cluster) {
		ctx, stop := context.WithCancel(context.Background())
		s := &scenario{Cluster: c, random: rand.New(&lockedSource{source: rand.NewSource(seed)}), ctx: ctx, stop: stop, workload: newJob(400, 400, 2), submitInterval: 300 * time.Millisecond}
		defer s.background.Wait()
		defer stop()
		c.failOnDivergence()
		s.submitJobs(seed)
		run(s)
		if !t.Failed() {
			s.finish()
		}
		s.reportViolations()
	})
}

// runScenarios is runScenario with several seeds, each in a subtest.
func runScenarios(t *testing.T, seeds int, spec ClusterSpec, run func(s *scenario, seed int64)) {
	t.Helper()
	for _, seed := range testSeeds(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, spec, seed, func(s *scenario) { run(s, seed) })
		})
	}
}

// failOnDivergence fails the test if a replica finds that its state differs from that of
// the majority.
func (c *Cluster) failOnDivergence() {
	observe := func(line string) {
		if strings.Contains(line, "event=replica.") {
			c.T.Error(line)
		}
	}
	c.onLog.Store(&observe)
}

var digits = regexp.MustCompile(`[0-9]+`)

// reportViolations fails the test if there are violations, and shows the first two of
// each kind, since hundreds of calls may fail in the same way. Violations that differ only in
// numbers are of one kind.
func (s *scenario) reportViolations() {
	s.T.Helper()
	violations := s.History.Violations()
	kinds := map[string]int{}
	for _, violation := range violations {
		kind := digits.ReplaceAllString(violation, "#")
		if kinds[kind]++; kinds[kind] <= 2 {
			s.T.Error(violation)
		}
	}
	if len(violations) > 0 {
		s.T.Errorf("%d violations of %d kinds", len(violations), len(kinds))
	}
}

// submitJobs submits jobs until the load stops.
func (s *scenario) submitJobs(seed int64) {
	random := rand.New(rand.NewSource(seed + 1000))
	s.background.Go(func() {
		for i := 0; s.ctx.Err() == nil; i++ {
			s.mu.Lock()
			job, interval := s.workload, s.submitInterval
			s.mu.Unlock()
			s.background.Go(func() {
				if s.SubmitJob(jobID(i), job) {
					s.recordAccepted(jobID(i))
				}
			})
			time.Sleep(interval/2 + time.Duration(random.Int63n(int64(interval))))
		}
	})
}

// recordAccepted records a job that must be done at the end of the scenario.
func (s *scenario) recordAccepted(id string) {
	s.mu.Lock()
	s.acceptedJobs = append(s.acceptedJobs, id)
	s.mu.Unlock()
}

// setWorkload sets the job that is submitted from now on, and the mean interval.
func (s *scenario) setWorkload(job protocol.Job, interval time.Duration) {
	s.mu.Lock()
	s.workload, s.submitInterval = job, interval
	s.mu.Unlock()
}

// growLog makes clients cancel unknown jobs, about rate a second, so that the log grows by
// as many entries and snapshots are taken.
func (s *scenario) growLog(rate int, duration time.Duration) {
	const callers = 16
	for i := range callers {
		s.background.Go(func() {
			edges := s.nodeNames(edgeRole)
			for k, end := i, time.Now().Add(duration); time.Now().Before(end) && s.ctx.Err() == nil; {
				if code, _ := s.clientRequest(edges[k%len(edges)], CallCancel, http.MethodDelete, defaultPathPrefix+jobID(800000+i), ""); code != http.StatusGone {
					k++
				}
				time.Sleep(callers * time.Second / time.Duration(rate))
			}
		})
	}
}

// runOperator runs an operator that makes one change after another until the load stops or done
// is closed. It returns a channel that is closed when the operator has stopped.
func (s *scenario) runOperator(seed int64, pause time.Duration, done <-chan struct{}) <-chan struct{} {
	operator, ended := s.NewOperator(seed), make(chan struct{})
	s.background.Go(func() {
		defer close(ended)
		defer operator.Close()
		for {
			select {
			case <-s.ctx.Done():
				return
			case <-done:
				return
			default:
			}
			operator.MakeChange(10 * time.Second)
			time.Sleep(pause)
		}
	})
	return ended
}

// sendConcurrentChanges makes an operator start a change each interval, without waiting for the
// previous ones. Up to eight are in progress at a time.
func (s *scenario) sendConcurrentChanges(seed int64, interval, duration time.Duration) {
	idle := make(chan *Operator, 8)
	for i := range cap(idle) {
		idle <- s.NewOperator(seed*100 + int64(i))
	}
	s.background.Go(func() {
		for end := time.Now().Add(duration); time.Now().Before(end) && s.ctx.Err() == nil; time.Sleep(interval) {
			select {
			case operator := <-idle:
				s.background.Go(func() {
					operator.Read(5 * time.Second)
					operator.MakeChange(10 * time.Second)
					idle <- operator
				})
			default:
			}
		}
	})
}

// requireAcknowledgement requires that a change is acknowledged within ackBound. A majority must
// be available.
func (s *scenario) requireAcknowledgement(when string) {
	s.T.Helper()
	operator := s.NewOperator(s.random.Int63())
	defer operator.Close()
	for end := time.Now().Add(ackBound); time.Now().Before(end); {
		operator.Read(time.Second)
		if _, code := operator.MakeChange(2 * time.Second); code == http.StatusOK {
			return
		}
	}
	s.T.Errorf("%s: no change was acknowledged within %v", when, ackBound)
}

// finish stops the load and requires that everything that was acknowledged was kept.
func (s *scenario) finish() {
	s.T.Helper()
	s.stop()
	s.background.Wait()
	time.Sleep(contactBound)
	operator := s.NewOperator(1)
	defer operator.Close()
	operator.ReadAll(10 * time.Second)
	edges := s.nodeNames(edgeRole)
	for i, job := range s.acceptedJobs {
		s.requireJobDone(job, edges[i%len(edges)])
	}
	if len(s.acceptedJobs) == 0 {
		s.T.Error("no job was accepted")
	}
}

// requireJobDone requires that a job becomes done within a minute. Otherwise it logs the events
// of the job.
func (s *scenario) requireJobDone(job, node string) {
	s.T.Helper()
	state := ""
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if state = s.JobState(node, job); state == jobDone {
			return
		}
	}
	s.T.Errorf("job %s was accepted and is still %s at %s after a minute, want done", job, state, node)
	s.History.mu.Lock()
	defer s.History.mu.Unlock()
	for _, event := range s.History.Events {
		if j, _, _ := splitTaskID(event.Task); j == job {
			s.T.Logf("%s %s %s run %d on %s %s", event.At.Format("05.000"), event.Kind, event.Task, event.Run, event.Node, event.Outcome)
		}
	}
}

// requireNewestConfiguration requires that a node is ready and applies the newest
// acknowledged configuration, within the bounds after a fault was repaired. No other
// operator may be sending changes.
func (s *scenario) requireNewestConfiguration(name string, repairedAt time.Time) {
	s.T.Helper()
	operator := s.NewOperator(9)
	defer operator.Close()
	operator.Read(5 * time.Second)
	change, code := operator.MakeChange(5 * time.Second)
	if code != http.StatusOK {
		s.T.Errorf("a change after the fault gets %d, want 200", code)
		return
	}
	left := max(contactBound+configurationBound-time.Since(repairedAt), configurationBound)
	s.WaitUntil(name+" reads the newest configuration", left, func() bool {
		call := operator.ReadAt(name)
		return call.Code == http.StatusOK && call.Version == change.Version
	})
	s.WaitUntil(name+" knows the newest route", left, func() bool {
		code, _ := s.clientRequest(name, CallStatus, http.MethodGet, fmt.Sprintf("/v%d/", change.Version), "")
		return code == http.StatusOK
	})
	s.WaitUntil(name+" is ready", left, func() bool { return s.IsReady(name) })
}

// exerciseNode makes an operator and a client repeat all kinds of calls to one node until done
// is closed.
func (s *scenario) exerciseNode(name string, operator *Operator, done <-chan struct{}) *sync.WaitGroup {
	var callers sync.WaitGroup
	repeat := func(call func()) {
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				call()
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	repeat(func() {
		operator.ReadAt(name)
		operator.SendAt(name, s.NewChange(operator.knownVersion))
	})
	repeat(func() { s.clientRequest(name, CallStatus, http.MethodGet, defaultPathPrefix+jobID(0), "") })
	repeat(func() { s.clientRequest(name, CallStatus, http.MethodGet, defaultPathPrefix+jobID(900000), "") })
	repeat(func() { s.clientRequest(name, CallStatus, http.MethodGet, "/nowhere/"+jobID(0), "") })
	repeat(func() { s.clientRequest(name, CallCancel, http.MethodDelete, defaultPathPrefix+jobID(900001), "") })
	return &callers
}
