package gateway

import (
	"math"
	"math/rand/v2"
	"time"

	"tealpond/internal/registry"
)

const (
	// latencySmoothing is the weight of a new latency in a runner's average.
	latencySmoothing = 0.2
	// leavingSuspicion is for how long a runner is left out that closes its connection after an
	// answer, until the list says whether it drains.
	leavingSuspicion = 1500 * time.Millisecond
	// ejectionFailures is the number of failures in a row that eject a runner.
	ejectionFailures = 2
	// ejectionTime is for how long a runner is ejected first; it doubles each time, up to
	// maxEjectionTime.
	ejectionTime = 500 * time.Millisecond
	// maxEjectionTime is the longest ejectionTime.
	maxEjectionTime = 8 * time.Second
	// maxEjectedFraction is the part of a service's runners that may be ejected.
	maxEjectedFraction = 0.5
)

// runnerState is what this daemon knows of one runner by its own requests.
type runnerState struct {
	registry.Runner
	outstanding int
	latency     time.Duration        // smoothed; 0: not known yet
	failures    int                  // in a row
	ejections   int                  // in a row
	ejectedTill time.Time            // by its failures, or since it seems to leave
	slowTill    time.Time            // it has started lately
	servedAt    time.Time            // when it surely didn't leave yet, by its last answer
	observed    registry.Observation // by this daemon, and not yet reported
}

// balancer chooses the runner of each request. It is pure but for the random numbers,
// and is used by one goroutine at a time.
type balancer struct {
	zone     string
	runners  map[string]*runnerState   // by ID
	observed []*runnerState            // those with something to report
	services map[string][]*runnerState // those that get this daemon's requests
	listAge  listAge
}

func newBalancer(zone string, limit listAgeLimit) *balancer {
	return &balancer{zone: zone, runners: map[string]*runnerState{}, services: map[string][]*runnerState{}, listAge: listAge{limit: limit}}
}

// setRunners takes over the list of runners, and this daemon's position among those that
// use them. What is known of runners that stay is kept.
func (b *balancer) setRunners(list []registry.Runner, position Position, now time.Time) {
	next := map[string]*runnerState{}
	near, all := map[string][]*runnerState{}, map[string][]*runnerState{}
	for _, listed := range list {
		runner := b.runners[listed.ID]
		if runner == nil {
			runner = &runnerState{slowTill: now.Add(time.Duration(listed.ColdMs) * time.Millisecond)}
		}
		runner.Runner = listed
		next[listed.ID] = runner
		if listed.Draining {
			continue
		}
		all[listed.Service] = append(all[listed.Service], runner)
		if listed.Zone == b.zone {
			near[listed.Service] = append(near[listed.Service], runner)
		}
	}
	for service, runners := range all {
		if len(near[service]) > 0 {
			runners = near[service]
		}
		all[service] = position.subset(runners)
	}
	b.runners, b.services = next, all
}

// pick chooses a runner for a request: of some drawn by lot the one with the shortest
// expected wait. It passes over those that were tried; nil if no other is left.
func (b *balancer) pick(service string, tried []*runnerState, now time.Time) *runnerState {
	runners := b.known(b.services[service], now)
	if len(runners) == 0 {
		return nil
	}
	sound := 0
	for _, runner := range runners {
		if !now.Before(runner.ejectedTill) {
			sound++
		}
	}
	// With too many ejected the fault is likely not theirs, and all are used.
	useEjected := float64(len(runners)-sound) > maxEjectedFraction*float64(len(runners))
	var best *runnerState
	lowest, drawn := math.Inf(1), 0
	offset := rand.IntN(len(runners))
	step := strideOf(len(runners))
	for i := range runners {
		runner := runners[(offset+i*step)%len(runners)]
		if !useEjected && now.Before(runner.ejectedTill) || contains(tried, runner) {
			continue
		}
		if cost := runner.cost(now); cost < lowest {
			best, lowest = runner, cost
		}
		if drawn++; drawn == choices {
			break
		}
	}
	if best == nil {
		return b.anyUntried(runners, tried)
	}
	return best
}

// choices is how many runners are compared. More find the quickest more often, and crowd
// it until its latency is told.
const choices = 3

// strideOf returns a random step that visits each of n places once.
func strideOf(n int) int {
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

// takeObservations returns what is to be reported of runners.
func (b *balancer) takeObservations() []registry.Observation {
	var reports []registry.Observation
	for _, runner := range b.observed {
		reports = append(reports, runner.observed)
		runner.observed = registry.Observation{}
	}
	b.observed = b.observed[:0]
	return reports
}

// report adds a request's attempt to what is to be reported.
func (b *balancer) report(runner *runnerState, how result, took time.Duration) {
	if how != resultSound && how != resultFailed {
		return
	}
	if runner.observed == (registry.Observation{}) {
		b.observed = append(b.observed, runner)
		runner.observed.ID = runner.ID
	}
	if how == resultFailed {
		runner.observed.Failures++
		return
	}
	runner.observed.Answers++
	runner.observed.LatencyMs += took.Milliseconds()
}

// coldFactor is how many times as long a request is expected to take on a runner that
// has started lately.
const coldFactor = 2

// failureCost is how many times as much a runner costs of whose requests all fail.
const failureCost = 20

// cost is the wait that is expected of a runner: by what all daemons see of it, or else
// by what this one does.
func (r *runnerState) cost(now time.Time) float64 {
	latency := r.latency
	if r.Health.LatencyMs > 0 {
		latency = time.Duration(r.Health.LatencyMs) * time.Millisecond
	}
	cost := float64(r.outstanding+1) * float64(max(latency, time.Millisecond))
	cost *= 1 + failureCost*float64(r.Health.FailedPct)/100
	if now.Before(r.slowTill) {
		cost *= coldFactor
	}
	return cost
}

// begin counts a request that is sent to a runner.
func (b *balancer) begin(runner *runnerState) { runner.outstanding++ }

// result is what a request's attempt tells of its runner.
type result int

const (
	resultSound   result = iota // it answered in order
	resultFull                  // it turned the request away
	resultFailed                // it failed, or its answer was not one
	resultUnknown               // the client left, or the time ended, before it answered
)

// end records how an attempt ended.
func (b *balancer) end(runner *runnerState, how result, took time.Duration, now time.Time) {
	runner.outstanding--
	b.report(runner, how, took)
	switch how {
	case resultSound:
		runner.failures, runner.ejections = 0, 0
		runner.observe(took)
	case resultFull:
		// Whoever sends it so much shouldn't for a while: it counts as slow.
		runner.observe(max(2*runner.latency, took))
	case resultUnknown:
		runner.observe(max(runner.latency, took))
	case resultFailed:
		runner.failures++
		if runner.failures >= ejectionFailures {
			pause := min(ejectionTime<<min(runner.ejections, maxEjectionShift), maxEjectionTime)
			runner.ejectedTill = now.Add(pause)
			runner.ejections++
			runner.failures = 0
		}
	}
}

// suspectLeaving leaves a runner out for a moment that closed its connection.
func (b *balancer) suspectLeaving(runner *runnerState, now time.Time) {
	if till := now.Add(leavingSuspicion); till.After(runner.ejectedTill) {
		runner.ejectedTill = till
	}
}

// maxEjectionShift bounds the doubling of ejectionTime.
const maxEjectionShift = 6

// observe smooths a latency into the runner's average.
func (r *runnerState) observe(latency time.Duration) {
	if r.latency == 0 {
		r.latency = latency
		return
	}
	r.latency += time.Duration(latencySmoothing * float64(latency-r.latency))
}
