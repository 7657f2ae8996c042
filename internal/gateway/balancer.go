package gateway

import (
	"math"
	"math/rand/v2"
	"time"

	"tealpond/internal/registry"
)

const (
	// latencySmoothing is the weight of a new sample in a runner's average latency.
	latencySmoothing = 0.2
	// suspectedDrainTime is how long a runner that closed its connection after a response is
	// skipped, until the list shows whether it is draining.
	suspectedDrainTime = 1500 * time.Millisecond
	// ejectionFailures is the number of consecutive failures that eject a runner.
	ejectionFailures = 2
	// ejectionTime is the duration of the first ejection of a runner. It doubles each time, up
	// to maxEjectionTime.
	ejectionTime = 500 * time.Millisecond
	// maxEjectionTime is the longest ejection.
	maxEjectionTime = 8 * time.Second
	// maxEjectedFraction is the largest fraction of a service's runners that may be ejected.
	maxEjectedFraction = 0.5
)

// runnerState is what this daemon knows about a runner from its own requests.
type runnerState struct {
	registry.Runner
	outstanding  int
	latency      time.Duration        // smoothed; 0: unknown
	failures     int                  // consecutive
	ejections    int                  // consecutive
	ejectedUntil time.Time            // because of failures, or because it appears to be shutting down
	warmUntil    time.Time            // started recently
	servedAt     time.Time            // latest time at which it was known not to be shutting down
	observed     registry.Observation // by this daemon, not yet reported
}

// balancer chooses the runner of each request. It does no I/O, and apart from random numbers
// depends only on its inputs. It is not safe for concurrent use.
type balancer struct {
	zone     string
	runners  map[string]*runnerState   // by ID
	observed []*runnerState            // runners with unreported observations
	services map[string][]*runnerState // runners that this daemon uses, by service
	listAge  listAge
}

func newBalancer(zone string, limit listAgeLimit) *balancer {
	return &balancer{zone: zone, runners: map[string]*runnerState{}, services: map[string][]*runnerState{}, listAge: listAge{limit: limit}}
}

// setRunners replaces the runner list and this daemon's position among the daemons that use
// the runners. The state of runners that remain is kept.
func (b *balancer) setRunners(list []registry.Runner, position Position, now time.Time) {
	next := map[string]*runnerState{}
	local, all := map[string][]*runnerState{}, map[string][]*runnerState{}
	for _, listed := range list {
		runner := b.runners[listed.ID]
		if runner == nil {
			runner = &runnerState{warmUntil: now.Add(time.Duration(listed.WarmUpMs) * time.Millisecond)}
		}
		runner.Runner = listed
		next[listed.ID] = runner
		if listed.Draining {
			continue
		}
		all[listed.Service] = append(all[listed.Service], runner)
		if listed.Zone == b.zone {
			local[listed.Service] = append(local[listed.Service], runner)
		}
	}
	for service, runners := range all {
		if len(local[service]) > 0 {
			runners = local[service]
		}
		all[service] = position.subset(runners)
	}
	b.runners, b.services = next, all
}

// pick chooses a runner for a request: the one with the shortest expected wait among a few
// random candidates. Runners that were tried are skipped; it returns nil if none is left.
func (b *balancer) pick(service string, tried []*runnerState, now time.Time) *runnerState {
	runners := b.usable(b.services[service], now)
	if len(runners) == 0 {
		return nil
	}
	healthy := 0
	for _, runner := range runners {
		if !now.Before(runner.ejectedUntil) {
			healthy++
		}
	}
	// If too many are ejected the fault is probably not theirs, so all are used.
	useEjected := float64(len(runners)-healthy) > maxEjectedFraction*float64(len(runners))
	var best *runnerState
	lowest, considered := math.Inf(1), 0
	offset := rand.IntN(len(runners))
	step := randomStride(len(runners))
	for i := range runners {
		runner := runners[(offset+i*step)%len(runners)]
		if !useEjected && now.Before(runner.ejectedUntil) || contains(tried, runner) {
			continue
		}
		if cost := runner.cost(now); cost < lowest {
			best, lowest = runner, cost
		}
		if considered++; considered == candidatesPerPick {
			break
		}
	}
	if best == nil {
		return b.anyUntried(runners, tried)
	}
	return best
}

// candidatesPerPick is how many runners are compared. With more, the fastest runner is found
// more often and gets overloaded before its latency shows it.
const candidatesPerPick = 3

// randomStride returns a random step size that visits each of n positions once.
func randomStride(n int) int {
	for {
		step := 1 + rand.IntN(n)
		if gcd(step, n) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// anyUntried returns a runner that was not tried, ejected or not.
func (b *balancer) anyUntried(runners, tried []*runnerState) *runnerState {
	offset := rand.IntN(len(runners))
	for i := range runners {
		if runner := runners[(offset+i)%len(runners)]; !contains(tried, runner) {
			return runner
		}
	}
	return nil
}

func contains(runners []*runnerState, runner *runnerState) bool {
	for _, other := range runners {
		if other == runner {
			return true
		}
	}
	return false
}

// takeObservations returns and clears the observations to report.
func (b *balancer) takeObservations() []registry.Observation {
	var reports []registry.Observation
	for _, runner := range b.observed {
		reports = append(reports, runner.observed)
		runner.observed = registry.Observation{}
	}
	b.observed = b.observed[:0]
	return reports
}

// report adds the result of an attempt to the observations.
func (b *balancer) report(runner *runnerState, result attemptResult, elapsed time.Duration) {
	if result != resultOK && result != resultFailed {
		return
	}
	if runner.observed == (registry.Observation{}) {
		b.observed = append(b.observed, runner)
		runner.observed.ID = runner.ID
	}
	if result == resultFailed {
		runner.observed.Failures++
		return
	}
	runner.observed.Answers++
	runner.observed.LatencyMs += elapsed.Milliseconds()
}

// coldFactor is how many times longer a request is expected to take on a recently started
// runner.
const coldFactor = 2

// failureCost is the relative cost added for a runner whose requests all fail.
const failureCost = 20

// cost is the expected wait at a runner, based on the latency that all daemons observe or,
// without that, on what this daemon observes.
func (r *runnerState) cost(now time.Time) float64 {
	latency := r.latency
	if r.Health.LatencyMs > 0 {
		latency = time.Duration(r.Health.LatencyMs) * time.Millisecond
	}
	cost := float64(r.outstanding+1) * float64(max(latency, time.Millisecond))
	cost *= 1 + failureCost*float64(r.Health.FailedPct)/100
	if now.Before(r.warmUntil) {
		cost *= coldFactor
	}
	return cost
}

// startAttempt counts an attempt sent to a runner.
func (b *balancer) startAttempt(runner *runnerState) { runner.outstanding++ }

// attemptResult is what an attempt shows about its runner.
type attemptResult int

const (
	resultOK       attemptResult = iota // responded normally
	resultRejected                      // rejected the request
	resultFailed                        // failed, or sent an invalid response
	resultUnknown                       // the client disconnected, or the deadline passed, before it responded
)

// endAttempt records the end of an attempt.
func (b *balancer) endAttempt(runner *runnerState, result attemptResult, elapsed time.Duration, now time.Time) {
	runner.outstanding--
	b.report(runner, result, elapsed)
	switch result {
	case resultOK:
		runner.failures, runner.ejections = 0, 0
		runner.recordLatency(elapsed)
	case resultRejected:
		// Counts as slow, so that this daemon sends it less for a while.
		runner.recordLatency(max(2*runner.latency, elapsed))
	case resultUnknown:
		runner.recordLatency(max(runner.latency, elapsed))
	case resultFailed:
		runner.failures++
		if runner.failures >= ejectionFailures {
			pause := min(ejectionTime<<min(runner.ejections, maxEjectionShift), maxEjectionTime)
			runner.ejectedUntil = now.Add(pause)
			runner.ejections++
			runner.failures = 0
		}
	}
}

// suspectDraining skips a runner that closed its connection for a short time.
func (b *balancer) suspectDraining(runner *runnerState, now time.Time) {
	if until := now.Add(suspectedDrainTime); until.After(runner.ejectedUntil) {
		runner.ejectedUntil = until
	}
}

// maxEjectionShift limits the doubling of ejectionTime.
const maxEjectionShift = 6

// recordLatency adds a sample to the runner's smoothed latency.
func (r *runnerState) recordLatency(latency time.Duration) {
	if r.latency == 0 {
		r.latency = latency
		return
	}
	r.latency += time.Duration(latencySmoothing * float64(latency-r.latency))
}
